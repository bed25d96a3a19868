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

// upstream is a connection that this sentry opens to the list's service, the desk or a peer.
type upstream struct {
	name, address string
	role          pb.Hello_Role
	keep          bool // opened again whenever it has broken
	lossy         bool // what can't be sent is lost and nobody is told
	link          *wire.Link
	dialing       bool
	waits         bool // to be dialled again
	retry         logic.Micros
	asked         bool // of the list: follows it or awaits an answer
	follow, whole bool // to be asked for once it is open
	dropped       bool // new orders have no place for it
}

const (
	retryLeast = logic.Micros(100_000)
	retryMost  = logic.Micros(2_000_000)
)

// connect dials in the background, unless that is being done.
func (s *Sentry) connect(u *upstream) {
	if u.link != nil || u.dialing || u.waits || s.stopping {
		return
	}
	u.dialing = true
	limit, bounds := max(span(s.orders.ConnectTimeout), 250*time.Millisecond), s.bounds()
	bounds.MaxFrameBytes = wire.MaxFrameBytes
	go func() {
		link, err := wire.Dial(u.address, limit, bounds,
			func(_ *wire.Link, kind wire.Kind, body []byte) error { return s.fromUpstream(u, kind, body) },
			func(l *wire.Link, reason error) {
				s.inbox.put(&event{kind: evUpLost, up: u, link: l, err: reason}, false)
			})
		s.inbox.put(&event{kind: evUpDialed, up: u, link: link, err: err}, false)
	}()
}

func (s *Sentry) upDialed(u *upstream, link *wire.Link, err error) {
	u.dialing = false
	if u.dropped && link != nil {
		link.Close(wire.ErrClosed)
		return
	}
	if err != nil || link.Dead() {
		s.upFailed(u, err)
		return
	}
	u.link, u.retry = link, 0
	link.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: u.role,
		Position: uint32(s.orders.Position), Zone: s.book.zoneName(s.orders.Zone)})
	s.dirty = append(s.dirty, link)
	s.log.Info().Str("to", u.name).Msg("connected")
	if u == s.list {
		s.askPending()
	}
}

func (s *Sentry) upLost(u *upstream, link *wire.Link, reason error) {
	if u.link != link {
		return
	}
	u.link = nil
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		s.metrics.faults.Inc()
		s.log.Warn().Str("to", u.name).Err(reason).Msg("connection closed")
	}
	s.upFailed(u, nil)
}

func (s *Sentry) upFailed(u *upstream, err error) {
	u.retry = min(max(retryLeast, 2*u.retry), retryMost)
	if !u.lossy {
		s.log.Warn().Str("to", u.name).Str("address", u.address).Err(err).Msg("not connected")
	}
	if u == s.list && (u.asked || u.follow || u.whole) {
		u.follow, u.whole = u.keep, false
		s.listRefused("no connection", false)
	}
	if u.keep && !u.waits {
		u.waits = true
		s.timers.add(timer{due: s.now + u.retry, kind: timeRedial, up: u})
	}
}

func (s *Sentry) fromUpstream(u *upstream, kind wire.Kind, body []byte) error {
	e, m := event{}, proto.Message(nil)
	switch {
	case kind == wire.KindReport && u == s.list:
		e.kind, e.report = evReport, &pb.Report{}
		m = e.report
	case kind == wire.KindCounts && u == s.desk:
		e.kind, e.counts = evCounts, &pb.Counts{}
		m = e.counts
	case kind == wire.KindNews && u == s.desk:
		e.kind, e.news = evNews, &pb.News{}
		m = e.news
	default:
		return fault("a frame of kind "+strconv.Itoa(int(kind)), "one that the "+u.name+" may send")
	}
	if err := unmarshal(body, m); err != nil {
		return err
	}
	s.inbox.put(&e, true)
	return nil
}

// The list.

func (s *Sentry) askList(follow bool) {
	s.list.follow = s.list.follow || follow
	s.list.whole = s.list.whole || !follow
	s.askPending()
}

func (s *Sentry) askPending() {
	u := s.list
	if !u.follow && !u.whole {
		return
	}
	if u.link == nil {
		s.connect(u)
		return
	}
	for _, follow := range []bool{true, false} {
		if follow && u.follow || !follow && u.whole {
			u.link.PutProto(wire.KindListAsk, &pb.ListAsk{Follow: follow, Version: s.book.version})
			u.asked = true
			s.listSeq++
			s.timers.add(timer{due: s.now + s.orders.MaxListAge/4, kind: timeList, id: s.listSeq})
		}
	}
	u.follow, u.whole = false, false
	s.dirty = append(s.dirty, u.link)
}

func (s *Sentry) listRefused(why string, busy bool) {
	s.list.asked = false
	s.listSeq++
	s.log.Warn().Str("why", why).Bool("busy", busy).Msg("the list could not be had")
	s.tell(input.Input{Kind: input.ListRequestFailed, Busy: busy})
}

