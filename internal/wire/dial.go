package wire

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Connections are opened here and given to the dependency once they stand. Its own dialer fails at once where a call is
// interrupted or the system is short of buffers or ports, and tells each of these as a close by the other side.

const (
	// Waits before another socket is tried, doubled up to the longest.
	minDialBackoff = time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// dialCalls are the system calls that open a connection; tests put faults into them.
type dialSyscallSet struct {
	socket  func() (int, error)
	connect func(fd int, to syscall.Sockaddr) error
}

var dialSyscalls atomic.Pointer[dialSyscallSet]

func init() {
	dialSyscalls.Store(&dialSyscallSet{
		socket: func() (int, error) {
			return syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		},
		connect: syscall.Connect,
	})
}

// dial opens a connection within a time.
func dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	fd, err := openSocket(address, timeout)
	if errors.Is(err, errNotIPv4) { // the platform has none of these; the dependency knows them
		return netpoll.NewDialer().DialConnection("tcp", address, timeout)
	}
	if err != nil {
		return nil, err
	}
	return netpollConn(fd)
}

var errNotIPv4 = errors.New("found an address that is not of IPv4")

// open gives the descriptor of a connection that stands.
func openSocket(address string, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return -1, err
	}
	ip := resolved.IP.To4()
	if ip == nil {
		return -1, errNotIPv4
	}
	peer := &syscall.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(ip)}
	for backoff := minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		fd, err := connectSocket(peer, deadline)
		if err == nil {
			return fd, nil
		}
		if !isTransientDialError(err) || time.Until(deadline) <= backoff {
			return -1, &net.OpError{Op: "dial", Net: "tcp", Addr: resolved, Err: err}
		}
		time.Sleep(backoff)
	}
}

// connectSocket makes one socket and connects it.
func connectSocket(peer syscall.Sockaddr, deadline time.Time) (int, error) {
	calls := dialSyscalls.Load()
	fd, err := calls.socket()
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if err = calls.startConnect(fd, peer); err == syscall.EINPROGRESS {
		return calls.awaitConnect(fd, peer, deadline)
	}
	if err != nil {
		syscall.Close(fd)
		return -1, os.NewSyscallError("connect", err)
	}
	return fd, nil
}

// begin calls for a connection, again if the call is interrupted: whether the system has begun all the same shows then.
func (c *dialSyscallSet) startConnect(fd int, peer syscall.Sockaddr) error {
	for interruptions := 0; ; interruptions++ {
		switch err := c.connect(fd, peer); {
		case err == syscall.EISCONN:
			return nil
		case err == syscall.EALREADY:
			return syscall.EINPROGRESS
		case err != syscall.EINTR || interruptions >= maxInterruptions:
			return err
		}
	}
}

// finish waits on the runtime's poller until the connection stands or has failed. The descriptor is the caller's then.
func (c *dialSyscallSet) awaitConnect(fd int, peer syscall.Sockaddr, deadline time.Time) (int, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	if err := file.SetDeadline(deadline); err != nil {
		return -1, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return -1, err
	}
	connected, connectErr := -1, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		if _, err := syscall.Getpeername(int(fd)); err != nil {
			if connectErr = c.connectStatus(int(fd), peer); connectErr == syscall.EINPROGRESS {
				connectErr = nil
				return false
			}
		}
		if connectErr == nil {
			connected, connectErr = duplicateFD(int(fd))
		}
		return true
	})
	if err == nil && connectErr != nil {
		err = os.NewSyscallError("connect", connectErr)
	}
	return connected, err
}

// stands tells what has become of a connection that has not come up as far as the system says.
func (c *dialSyscallSet) connectStatus(fd int, peer syscall.Sockaddr) error {
	code, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
	if err == nil && code != 0 {
		return syscall.Errno(code)
	}
	return c.startConnect(fd, peer)
}

// duplicate keeps a connection beyond the file that waits for it.
func duplicateFD(fd int) (int, error) {
	kept, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(fd), syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(kept), nil
}

// adopt gives a connection that stands to the dependency.
func netpollConn(fd int) (netpoll.Connection, error) {
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
	}
	return conn, err
}

// passesInDial says of an error that another socket may do better.
func isTransientDialError(err error) bool {
	return isTransient(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// DialConn opens a connection for a library that reads and writes by itself, by the same calls.
func DialConn(address string, timeout time.Duration) (net.Conn, error) {
	fd, err := openSocket(address, timeout)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close() // the connection has a descriptor of its own
	return net.FileConn(file)
}
