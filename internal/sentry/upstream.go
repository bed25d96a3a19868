package sentry

import (
	"errors"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"scalechute/internal/input"
	"scalechute/internal/orders"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// upstream is a connection that this sentry opens to discovery, the control plane or a peer.
type upstream struct {
	name, address              string
	role                       pb.Hello_Role
	persistent                 bool // dialed again whenever it has closed
	bestEffort                 bool // what cannot be sent is dropped, and failed connections are not logged
	link                       *wire.Link
	dialing                    bool
	redialPending              bool // the timer to dial again is set
	redialDelay                logic.Micros
	awaitsList                 bool // discovery only: it watches the list or awaits an answer
	watchPending, fetchPending bool // list requests to be sent once it is connected
	removed                    bool // a reload has removed its address
}

// Bounds of the delay before a persistent connection is dialed again.
const (
	minRedialDelay = logic.Micros(100_000)
	maxRedialDelay = logic.Micros(2_000_000)
)

// connect dials in the background, unless the connection exists, is being dialed or waits to be dialed again, or the
// sentry is stopping.
func (s *Sentry) connect(u *upstream) {
	if u.link != nil || u.dialing || u.redialPending || s.stopping {
		return
	}
	u.dialing = true
	timeout, limits := max(toDuration(s.config.ConnectTimeout), 250*time.Millisecond), s.linkLimits()
	limits.MaxFrameBytes = wire.MaxFrameBytes
	go func() {
		link, err := wire.Dial(u.address, timeout, limits,
			func(_ *wire.Link, kind wire.Kind, body []byte) error { return s.handleUpstreamFrame(u, kind, body) },
			func(l *wire.Link, reason error) {
				s.inbox.put(&event{kind: eventUpstreamClosed, upstream: u, upstreamLink: l, err: reason}, false)
			})
		s.inbox.put(&event{kind: eventUpstreamDialed, upstream: u, upstreamLink: link, err: err}, false)
	}()
}

// handleUpstreamDialed takes over a dialed connection, or handles the failure to dial it.
func (s *Sentry) handleUpstreamDialed(u *upstream, link *wire.Link, err error) {
	u.dialing = false
	if u.removed && link != nil {
		link.Close(wire.ErrClosed)
		return
	}
	if err != nil || link.IsClosed() {
		s.handleUpstreamFailed(u, err)
		return
	}
	u.link, u.redialDelay = link, 0
	link.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: u.role,
		Position: uint32(s.config.Position), Zone: s.workerList.zoneName(s.config.Zone)})
	s.unflushed = append(s.unflushed, link)
	s.log.Info().Str("to", u.name).Msg("connected")
	if u == s.discovery {
		s.sendListRequests()
	}
}

func (s *Sentry) handleUpstreamClosed(u *upstream, link *wire.Link, reason error) {
	if u.link != link {
		return
	}
	u.link = nil
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		s.metrics.protocolErrors.Inc()
		s.log.Warn().Str("to", u.name).Err(reason).Msg("connection closed")
	}
	s.handleUpstreamFailed(u, nil)
}

// handleUpstreamFailed handles a connection that has closed or could not be established. A persistent one is dialed
// again after a delay that doubles with each failure, from minRedialDelay to maxRedialDelay.
func (s *Sentry) handleUpstreamFailed(u *upstream, err error) {
	u.redialDelay = min(max(minRedialDelay, 2*u.redialDelay), maxRedialDelay)
	if !u.bestEffort {
		s.log.Warn().Str("to", u.name).Str("address", u.address).Err(err).Msg("connection failed")
	}
	if u == s.discovery && (u.awaitsList || u.watchPending || u.fetchPending) {
		u.watchPending, u.fetchPending = u.persistent, false
		s.listRequestFailed("no connection", false)
	}
	if u.persistent && !u.redialPending {
		u.redialPending = true
		s.timers.add(timer{due: s.now + u.redialDelay, kind: timerRedial, upstream: u})
	}
}

// handleUpstreamFrame decodes a frame of discovery or the control plane. It runs on the poller.
func (s *Sentry) handleUpstreamFrame(u *upstream, kind wire.Kind, body []byte) error {
	e, m := event{}, proto.Message(nil)
	switch {
	case kind == wire.KindReport && u == s.discovery:
		e.kind, e.report = eventList, &pb.Report{}
		m = e.report
	case kind == wire.KindCounts && u == s.controlPlane:
		e.kind, e.counts = eventCounts, &pb.Counts{}
		m = e.counts
	case kind == wire.KindNews && u == s.controlPlane:
		e.kind, e.status = eventRelease, &pb.News{}
		m = e.status
	default:
		return invalid("a frame of kind "+strconv.Itoa(int(kind)), "one that the "+u.name+" may send")
	}
	if err := unmarshal(body, m); err != nil {
		return err
	}
	s.inbox.put(&e, true)
	return nil
}

