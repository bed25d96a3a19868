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

// ServeRelay runs the bare relay. It forwards each frame of a client to a random worker, over connections that are
// opened for this client alone, and forwards the workers' frames back to the client. It does not decode the bodies of
// frames, and it looks up, times and retries nothing. It returns only if it cannot listen.
func ServeRelay(listen, metrics string, workers []string) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	go http.ListenAndServe(metrics, mux)
	_, err := wire.Serve(listen, wire.DefaultLimits, func(client *wire.Link) (wire.Handler, func(*wire.Link, error)) {
		var mu sync.Mutex
		var workerLinks []*wire.Link
		rng := rand.New(rand.NewSource(time.Now().UnixNano())) // wall clock: a seed
		go func() {                                            // a dial here, on the poller, would wait for the poller itself
			for _, w := range workers {
				link, err := wire.Dial(w, time.Second, wire.DefaultLimits, func(_ *wire.Link, kind wire.Kind, body []byte) error {
					client.PutEncoded(kind, body)
					client.Flush()
					return nil
				}, nil)
				if err == nil {
					mu.Lock()
					workerLinks = append(workerLinks, link)
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
				if len(workerLinks) == 0 {
					return nil
				}
				link := workerLinks[rng.Intn(len(workerLinks))]
				link.PutEncoded(kind, body)
				link.Flush()
				return nil
			}, func(*wire.Link, error) {
				mu.Lock()
				defer mu.Unlock()
				for _, link := range workerLinks {
					link.Close(wire.ErrClosed)
				}
			}
	})
	if err != nil {
		return err
	}
	select {}
}
