package soak

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// limitedListener is a listener that holds a number of connections. Beyond it, new ones never come up: a connection of its own
// fills the listener's queue, so that the kernel drops them.
type limitedListener struct {
	*net.TCPListener
	maxOpen int

	mu     sync.Mutex
	closed *sync.Cond // signalled when a connection has closed
	open   int
}

// fillerTimeout bounds the dial of the connection that fills the queue. On loopback it comes up at once or not at all.
const fillerTimeout = 20 * time.Millisecond

// limitConnections makes a listener hold a number of connections.
func limitConnections(l *net.TCPListener, maxOpen int) (net.Listener, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return nil, listenErr
	}
	limited := &limitedListener{TCPListener: l, maxOpen: maxOpen}
	limited.closed = sync.NewCond(&limited.mu)
	return limited, nil
}

// Accept waits until there is room for a connection, and accepts one.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.waitForRoom(); err != nil {
		return nil, err
	}
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &limitedConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// waitForRoom fills the listener's queue while as many connections are open as there may be.
func (l *limitedListener) waitForRoom() error {
	l.mu.Lock()
	full := l.open >= l.maxOpen
	l.mu.Unlock()
	if !full {
		return nil
	}
	filler, err := net.DialTimeout("tcp", l.Addr().String(), fillerTimeout)
	if err == nil {
		defer filler.Close()
	}
	l.mu.Lock()
	for l.open >= l.maxOpen {
		l.closed.Wait()
	}
	l.mu.Unlock()
	queued, err := l.TCPListener.Accept() // the filler, or a connection that came before it
	if err != nil {
		return err
	}
	return queued.Close()
}

// limitedConn is a connection that a limitedListener has accepted.
type limitedConn struct {
	*net.TCPConn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection and gives its place to another.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
		c.listener.closed.Signal()
	})
	return c.TCPConn.Close()
}
