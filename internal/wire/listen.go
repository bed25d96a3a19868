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
	file      *os.File
	fd        int
	addr      net.Addr
	readyOnce sync.Once
	ready     chan struct{} // closed once the event loop uses the listener

	mu     sync.Mutex
	closed bool
}

// newListener listens on an address.
func newListener(address string) (*listener, error) {
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
	return &listener{file: file, fd: fd, addr: l.Addr(), ready: make(chan struct{})}, nil
}

// Accept accepts a connection. It returns nil and no error if there is none.
func (l *listener) Accept() (net.Conn, error) {
	fd, peer, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err == syscall.EAGAIN {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(peer)}, nil
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
