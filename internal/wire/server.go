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

// Server accepts connections on an address and makes a link of each.
type Server struct {
	Address     string // that the server listens on, with the chosen port
	loop        netpoll.EventLoop
	listener    *listener
	mu          sync.Mutex
	links       map[*Link]struct{}
	openSockets int // including those of links that are closing

	acceptedCount atomic.Int64 // connections accepted so far

	rejecting bool // new connections are closed at once
}

// Serve listens on an address and makes a link of each connection. accept returns the link's handler and its onClosed callback.
func Serve(address string, limits Limits, accept func(*Link) (Handler, func(*Link, error))) (*Server, error) {
	return ServeRaw(address, limits, func(l *Link) (DataHandler, func(*Link, error)) {
		handle, onClosed := accept(l)
		return frameDecoder(limits.MaxFrameBytes, handle), onClosed
	})
}

// ServeRaw is Serve for links whose DataHandler handles plain bytes.
func ServeRaw(address string, limits Limits, accept func(*Link) (DataHandler, func(*Link, error))) (*Server, error) {
	if err := startPoller(); err != nil {
		return nil, err
	}
	listener, err := newListener(address, limits.Descriptors)
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
			l.peerWindow() // notes the window of a new connection, as the largest so far
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
	<-listener.ready // otherwise an immediate Close would find nothing to close
	return s, nil
}

// CloseListenerNow refuses new connections. Connections that the kernel has accepted and the server has not are closed unread.
func (s *Server) CloseListenerNow() {
	RunOnPoller(func() {
		s.RejectConnections()
		s.listener.shutdown()
	})
}

// RejectConnections closes each new connection at once and keeps the open ones. (Netpoll's own shutdown would close every
// connection on which nothing is being read, even if answers are still to be sent on it.)
func (s *Server) RejectConnections() {
	s.mu.Lock()
	s.rejecting = true
	s.mu.Unlock()
}

// CloseListenerIfIdle refuses new connections from now on, unless a connection that the kernel had accepted is accepted in the
// meantime: it may carry a request. It calls closed on the poller and tells it whether the listener has closed.
func (s *Server) CloseListenerIfIdle(closed func(bool)) {
	before := s.acceptedCount.Load()
	RunOnPoller(func() { // connections that the kernel has accepted by now are accepted before the next iteration
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

// LinksWithPendingWrites returns the number of links with bytes that wait to be written.
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

// stopTimeout is how long each step of closing a server may take.
const stopTimeout = time.Second

// allLinks returns the server's links.
func (s *Server) allLinks() []*Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.links))
}

// StopReading stops reading on all links. When it returns, all data that was read has passed through the handlers; it waits for
// at most stopTimeout.
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

// FlushAndClose calls FlushAndClose on all links and waits until their sockets are closed, for at most stopTimeout.
func (s *Server) FlushAndClose(linger, maxLinger time.Duration) {
	for _, l := range s.allLinks() {
		l.FlushAndClose(ErrClosed, linger, maxLinger)
	}
	s.waitSocketsClosed()
}

// waitSocketsClosed waits until no socket is open, for at most stopTimeout.
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

// Close closes the server and all its links.
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