func (s *Sentry) reported(m *pb.Report) {
	s.listSeq++ // no longer awaited
	if m.Refused {
		s.listRefused("refused", true)
		return
	}
	kind := logic.ListDelta
	if m.Whole {
		kind = logic.FullList
	}
	s.listAt = s.now
	list := s.book.take(m, s.now)
	if refused := len(m.Lines) - len(list); refused > 0 {
		s.metrics.faults.Add(float64(refused))
		s.log.Warn().Int("lines", refused).
			Msg("lines of the list passed over, expected an id and a size that is a finite number")
	}
	var stale []waiting
	for _, in := range list {
		stale = append(stale, s.known(in)...)
	}
	if m.Whole { // what it does not name is gone
		s.metrics.lists.Inc()
		for id, w := range s.workers {
			if _, listed := s.book.at[id]; !listed && w.line.State != logic.Gone {
				w.line.State, w.since = logic.Gone, s.now
			}
		}
	}
	s.tell(input.Input{Kind: input.ListReceived, ListKind: kind, List: list})
	for _, x := range stale {
		if x.open() {
			s.handOffEnds(x.t, x.n, logic.Unsent, logic.NoLoad)
		}
	}
	s.saveSoon()
}

// known keeps where a listed worker is reached. One that is gone stays known, for what is out there. What waits for a
// connection to it while it drains, or comes back with another build or address, was ruled for what it was: it is given back.
func (s *Sentry) known(in logic.Worker) (stale []waiting) {
	w := s.workers[in.ID]
	if w == nil {
		w = &worker{id: in.ID, line: in, since: s.now}
		s.workers[in.ID] = w
	}
	address := s.book.address(in.ID)
	if moved := address != "" && address != w.address; moved || in.Build != w.line.Build || in.State != logic.Ready {
		stale, w.waiting = w.waiting, nil
		if moved { // what is open leads elsewhere: it closes once it is idle
			old := w.conns
			w.address, w.conns = address, nil
			for _, c := range old {
				if c.spare() {
					c.link.Close(wire.ErrClosed)
					s.connLost(c)
				}
			}
		}
	}
	if w.line.State != in.State {
		w.since = s.now
	}
	w.line = in
	return stale
}

// The desk.

func (s *Sentry) told(m *pb.News) {
	if m.Valid && (!(m.Cap >= 0 && m.Cap <= 1) || m.Phase > uint32(logic.Withdrawn)) {
		s.metrics.faults.Inc()
		s.log.Warn().Float64("cap", m.Cap).Uint32("phase", m.Phase).
			Msg("news passed over, expected a cap from 0 to 1 and a phase from 0 to 3")
		return
	}
	n := logic.ReleaseStatus{Valid: m.Valid, Build: logic.BuildID(m.Build), Stage: int(m.Stage), Phase: logic.Phase(m.Phase),
		Cap: m.Cap, Age: logic.Micros(min(m.Age, 1<<50))}
	if m.Vote != 0 {
		if !s.votes[m.Vote] {
			return // it was held for unanswered
		}
		delete(s.votes, m.Vote)
		switch m.Fate {
		case pb.News_STANDS:
			n.VoteResult = logic.VoteAccepted
		case pb.News_MOOT:
			n.VoteResult = logic.VoteObsolete
		default:
			n.VoteResult = logic.VoteRefused
		}
	}
	s.tell(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: n})
	if n.Valid {
		s.book.news = n
	}
}

// counted tells the module what the platform counted, a row at a time.
func (s *Sentry) counted(m *pb.Counts) {
	for _, row := range m.Rows {
		if int(row.Profile) >= len(s.orders.Profiles) || row.Failed > row.HandOffs {
			s.metrics.faults.Inc()
			s.log.Warn().Uint32("profile", row.Profile).Uint32("failed", row.Failed).
				Msg("counts passed over, expected a profile that there is and no more failed than handed off")
			continue
		}
		s.tell(input.Input{Kind: input.CountsReceived, Counts: logic.BuildCounts{Build: logic.BuildID(row.Build),
			Profile: logic.ProfileID(row.Profile), HandOffs: int(row.HandOffs), Failed: int(row.Failed),
			MeanDuration: logic.Micros(min(row.Mean, 1<<50)), Age: logic.Micros(min(m.Age, 1<<50))}})
	}
}

// setPeers takes over the addresses of the other sentries; what is open to one that has not changed stays so.
func (s *Sentry) setPeers(sheet *orders.Settings) {
	was := s.peers
	s.peers = make([]*upstream, sheet.Policy.Sentries)
	for i := range s.peers {
		address := sheet.Endpoints.Peers[logic.SentryID(i)]
		switch {
		case i < len(was) && was[i] != nil && was[i].address == address:
			s.peers[i], was[i] = was[i], nil
		case address != "":
			s.peers[i] = &upstream{name: "peer " + strconv.Itoa(i), address: address, role: pb.Hello_PEER, lossy: true}
		}
	}
	for _, u := range was {
		if u == nil {
			continue
		}
		if u.dropped = true; u.link != nil {
			u.link.Close(wire.ErrClosed)
		}
	}
}

func (s *Sentry) vote(v logic.Vote) {
	s.metrics.votes.Inc()
	s.voteSeq++
	m := &pb.Vote{Id: s.voteSeq, Build: uint32(v.Build), Stage: uint32(v.Stage), Verdict: uint32(v.Verdict)}
	if !s.ends.SendVote(m) {
		s.tell(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: logic.ReleaseStatus{VoteResult: logic.VoteRefused}})
		return
	}
	s.votes[s.voteSeq] = true
	s.timers.add(timer{due: s.now + s.orders.VoteTimeout, kind: timeVote, id: s.voteSeq})
}

// say sends a message to peers. What can't be sent is lost.
func (s *Sentry) say(m logic.Message) {
	if len(m.Body) > MaxPeerMessageBytes {
		s.log.Error().Int("bytes", len(m.Body)).Msg("message between sentries dropped, expected at most 256")
		return
	}
	s.metrics.said.Add(float64(s.ends.SendMessage(m)))
}