// Discovery.

// requestList requests the list from discovery: updates of it with watch, otherwise the full list once.
func (s *Sentry) requestList(watch bool) {
	s.discovery.watchPending = s.discovery.watchPending || watch
	s.discovery.fetchPending = s.discovery.fetchPending || !watch
	s.sendListRequests()
}

// sendListRequests sends the pending list requests, or dials discovery first.
func (s *Sentry) sendListRequests() {
	u := s.discovery
	if !u.watchPending && !u.fetchPending {
		return
	}
	if u.link == nil {
		s.connect(u)
		return
	}
	for _, watch := range []bool{true, false} {
		if watch && u.watchPending || !watch && u.fetchPending {
			u.link.PutProto(wire.KindListAsk, &pb.ListAsk{Follow: watch, Version: s.workerList.version})
			u.awaitsList = true
			s.listSeq++
			s.timers.add(timer{due: s.now + s.config.MaxListAge/4, kind: timerList, id: s.listSeq})
		}
	}
	u.watchPending, u.fetchPending = false, false
	s.unflushed = append(s.unflushed, u.link)
}

// listRequestFailed logs that a request for the list has failed, and reports it to the module.
func (s *Sentry) listRequestFailed(reason string, busy bool) {
	s.discovery.awaitsList = false
	s.listSeq++
	s.log.Warn().Str("why", reason).Bool("busy", busy).Msg("worker list request failed")
	s.deliver(input.Input{Kind: input.ListRequestFailed, Busy: busy})
}

// handleReport handles a list, an update of it, or a refusal from discovery.
func (s *Sentry) handleReport(m *pb.Report) {
	s.listSeq++ // the pending timer no longer applies
	if m.Refused {
		s.listRequestFailed("refused", true)
		return
	}
	kind := logic.ListDelta
	if m.Whole {
		kind = logic.FullList
	}
	s.listConfirmedAt = s.now
	list := s.workerList.apply(m, s.now)
	if refused := len(m.Lines) - len(list); refused > 0 {
		s.metrics.protocolErrors.Add(float64(refused))
		s.log.Warn().Int("lines", refused).
			Msg("lines of the worker list ignored, expected an id and a size that is a finite number")
	}
	var stale []queuedHandOff
	for _, info := range list {
		stale = append(stale, s.updateWorker(info)...)
	}
	if m.Whole { // workers that a full list does not contain are gone
		s.metrics.fullLists.Inc()
		for id, w := range s.workers {
			if _, listed := s.workerList.lineIndex[id]; !listed && w.info.State != logic.Gone {
				w.info.State, w.stateSince = logic.Gone, s.now
			}
		}
	}
	s.deliver(input.Input{Kind: input.ListReceived, ListKind: kind, List: list})
	for _, x := range stale {
		if x.isOpen() {
			s.endHandOff(x.t, x.index, logic.Unsent, logic.NoLoad)
		}
	}
	s.scheduleSave()
}

// updateWorker updates the state and address of a listed worker. A worker that is gone is kept for its open hand-offs.
// If the worker is not ready, or its build or address has changed, updateWorker returns its queued hand-offs as stale:
// the module ordered them for the worker as it was.
func (s *Sentry) updateWorker(listed logic.Worker) (stale []queuedHandOff) {
	w := s.workers[listed.ID]
	if w == nil {
		w = &worker{id: listed.ID, info: listed, stateSince: s.now}
		s.workers[listed.ID] = w
	}
	address := s.workerList.address(listed.ID)
	if moved := address != "" && address != w.address; moved || listed.Build != w.info.Build || listed.State != logic.Ready {
		stale, w.queue = w.queue, nil
		if moved { // open connections lead to the old address: they are closed once they are idle
			old := w.conns
			w.address, w.conns = address, nil
			for _, c := range old {
				if c.isUnused() {
					c.link.Close(wire.ErrClosed)
					s.dropConn(c)
				}
			}
		}
	}
	if w.info.State != listed.State {
		w.stateSince = s.now
	}
	w.info = listed
	return stale
}

// Control plane.

