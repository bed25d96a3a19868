package release

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"

	"scalechute/internal/plan"
)

// Store keeps a release on disk: a snapshot of its state and the events since then. An event is on disk before its actions
// are carried out, so after a restart the state is at least as recent as anything that was sent. Each record carries a
// checksum over itself and all earlier records: a truncated or changed file is rejected as a whole.
type Store struct {
	db                  *bbolt.DB
	release             *plan.Release
	nextEvent           uint64 // number of the next event
	checksum            uint64 // of the last record
	eventsSinceSnapshot int
	snapshotInterval    int    // in events
	planHash            uint64 // of the release's plan
}

// CorruptStoreError reports a file that is damaged.
type CorruptStoreError struct{ File, Problem string }

// Error returns the file, the problem, and what to do about it.
func (e *CorruptStoreError) Error() string {
	return fmt.Sprintf("%s: found %s, expected an intact file; restore a copy of it, or move it away and start the plan again", e.File, e.Problem)
}

// Buckets and keys of the file. The first holds the events by number, the second the snapshot. Each value is a checksum of
// 8 bytes, and then JSON.
var (
	eventsBucket = []byte("events")
	headBucket   = []byte("head")
	snapshotKey  = []byte("snapshot")
)

// storeSnapshot is the state of the release before the event NextEvent.
type storeSnapshot struct {
	PlanHash  uint64     `json:"plan"`
	NextEvent uint64     `json:"next"`
	Checksum  uint64     `json:"sum"` // of the record before NextEvent
	State     plan.State `json:"state"`
}

// OpenStore opens a file, or creates it, and restores the state of the release from it. The store takes a snapshot after
// every snapshotInterval events.
func OpenStore(file string, release *plan.Release, snapshotInterval int) (s *Store, err error) {
	s = &Store{release: release, snapshotInterval: snapshotInterval, planHash: planHash(release.Plan)}
	defer func() {
		if err != nil {
			if s.db != nil {
				_ = s.db.Close()
			}
			s = nil
		}
	}()
	if data, readErr := os.ReadFile(file); readErr == nil {
		if readErr := checkPages(data); readErr != nil {
			return s, &CorruptStoreError{file, readErr.Error()}
		}
	} else if !errors.Is(readErr, os.ErrNotExist) {
		return s, readErr
	}
	if s.db, err = bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}); err != nil {
		if errors.Is(err, bbolt.ErrTimeout) {
			return s, fmt.Errorf("%s: found the file in use by another process, expected it to be free", file)
		}
		return s, &CorruptStoreError{file, err.Error()}
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		events, err := tx.CreateBucketIfNotExists(eventsBucket)
		if err != nil {
			return err
		}
		head, err := tx.CreateBucketIfNotExists(headBucket)
		if err != nil {
			return err
		}
		if head.Get(snapshotKey) == nil {
			if k, _ := events.Cursor().First(); k != nil {
				return &CorruptStoreError{file, "events without a snapshot"}
			}
			return s.storeSnapshot(tx)
		}
		return s.restore(file, head, events)
	})
	return s, err
}

// planHash returns a hash that identifies a plan.
func planHash(p *plan.Plan) uint64 {
	text, err := json.Marshal(p)
	if err != nil { // JSON can represent every value: caps and shares have been checked
		panic(err)
	}
	for i := range p.Windows {
		text = append(text, p.Windows[i].Zone.String()...)
	}
	return xxh3.Hash(text)
}

