package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// HeldAddress is a loopback address on which nobody listens, and on which only a listener that names its port can listen
// until it is released: a socket that does not listen holds the port. A port that is merely free may become that of any
// other listener or connection of the machine at any moment.
type HeldAddress struct {
	Address string
	fd      int
}

// HoldAddress holds an address with a port that the system chooses.
func HoldAddress() (*HeldAddress, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	h := &HeldAddress{fd: fd}
	if err := h.bind(); err != nil {
		h.Release()
		return nil, err
	}
	return h, nil
}

// bind binds the socket. With SO_REUSEADDR a listener that names the port can share it.
func (h *HeldAddress) bind() error {
	if err := syscall.SetsockoptInt(h.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(h.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(h.fd)
	if err != nil {
		return err
	}
	h.Address = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	return nil
}

// Release gives up the address.
func (h *HeldAddress) Release() { _ = syscall.Close(h.fd) }

// triedPorts counts the ports that FreeAddress has tried, so that it tries each once before it starts again.
var triedPorts atomic.Int64

// FreeAddress returns a loopback address on which nobody listens. Its port is below the range of ephemeral ports, so
// that a process which listened on it can listen on it again after a restart.
func FreeAddress() (string, error) {
	const minPort, maxPort = 10_000, 32_000
	for range maxPort - minPort {
		sequence := triedPorts.Add(1) + int64(os.Getpid())*61
		address := fmt.Sprintf("127.0.0.1:%d", minPort+sequence%(maxPort-minPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port from %d to %d", minPort, maxPort)
}
