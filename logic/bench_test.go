package logic

import (
	"fmt"
	"testing"
)

// BenchmarkTransaction is one transaction's way through the module: its arrival and the end of its hand-off. With
// -benchmem it tells the module's part of what a transaction allocates in the running sentry.
func BenchmarkTransaction(b *testing.B) {
	s := New(StandingOrders{Sentries: 1, MostHandOffs: 2, Tick: 5000, WarmUp: second, ColdFrom: 0.5, FallMultiple: 4,
		FallSpan: second, ExposureWindow: 2 * second, Profiles: []Profile{{DueTime: second, OuterLimit: 4 * second, Value: 1}}}, 1)
	now := 1000 * second
	var list []Worker
	for i := range 32 {
		list = append(list, Worker{ID: WorkerID(fmt.Sprint("w", i)), Build: 10, Size: 1})
	}
	s.Listed(now, ListWhole, list)
	s.Told(now, News{Valid: true, Build: 10, Phase: Released, Cap: 1})
	ids := make([]TransactionID, 1024)
	for i := range ids {
		ids[i] = TransactionID(fmt.Sprint("t", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50
		id := ids[i%len(ids)]
		r := s.Arrive(now, Transaction{ID: id, Account: NoAccount, Key: "k", Limit: now + second})
		s.HandOffEnded(now+40, HandOffEnd{Transaction: id, Worker: r.Rulings[0].Worker, Closed: true, Took: 40, Load: Load{0, -1, -1}})
	}
}
