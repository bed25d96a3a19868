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

// Connections are opened here and passed to netpoll once they are established. Netpoll's own dialer fails at once when a call is
// interrupted or the system is short of buffers or ports, and reports each of these as a close by the peer.

const (
	// Delays before dialling with another socket; the delay doubles up to the maximum.
	minDialBackoff = time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// dialSyscallSet holds the system calls that open a connection. Tests replace them to inject faults.
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

// dial opens a connection within the timeout.
func dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	fd, err := openSocket(address, timeout)
	if errors.Is(err, errNotIPv4) { // IPv6 is not used by the platform, and netpoll can dial it
		return netpoll.NewDialer().DialConnection("tcp", address, timeout)
	}
	if err != nil {
		return nil, err
	}
	return netpollConn(fd)
}

var errNotIPv4 = errors.New("not an IPv4 address")

// openSocket returns the descriptor of an established connection.
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

// connectSocket creates one socket and connects it.
func connectSocket(peer syscall.Sockaddr, deadline time.Time) (int, error) {
	calls := dialSyscalls.Load()
	fd, err := calls.socket()
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if err = calls.startConnect(fd, peer); err == syscall.EINPROGRESS {
		return calls.waitConnected(fd, peer, deadline)
	}
	if err != nil {
		syscall.Close(fd)
		return -1, os.NewSyscallError("connect", err)
	}
	return fd, nil
}

// startConnect calls connect, and calls it again if it is interrupted: the error of the next call shows whether the connection
// has been started all the same.
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

// waitConnected waits on the runtime's poller until the connection is established or has failed. It closes fd, and returns a
// duplicate that the caller owns.
func (c *dialSyscallSet) waitConnected(fd int, peer syscall.Sockaddr, deadline time.Time) (int, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	if err := file.SetDeadline(deadline); err != nil {
		return -1, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return -1, err
	}
	connectedFD, connectErr := -1, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		if _, err := syscall.Getpeername(int(fd)); err != nil {
			if connectErr = c.connectStatus(int(fd), peer); connectErr == syscall.EINPROGRESS {
				connectErr = nil
				return false
			}
		}
		if connectErr == nil {
			connectedFD, connectErr = duplicateFD(int(fd))
		}
		return true
	})
	if err == nil && connectErr != nil {
		err = os.NewSyscallError("connect", connectErr)
	}
	return connectedFD, err
}

// connectStatus returns the state of a connection attempt whose socket has no peer yet: EINPROGRESS while it is pending, nil if
// it has succeeded.
func (c *dialSyscallSet) connectStatus(fd int, peer syscall.Sockaddr) error {
	code, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
	if err == nil && code != 0 {
		return syscall.Errno(code)
	}
	return c.startConnect(fd, peer)
}

// duplicateFD duplicates a descriptor, with close-on-exec set.
func duplicateFD(fd int) (int, error) {
	duplicate, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(fd), syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(duplicate), nil
}

// netpollConn passes an established connection to netpoll.
func netpollConn(fd int) (netpoll.Connection, error) {
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
	}
	return conn, err
}

// isTransientDialError reports whether a dial that failed with the error may succeed with another socket.
func isTransientDialError(err error) bool {
	return isTransient(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// DialConn opens a connection as Dial does, for a library that needs a net.Conn.
func DialConn(address string, timeout time.Duration) (net.Conn, error) {
	fd, err := openSocket(address, timeout)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}
