package standin

import (
	"net"
	"testing"
	"time"
)

// Connections to a held address are refused, a listener that names it can listen on it again and again, and none that
// leaves the choice of its port to the system gets it.
//
// It guards against tests that freed a port before they gave it away: a listener of another test or process got it, and
// the connections that were meant for nobody.
func TestHoldAddress(t *testing.T) {
	held, err := HoldAddress()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Release()
	for range 3 {
		if c, err := net.DialTimeout("tcp", held.Address, time.Second); err == nil {
			c.Close()
			t.Fatal("a connection to a held address was accepted")
		}
		listener, err := net.Listen("tcp", held.Address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.DialTimeout("tcp", held.Address, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		listener.Close()
	}
	for range 2000 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if listener.Close(); listener.Addr().String() == held.Address {
			t.Fatal("the system gave a held port away")
		}
	}
}
