package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Impairment is the delay and the interruption of the network between two places, in one direction.
type Impairment struct {
	mu      sync.Mutex
	delay   time.Duration
	blocked chan struct{} // closed when the interruption ends, nil if there is none
}

// Set sets the delay, and whether the network is interrupted.
func (i *Impairment) Set(delay time.Duration, blocked bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = delay
	switch {
	case blocked && i.blocked == nil:
		i.blocked = make(chan struct{})
	case !blocked && i.blocked != nil:
		close(i.blocked)
		i.blocked = nil
	}
}

// Current returns the delay, and whether the network is interrupted.
func (i *Impairment) Current() (time.Duration, bool) {
	delay, blocked := i.current()
	return delay, blocked != nil
}

func (i *Impairment) current() (time.Duration, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay, i.blocked
}

// Relay forwards connections to an address, delayed or interrupted by an outbound and an inbound Impairment. Data that
// an interruption holds up never arrives: its connection is closed when the interruption ends, as by a middlebox that
// has lost its state. A hand-off therefore arrives within the delay or not at all, on which the auditor relies.
type Relay struct {
	Address           string
	target            string
	outbound, inbound *Impairment
	listener          net.Listener
	mu                sync.Mutex
	open              map[net.Conn]struct{}
	closed            chan struct{}
}

// NewRelay returns a relay that listens on loopback and forwards connections to the target.
func NewRelay(target string, outbound, inbound *Impairment) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: listener.Addr().String(), target: target, outbound: outbound, inbound: inbound, listener: listener,
		open: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	go r.serve()
	return r, nil
}

// serve accepts connections and forwards each in both directions until one of these ends.
func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			out, err := net.DialTimeout("tcp", r.target, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			r.mu.Lock()
			r.open[in], r.open[out] = struct{}{}, struct{}{}
			r.mu.Unlock()
			ended := make(chan struct{}, 2)
			go r.forward(in, out, r.outbound, ended)
			go r.forward(out, in, r.inbound, ended)
			<-ended
			r.mu.Lock()
			delete(r.open, in)
			delete(r.open, out)
			r.mu.Unlock()
		}()
	}
}

// delayedChunk is received data that is forwarded when it is due.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// forward copies data in one direction, each chunk after its delay. An interruption ends it.
func (r *Relay) forward(from io.Reader, to io.Writer, impairment *Impairment, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	chunks := make(chan delayedChunk, 256)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				delay, _ := impairment.current()
				select {
				case chunks <- delayedChunk{time.Now().Add(delay), buffer[:n]}:
				case <-r.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		if wait := time.Until(chunk.due); wait > 0 {
			time.Sleep(wait)
		}
		if _, unblocked := impairment.current(); unblocked != nil {
			select {
			case <-unblocked:
			case <-r.closed:
			}
			return
		}
		if _, err := to.Write(chunk.data); err != nil {
			return
		}
	}
}

// Close closes the relay and all its connections.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}
