package wire

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
)

// Server takes connections.
type Server struct {
	Address  string
	loop     netpoll.EventLoop
	listener *listener
	mu       sync.Mutex
	links    map[*Link]struct{}
	open     int // sockets

	accepted atomic.Int64

	refusing bool
}

// Serve listens and makes a link of each connection. The handler that accept returns takes its frames.
func Serve(address string, b Limits, accept func(*Link) (Handler, func(*Link, error))) (*Server, error) {
	return ServeRaw(address, b, func(l *Link) (DataHandler, func(*Link, error)) {
		handle, ended := accept(l)
		return frames(b.MaxFrameBytes, handle), ended
	})
}

// ServeRaw is Serve for readers of bytes.
func ServeRaw(address string, b Limits, accept func(*Link) (DataHandler, func(*Link, error))) (*Server, error) {
	listener, err := newListener(address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: listener.Addr().String(), listener: listener, links: map[*Link]struct{}{}}
	type linkKey struct{}
	loop, err := netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			return ctx.Value(linkKey{}).(netpoll.OnRequest)(ctx, conn)
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			s.accepted.Add(1)
			l := newLink(conn, b, nil, nil)
			l.server = true
			read, ended := accept(l)
			l.read = read
			l.ended = func(l *Link, reason error) {
				s.mu.Lock()
				delete(s.links, l)
				s.mu.Unlock()
				if ended != nil {
					ended(l, reason)
				}
			}
			s.mu.Lock()
			refusing := s.refusing
			s.links[l] = struct{}{}
			s.open++
			s.mu.Unlock()
			l.onClosed = func() {
				s.mu.Lock()
				s.open--
				s.mu.Unlock()
			}
			if refusing {
				l.Close(ErrClosed)
			}
			return context.WithValue(context.Background(), linkKey{}, netpoll.OnRequest(l.arrivedOn))
		}))
	if err != nil {
		return nil, err
	}
	s.loop = loop
	go loop.Serve(listener)
	<-listener.ready // else a Close that comes at once would find nothing to close
	return s, nil
}

// CloseListenerNow refuses new connections, and closes those that the system had accepted with nothing of them read.
func (s *Server) CloseListenerNow() {
	RunOnPoller(func() {
		s.RejectConnections()
		s.listener.shutdown()
	})
}

// StopListening closes each new connection at once and keeps those that are open. (Netpoll's own shutdown would
// close every connection on which nothing is being read, whatever is owed on it.)
func (s *Server) RejectConnections() {
	s.mu.Lock()
	s.refusing = true
	s.mu.Unlock()
}

// CloseListener refuses new connections from now on, and calls closed on the poller then; or it calls it with false, since a
// connection that the system had accepted was taken up meanwhile: it may have brought something.
func (s *Server) CloseListenerIfIdle(closed func(bool)) {
	began := s.accepted.Load()
	RunOnPoller(func() { // whatever the system had accepted by now is taken up before the next turn
		RunOnPoller(func() {
			if s.accepted.Load() != began {
				closed(false)
				return
			}
			s.RejectConnections()
			s.listener.shutdown()
			closed(true)
		})
	})
}

// Waiting counts the links on which something waits to be written.
func (s *Server) LinksWithPendingWrites() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		if l.HasPendingWrites() {
			n++
		}
	}
	return n
}

// stopWithin is how long a step of a server's end may take.
const stopWithin = time.Second

// all lists the links.
func (s *Server) all() []*Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.links))
}

// StopReading has nothing more read on any link. What was read has gone through the readers when it returns.
func (s *Server) StopReading() {
	stopped := make(chan struct{})
	RunOnPoller(func() {
		defer close(stopped)
		for _, l := range s.all() {
			l.stopAllReading()
		}
	})
	select {
	case <-stopped:
	case <-time.After(stopWithin):
	}
}

// Finish ends all links as Link.Finish does, and waits for them.
func (s *Server) FlushAndClose(linger, most time.Duration) {
	for _, l := range s.all() {
		l.FlushAndClose(ErrClosed, linger, most)
	}
	s.waitClosed()
}

// waitClosed waits until no socket is open.
func (s *Server) waitClosed() {
	for end := time.Now().Add(stopWithin); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// Close ends the server with all its links.
func (s *Server) Close() {
	s.RejectConnections()
	for _, l := range s.all() {
		l.Close(ErrClosed)
	}
	s.waitClosed()
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
}
