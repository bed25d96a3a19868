package wire

import (
	"os"
	"sync"
	"testing"
)

// Servers begin and end while other goroutines open and read files: the end of a server closes its own descriptor alone.
//
// What happened: a test's clean-up failed in a CI run with "readdirent: bad file descriptor". Why: the dependency's listener
// closes its descriptor twice, once by number and once by the file that holds it, and in between the number may have become
// another's. The evidence: net_listener.go of the dependency, and this test, which fails without the mend.
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
