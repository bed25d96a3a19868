package wire

import (
	"os"
	"sync"
	"testing"
)

// Servers start and close while other goroutines open and read files: closing a server closes no descriptor but its own.
//
// It guards against "readdirent: bad file descriptor", as a test's clean-up failed in a CI run: netpoll's listener
// (net_listener.go) closes its descriptor twice, once by number and once through its os.File, and between the two closes the
// number may be reused by another file. With that listener this test fails.
func TestServerClosesItsDescriptorOnce(t *testing.T) {
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				dir, err := os.Open(".")
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := dir.Readdirnames(-1); err != nil {
					t.Error(err)
					return
				}
				if err := dir.Close(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 300 {
		server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(*Link) (DataHandler, func(*Link, error)) {
			return func(*Link, []byte) ([]byte, error) { return nil, nil }, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		server.Close()
	}
	close(done)
	readers.Wait()
}
