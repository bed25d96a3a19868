package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Weather is what happens on the links between two places, one way.
type Impairment struct {
	mu    sync.Mutex
	delay time.Duration
	cut   chan struct{} // closed when the cut is over, nil if there is none
}

// Set changes it.
func (w *Impairment) Set(delay time.Duration, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = delay
	switch {
	case cut && w.cut == nil:
		w.cut = make(chan struct{})
	case !cut && w.cut != nil:
		close(w.cut)
		w.cut = nil
	}
}

// Now tells it: the delay, and whether nothing passes.
func (w *Impairment) Current() (time.Duration, bool) {
	delay, cut := w.current()
	return delay, cut != nil
}

func (w *Impairment) current() (time.Duration, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay, w.cut
}

// Relay passes connections on to one address, delayed or cut off as the weather says: there on the way out, back on
// the way in. What a cut holds up never arrives: its connection is closed when the cut is over, as by a middlebox that
// has lost its state. So a hand-off arrives within the delay or not at all, which the auditor relies on.
type Relay struct {
	Address     string
	to          string
	there, back *Impairment
	listener    net.Listener
	mu          sync.Mutex
	open        map[net.Conn]struct{}
	closed      chan struct{}
}

// NewRelay listens for an address.
func NewRelay(to string, there, back *Impairment) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: listener.Addr().String(), to: to, there: there, back: back, listener: listener,
		open: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	go r.serve()
	return r, nil
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			out, err := net.DialTimeout("tcp", r.to, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			r.mu.Lock()
			r.open[in], r.open[out] = struct{}{}, struct{}{}
			r.mu.Unlock()
			ended := make(chan struct{}, 2)
			go r.pass(in, out, r.there, ended)
			go r.pass(out, in, r.back, ended)
			<-ended
			r.mu.Lock()
			delete(r.open, in)
			delete(r.open, out)
			r.mu.Unlock()
		}()
	}
}

type parcel struct {
	due  time.Time
	data []byte
}

// pass copies one way. Each piece waits out its delay; the cut holds everything up.
func (r *Relay) pass(from io.Reader, to io.Writer, w *Impairment, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	line := make(chan parcel, 256)
	go func() {
		defer close(line)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				delay, _ := w.current()
				select {
				case line <- parcel{time.Now().Add(delay), buffer[:n]}:
				case <-r.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range line {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		if _, cut := w.current(); cut != nil {
			select {
			case <-cut:
			case <-r.closed:
			}
			return
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
}

// Close ends it with all it passes on.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}
