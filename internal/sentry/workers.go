package sentry

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// worker is the event loop's state of one worker: its connections, and the hand-offs that wait for a connection.
type worker struct {
	id               logic.WorkerID
	address          string
	info             logic.Worker // as last listed
	stateSince       logic.Micros // since when it has been in its state
	conns            []*pooledConn
	dials            int
	queue            []queuedHandOff // hand-offs without a connection, in order of arrival
	cooldownTimerDue logic.Micros    // when the timer for the end of a connection's cooldown is due; 0 if none is set
	probeSeq         uint64
	oldListLoggedFor logic.Micros // the value of Sentry.listConfirmedAt for which logOldList last counted this worker
}

// handleWorkerFrame decodes a worker's frame. It runs on the poller.
func (s *Sentry) handleWorkerFrame(handler WorkerConnHandler, kind wire.Kind, body []byte) error {
	switch kind {
	case wire.KindDone:
		var m wire.Done
		if err := m.Read(body); err != nil {
			return err
		}
		if m.Ending > uint32(pb.Ended_TURNED_AWAY) {
			return invalid("ending "+strconv.Itoa(int(m.Ending)), "0 to 2")
		}
		handler.HandOffEnded(&m)
		return nil
	case wire.KindWelcome:
		handler.Ready()
		return nil
	case wire.KindProbed:
		var m pb.Probed
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		s.inbox.put(&event{kind: eventProbeAnswer, conn: handler.c, inFlight: m.Held}, false)
		return nil
	}
	return invalid("a frame of kind "+strconv.Itoa(int(kind)), "one that a worker may send")
}

// unmarshal decodes a message. Its error closes the connection.
func unmarshal(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return invalid("an invalid "+string(m.ProtoReflect().Descriptor().Name()), "a valid one")
	}
	return nil
}

// sweep closes idle connections and deletes workers that are gone and can have no open hand-offs. Without this the
// table would grow with each build, as each brings new workers.
func (s *Sentry) sweep() {
	if s.config.IdleTimeout > 0 {
		s.closeIdleConns()
	}
	maxDeadline := s.settings.MaxDeadline()
	for id, w := range s.workers {
		if w.info.State == logic.Gone && len(w.conns)+len(w.queue)+w.dials == 0 && s.now-w.stateSince > 2*maxDeadline {
			delete(s.workers, id)
			delete(s.workerList.instances, id)
		}
	}
	s.scheduleSweep()
}

const maxSweepInterval = logic.Micros(5_000_000)

// scheduleSweep sets the timer of the next sweep: after a quarter of the idle timeout, but at most maxSweepInterval.
func (s *Sentry) scheduleSweep() {
	wait := maxSweepInterval
	if s.config.IdleTimeout > 0 {
		wait = min(wait, max(s.config.IdleTimeout/4, 1000))
	}
	s.timers.add(timer{due: s.now + wait, kind: timerSweep})
}
