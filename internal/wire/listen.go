package wire

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listenWithin is how long a listener is tried for while the system is short of what it takes.
const listenTimeout = 5 * time.Second

func listen(address string) (net.Listener, error) {
	for deadline, backoff := time.Now().Add(listenTimeout), minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !isTransientDialError(err) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(backoff)
	}
}

// listener is what a server accepts connections from. The dependency's own closes its descriptor twice, and in between the
// number may have become that of another file.
type listener struct {
	file      *os.File
	fd        int
	addr      net.Addr
	readyOnce sync.Once
	ready     chan struct{} // closed once the event loop has taken it up

	mu     sync.Mutex
	closed bool
}

// newListener listens at an address.
func newListener(address string) (*listener, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	defer l.Close() // the file below goes on listening
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

// Accept takes up a connection, none and no error where there is none.
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

// Addr is where it listens.
func (l *listener) Addr() net.Addr { return l.addr }

// Fd is its descriptor, for the event loop.
func (l *listener) Fd() int {
	l.readyOnce.Do(func() { close(l.ready) })
	return l.fd
}

// Close closes its descriptor, once.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.file.Close()
}

// shutdown refuses new connections. The descriptor stays.
func (l *listener) shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
}

// accepted is a connection that was taken up, for the event loop to read and close.
type acceptedConn struct {
	net.Conn      // none: the event loop uses the descriptor
	fd            int
	local, remote net.Addr
}

func (a *acceptedConn) Fd() int              { return a.fd }
func (a *acceptedConn) LocalAddr() net.Addr  { return a.local }
func (a *acceptedConn) RemoteAddr() net.Addr { return a.remote }

// addressOf gives the address of a peer.
func tcpAddr(peer syscall.Sockaddr) net.Addr {
	switch p := peer.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: p.Addr[:], Port: p.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: p.Addr[:], Port: p.Port}
	}
	return &net.TCPAddr{}
}
