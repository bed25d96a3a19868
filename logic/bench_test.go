package logic

import (
	"fmt"
	"testing"
)

// BenchmarkTransaction measures the decisions on one transaction: its arrival and the end of its hand-off. With
// -benchmem it reports this package's part of the allocations per transaction in a running sentry.
func BenchmarkTransaction(b *testing.B) {
	s := New(Config{Sentries: 1, MaxHandOffs: 2, TimerGranularity: 5000, WarmUp: second, ColdCapacity: 0.5, ColdLoadMultiple: 4,
		ColdLoadWindow: second, ExposureWindow: 2 * second, Profiles: []Profile{{DueTime: second, MaxDeadline: 4 * second, Value: 1}}}, 1)
	now := 1000 * second
	var workers []Worker
	for i := range 32 {
		workers = append(workers, Worker{ID: WorkerID(fmt.Sprint("w", i)), Build: 10, Size: 1})
	}
	s.ListReceived(now, FullList, workers)
	s.ReleaseUpdated(now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	ids := make([]TransactionID, 1024)
	for i := range ids {
		ids[i] = TransactionID(fmt.Sprint("t", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50
		id := ids[i%len(ids)]
		result := s.TransactionArrived(now, Transaction{ID: id, Account: NoAccount, Key: "k", Deadline: now + second})
		s.HandOffEnded(now+40, HandOffEnd{Transaction: id, Worker: result.Actions[0].Worker, TransactionClosed: true, Duration: 40, Load: Load{0, -1, -1}})
	}
}