// handleReleaseStatus delivers a release status to the module, with the result of the vote that it answers, if any. The
// answer to a vote that has timed out is out of date as its result, and as true as ever as a status; the module takes it in
// its order.
func (s *Sentry) handleReleaseStatus(m *pb.News) {
	if m.Valid && (!(m.Cap >= 0 && m.Cap <= 1) || m.Phase > uint32(logic.Withdrawn)) {
		s.metrics.protocolErrors.Inc()
		s.log.Warn().Float64("cap", m.Cap).Uint32("phase", m.Phase).
			Msg("release status ignored, expected a cap from 0 to 1 and a phase from 0 to 3")
		return
	}
	status := logic.ReleaseStatus{Valid: m.Valid, Build: logic.BuildID(m.Build), Stage: int(m.Stage), Phase: logic.Phase(m.Phase),
		Cap: m.Cap, Age: logic.Micros(min(m.Age, 1<<50))}
	if m.Vote != 0 {
		timedOut := !s.pendingVotes[m.Vote]
		delete(s.pendingVotes, m.Vote)
		switch {
		case timedOut && !m.Valid:
			return // it tells nothing but the result
		case timedOut:
			s.metrics.lateVoteAnswers.Inc()
		default:
			status.VoteResult = voteResult(m.Fate)
		}
	}
	s.deliver(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: status})
	if status.Valid {
		s.workerList.releaseStatus = status
	}
}

// voteResult converts the result of a vote to the module's form.
func voteResult(fate pb.News_Fate) logic.VoteResult {
	switch fate {
	case pb.News_STANDS:
		return logic.VoteAccepted
	case pb.News_MOOT:
		return logic.VoteObsolete
	}
	return logic.VoteRefused
}

// handleCounts delivers the platform's counts to the module, one input per row.
func (s *Sentry) handleCounts(m *pb.Counts) {
	for _, row := range m.Rows {
		if int(row.Profile) >= len(s.config.Profiles) || row.Failed > row.HandOffs {
			s.metrics.protocolErrors.Inc()
			s.log.Warn().Uint32("profile", row.Profile).Uint32("failed", row.Failed).
				Msg("counts ignored, expected a known profile and no more failures than hand-offs")
			continue
		}
		s.deliver(input.Input{Kind: input.CountsReceived, Counts: logic.BuildCounts{Build: logic.BuildID(row.Build),
			Profile: logic.ProfileID(row.Profile), HandOffs: int(row.HandOffs), Failed: int(row.Failed),
			MeanDuration: logic.Micros(min(row.Mean, 1<<50)), Age: logic.Micros(min(m.Age, 1<<50))}})
	}
}

// setPeers applies the configured addresses of the other sentries. Connections to unchanged addresses stay open.
func (s *Sentry) setPeers(settings *orders.Settings) {
	previous := s.peers
	s.peers = make([]*upstream, settings.Policy.Sentries)
	for i := range s.peers {
		address := settings.Endpoints.Peers[logic.SentryID(i)]
		switch {
		case i < len(previous) && previous[i] != nil && previous[i].address == address:
			s.peers[i], previous[i] = previous[i], nil
		case address != "":
			s.peers[i] = &upstream{name: "peer " + strconv.Itoa(i), address: address, role: pb.Hello_PEER, bestEffort: true}
		}
	}
	for _, u := range previous {
		if u == nil {
			continue
		}
		if u.removed = true; u.link != nil {
			u.link.Close(wire.ErrClosed)
		}
	}
}

// castVote sends a vote. One that cannot be sent counts as refused at once.
func (s *Sentry) castVote(v logic.Vote) {
	s.metrics.votes.Inc()
	s.voteSeq++
	m := &pb.Vote{Id: s.voteSeq, Build: uint32(v.Build), Stage: uint32(v.Stage), Verdict: uint32(v.Verdict)}
	if !s.transport.SendVote(m) {
		s.deliver(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: logic.ReleaseStatus{VoteResult: logic.VoteRefused}})
		return
	}
	s.pendingVotes[s.voteSeq] = true
	s.timers.add(timer{due: s.now + s.config.VoteTimeout, kind: timerVote, id: s.voteSeq})
}

// sendToPeers sends a message to peers. Messages that cannot be sent are dropped.
func (s *Sentry) sendToPeers(m logic.Message) {
	if len(m.Body) > MaxPeerMessageBytes {
		s.log.Error().Int("bytes", len(m.Body)).Msg("message between sentries dropped, expected at most 256 bytes")
		return
	}
	s.metrics.messagesSent.Add(float64(s.transport.SendMessage(m)))
}