// restore reads the snapshot and applies the events after it.
func (s *Store) restore(file string, head, events *bbolt.Bucket) error {
	text := head.Get(snapshotKey)
	var snapshot storeSnapshot
	if len(text) < 8 || binary.BigEndian.Uint64(text) != xxh3.Hash(text[8:]) || json.Unmarshal(text[8:], &snapshot) != nil {
		return &CorruptStoreError{file, "a snapshot with a wrong checksum"}
	}
	if snapshot.PlanHash != s.planHash {
		return fmt.Errorf("%s: found the state of another plan, expected that of %s; a plan cannot change once it has started", file, s.release.Plan.Name)
	}
	s.release.State, s.nextEvent, s.checksum = snapshot.State, snapshot.NextEvent, snapshot.Checksum
	cursor := events.Cursor()
	for k, v := cursor.Seek(encodeNumber(snapshot.NextEvent)); k != nil; k, v = cursor.Next() {
		var event plan.Event
		if len(k) != 8 || binary.BigEndian.Uint64(k) != s.nextEvent || len(v) < 8 ||
			binary.BigEndian.Uint64(v) != chainChecksum(s.checksum, v[8:]) || json.Unmarshal(v[8:], &event) != nil {
			return &CorruptStoreError{file, fmt.Sprintf("event %d missing or with a wrong checksum", s.nextEvent)}
		}
		if _, err := s.release.Apply(&event); err != nil {
			return &CorruptStoreError{file, fmt.Sprintf("event %d that the plan rejects (%v)", s.nextEvent, err)}
		}
		s.checksum = binary.BigEndian.Uint64(v)
		s.nextEvent++
		s.eventsSinceSnapshot++
	}
	return nil
}

// encodeNumber returns a number in big-endian order, in which keys sort by number.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// chainChecksum returns the checksum of a record after one with the previous checksum.
func chainChecksum(previous uint64, text []byte) uint64 { return xxh3.HashSeed(text, previous) }

// errNothingToStore rolls back a transaction that has nothing to write.
var errNothingToStore = errors.New("nothing to store")

// Apply applies events in order and returns the actions to take, and the errors of the events that the plan rejects.
// Rejected events, and ticks without actions, are not stored; all others are on disk when Apply returns. If writing fails,
// the release keeps its earlier state, and nothing may be sent.
func (s *Store) Apply(events ...*plan.Event) (actions []plan.Action, rejected []error, err error) {
	savedState, savedNextEvent, savedChecksum, savedCount := s.release.State.Clone(), s.nextEvent, s.checksum, s.eventsSinceSnapshot
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(eventsBucket)
		for _, event := range events {
			lastEventTime := s.release.State.Now
			eventActions, rejection := s.release.Apply(event)
			if rejection != nil {
				s.release.State.Now = lastEventTime // a rejected event changes nothing, so that a replay without it gives the same state
				rejected = append(rejected, rejection)
				continue
			}
			if event.Kind == plan.EventTick && len(eventActions) == 0 {
				s.release.State.Now = lastEventTime // only time has passed, which is not worth a write
				continue
			}
			text, err := json.Marshal(event)
			if err != nil {
				return err
			}
			s.checksum = chainChecksum(s.checksum, text)
			if err := bucket.Put(encodeNumber(s.nextEvent), append(encodeNumber(s.checksum), text...)); err != nil {
				return err
			}
			s.nextEvent++
			s.eventsSinceSnapshot++
			actions = append(actions, eventActions...)
		}
		if s.nextEvent == savedNextEvent {
			return errNothingToStore
		}
		if s.eventsSinceSnapshot >= s.snapshotInterval {
			return s.storeSnapshot(tx)
		}
		return nil
	})
	if err != nil && !errors.Is(err, errNothingToStore) {
		s.release.State, s.nextEvent, s.checksum, s.eventsSinceSnapshot = savedState, savedNextEvent, savedChecksum, savedCount
		return nil, nil, err
	}
	return actions, rejected, nil
}

// storeSnapshot writes a snapshot of the state and deletes the events before it.
func (s *Store) storeSnapshot(tx *bbolt.Tx) error {
	text, err := json.Marshal(&storeSnapshot{s.planHash, s.nextEvent, s.checksum, s.release.State})
	if err != nil {
		return err
	}
	if err := tx.Bucket(headBucket).Put(snapshotKey, append(encodeNumber(xxh3.Hash(text)), text...)); err != nil {
		return err
	}
	s.eventsSinceSnapshot = 0
	cursor := tx.Bucket(eventsBucket).Cursor()
	for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) < s.nextEvent; k, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// EventCount returns the number of events stored so far.
func (s *Store) EventCount() uint64 { return s.nextEvent }

// Close closes the file, so that another process can open it.
func (s *Store) Close() error { return s.db.Close() }
