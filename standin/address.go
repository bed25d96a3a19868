package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

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
