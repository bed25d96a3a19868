package measure

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"scalechute/internal/wire"
)

// Bare is the relay: each frame of a client goes to a random worker over a connection of that client's own, and what
// the worker answers goes back. It knows no transaction, so nothing is looked up, timed or retried.
func ServeRelay(listen, metrics string, workers []string) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	go http.ListenAndServe(metrics, mux)
	_, err := wire.Serve(listen, wire.DefaultLimits, func(in *wire.Link) (wire.Handler, func(*wire.Link, error)) {
		var mu sync.Mutex
		var out []*wire.Link
		chance := rand.New(rand.NewSource(time.Now().UnixNano())) // wall clock: a seed
		go func() {                                               // dialling on the poller would wait for itself
			for _, w := range workers {
				l, err := wire.Dial(w, time.Second, wire.DefaultLimits, func(_ *wire.Link, kind wire.Kind, body []byte) error {
					in.PutEncoded(kind, body)
					in.Flush()
					return nil
				}, nil)
				if err == nil {
					mu.Lock()
					out = append(out, l)
					mu.Unlock()
				}
			}
		}()
		return func(_ *wire.Link, kind wire.Kind, body []byte) error {
				if kind == wire.KindHello {
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				if len(out) == 0 {
					return nil
				}
				l := out[chance.Intn(len(out))]
				l.PutEncoded(kind, body)
				l.Flush()
				return nil
			}, func(*wire.Link, error) {
				mu.Lock()
				defer mu.Unlock()
				for _, l := range out {
					l.Close(wire.ErrClosed)
				}
			}
	})
	if err != nil {
		return err
	}
	select {}
}
