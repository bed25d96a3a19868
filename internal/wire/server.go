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
	Address     string
	loop        netpoll.EventLoop
	listener    *listener
	mu          sync.Mutex
	links       map[*Link]struct{}
	openSockets int // sockets

	acceptedCount atomic.Int64

	rejecting bool
}

// Serve listens and makes a link of each connection. The handler that accept returns takes its frames.
func Serve(address string, limits Limits, accept func(*Link) (Handler, func(*Link, error))) (*Server, error) {
	return ServeRaw(address, limits, func(l *Link) (DataHandler, func(*Link, error)) {
		handle, onClosed := accept(l)
		return frameDecoder(limits.MaxFrameBytes, handle), onClosed
	})
}

// ServeRaw is Serve for readers of bytes.
func ServeRaw(address string, limits Limits, accept func(*Link) (DataHandler, func(*Link, error))) (*Server, error) {
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
			s.acceptedCount.Add(1)
			l := newLink(conn, limits, nil, nil)
			l.isServer = true
			handle, onClosed := accept(l)
			l.handle = handle
			l.onClosed = func(l *Link, reason error) {
				s.mu.Lock()
				delete(s.links, l)
				s.mu.Unlock()
				if onClosed != nil {
					onClosed(l, reason)
				}
			}
			s.mu.Lock()
			rejecting := s.rejecting
			s.links[l] = struct{}{}
			s.openSockets++
			s.mu.Unlock()
			l.onSocketClosed = func() {
				s.mu.Lock()
				s.openSockets--
				s.mu.Unlock()
			}
			if rejecting {
				l.Close(ErrClosed)
			}
			return context.WithValue(context.Background(), linkKey{}, netpoll.OnRequest(l.handleData))
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
	s.rejecting = true
	s.mu.Unlock()
}

// CloseListener refuses new connections from now on, and calls closed on the poller then; or it calls it with false, since a
// connection that the system had accepted was taken up meanwhile: it may have brought something.
func (s *Server) CloseListenerIfIdle(closed func(bool)) {
	before := s.acceptedCount.Load()
	RunOnPoller(func() { // whatever the system had accepted by now is taken up before the next turn
		RunOnPoller(func() {
			if s.acceptedCount.Load() != before {
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
const stopTimeout = time.Second

// all lists the links.
func (s *Server) allLinks() []*Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.links))
}

// StopReading has nothing more read on any link. What was read has gone through the readers when it returns.
func (s *Server) StopReading() {
	stopped := make(chan struct{})
	RunOnPoller(func() {
		defer close(stopped)
		for _, l := range s.allLinks() {
			l.stopAllReading()
		}
	})
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}

// Finish ends all links as Link.Finish does, and waits for them.
func (s *Server) FlushAndClose(linger, maxLinger time.Duration) {
	for _, l := range s.allLinks() {
		l.FlushAndClose(ErrClosed, linger, maxLinger)
	}
	s.waitSocketsClosed()
}

// waitClosed waits until no socket is open.
func (s *Server) waitSocketsClosed() {
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := s.openSockets
		s.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// Close ends the server with all its links.
func (s *Server) Close() {
	s.RejectConnections()
	for _, l := range s.allLinks() {
		l.Close(ErrClosed)
	}
	s.waitSocketsClosed()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
}
