package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var reserved atomic.Int64

// FreeAddress is a loopback address on which nobody listens. Its port is below those that the system gives to outgoing
// connections, so that whoever listened there can come back to it after a restart.
func FreeAddress() (string, error) {
	const least, most = 10_000, 32_000
	for range most - least {
		n := reserved.Add(1) + int64(os.Getpid())*61
		address := fmt.Sprintf("127.0.0.1:%d", least+n%(most-least))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port from %d to %d", least, most)
}
