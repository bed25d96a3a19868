package wire

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listenTimeout is how long listening is retried while the system is short of resources.
const listenTimeout = 5 * time.Second

// listen listens on an address, and retries while the system is short of resources.
func listen(address string) (net.Listener, error) {
	for deadline, backoff := time.Now().Add(listenTimeout), minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !isTransientDialError(err) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(backoff)
	}
}

// listener is a TCP listener for netpoll's event loop. Netpoll's own listener closes its descriptor twice, and between the two
// closes the number may be reused by another file.
type listener struct {
	file        *os.File
	fd          int
	addr        net.Addr
	descriptors *Descriptors // of the accepted connections; may be nil
	reserve     int          // a descriptor that is given up to accept a connection when none is left, -1 if there is none

	readyOnce sync.Once
	ready     chan struct{} // closed once the event loop uses the listener

	mu     sync.Mutex
	closed bool
}

// newListener listens on an address.
func newListener(address string, descriptors *Descriptors) (*listener, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	defer l.Close() // the file below is a duplicate, which goes on listening
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	fd := int(file.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		file.Close()
		return nil, err
	}
	reserve, err := duplicateFD(fd)
	if err != nil {
		file.Close()
		return nil, err
	}
	return &listener{file: file, fd: fd, addr: l.Addr(), descriptors: descriptors, reserve: reserve, ready: make(chan struct{})}, nil
}

// Accept accepts a connection. It returns nil and no error if there is none, or if it has closed one for want of descriptors. It
// never returns EMFILE or ENFILE: netpoll would go on accepting on a goroutine of its own, where nothing that must be done on the
// poller may be done.
func (l *listener) Accept() (net.Conn, error) {
	if l.descriptors.isFull() {
		l.rejectOne()
		return nil, nil
	}
	fd, peer, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err == syscall.EMFILE || err == syscall.ENFILE {
		l.rejectOneByReserve()
		return nil, nil
	}
	if err == syscall.EAGAIN {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(peer)}, nil
}

// rejectOne accepts a connection and closes it, if there is one and a descriptor for it.
func (l *listener) rejectOne() {
	fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_CLOEXEC)
	switch err {
	case nil:
		syscall.Close(fd)
	case syscall.EMFILE, syscall.ENFILE:
		l.rejectOneByReserve()
	}
}

// rejectBackoff is how long the poller waits before it tries again to accept, if not even the reserve is left.
const rejectBackoff = time.Millisecond

// rejectOneByReserve closes the reserve so that a connection can be accepted, closes that, and opens the reserve again.
func (l *listener) rejectOneByReserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.reserve >= 0 {
		syscall.Close(l.reserve)
		if fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_CLOEXEC); err == nil {
			syscall.Close(fd)
		}
	} else {
		time.Sleep(rejectBackoff)
	}
	l.reserve = -1
	if reserve, err := duplicateFD(l.fd); err == nil {
		l.reserve = reserve
	}
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.addr }

// Fd returns the descriptor, for the event loop.
func (l *listener) Fd() int {
	l.readyOnce.Do(func() { close(l.ready) })
	return l.fd
}

// Close closes the descriptor. Later calls do nothing.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.reserve >= 0 {
		syscall.Close(l.reserve)
	}
	return l.file.Close()
}

// shutdown refuses new connections. The descriptor stays open.
func (l *listener) shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
}

// acceptedConn is an accepted connection, for the event loop to read and close.
type acceptedConn struct {
	net.Conn      // nil: the event loop uses only the descriptor
	fd            int
	local, remote net.Addr
}

func (a *acceptedConn) Fd() int              { return a.fd }
func (a *acceptedConn) LocalAddr() net.Addr  { return a.local }
func (a *acceptedConn) RemoteAddr() net.Addr { return a.remote }

// tcpAddr converts a socket address.
func tcpAddr(peer syscall.Sockaddr) net.Addr {
	switch p := peer.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: p.Addr[:], Port: p.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: p.Addr[:], Port: p.Port}
	}
	return &net.TCPAddr{}
}
