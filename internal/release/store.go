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

// Store keeps a release on disk: a snapshot of its state and the events since. An event is on disk before anyone is told
// its effect, so a desk that comes back has come as far as it had told, or further. Each record carries a sum over
// itself and all before it: a file that was cut or changed is refused, never read in part.
type Store struct {
	db      *bbolt.DB
	release *plan.Release
	next    uint64 // number of the next event
	sum     uint64 // of the last record
	since   int    // events since the snapshot
	every   int
	plan    uint64 // sum of the plan
}

// StoreFault says that a file can't be relied on, and what to do.
type CorruptStoreError struct{ File, Problem string }

func (f *CorruptStoreError) Error() string {
	return fmt.Sprintf("%s: found %s, expected a whole file; put back a copy of it, or move it away and begin the plan anew", f.File, f.Problem)
}

var (
	eventsBucket = []byte("events")
	headBucket   = []byte("head")
	snapshotKey  = []byte("snapshot")
)

// snapshot is the state after so many events.
type snapshot struct {
	Plan  uint64     `json:"plan"` // sum of the plan that this is about
	Next  uint64     `json:"next"`
	Sum   uint64     `json:"sum"`
	State plan.State `json:"state"`
}

// OpenStore opens a file or begins one, and has the release where it was. A snapshot is taken after so many events.
func OpenStore(file string, r *plan.Release, every int) (s *Store, err error) {
	s = &Store{release: r, every: every, plan: planSum(r.Plan)}
	defer func() {
		if err != nil {
			if s.db != nil {
				_ = s.db.Close()
			}
			s = nil
		}
	}()
	if data, bad := os.ReadFile(file); bad == nil {
		if bad := checkPages(data); bad != nil {
			return s, &CorruptStoreError{file, bad.Error()}
		}
	} else if !errors.Is(bad, os.ErrNotExist) {
		return s, bad
	}
	if s.db, err = bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}); err != nil {
		if errors.Is(err, bbolt.ErrTimeout) {
			return s, fmt.Errorf("%s: found it in use by another desk, expected it free", file)
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
				return &CorruptStoreError{file, "events without the snapshot before them"}
			}
			return s.snapshot(tx)
		}
		return s.load(file, head, events)
	})
	return s, err
}

// planSum tells plans apart.
func planSum(p *plan.Plan) uint64 {
	text, err := json.Marshal(p)
	if err != nil { // it has no value that JSON lacks: caps and shares are checked
		panic(err)
	}
	for i := range p.Windows {
		text = append(text, p.Windows[i].Zone.String()...)
	}
	return xxh3.Hash(text)
}

// load takes the snapshot and the events after it.
func (s *Store) load(file string, head, events *bbolt.Bucket) error {
	text := head.Get(snapshotKey)
	var snap snapshot
	if len(text) < 8 || binary.BigEndian.Uint64(text) != xxh3.Hash(text[8:]) || json.Unmarshal(text[8:], &snap) != nil {
		return &CorruptStoreError{file, "a snapshot that does not agree with its sum"}
	}
	if snap.Plan != s.plan {
		return fmt.Errorf("%s: found the state of another plan, expected that of %s; a plan that has begun is not changed", file, s.release.Plan.Name)
	}
	s.release.State, s.next, s.sum = snap.State, snap.Next, snap.Sum
	cursor := events.Cursor()
	for k, v := cursor.Seek(number(snap.Next)); k != nil; k, v = cursor.Next() {
		var e plan.Event
		if len(k) != 8 || binary.BigEndian.Uint64(k) != s.next || len(v) < 8 || binary.BigEndian.Uint64(v) != chain(s.sum, v[8:]) ||
			json.Unmarshal(v[8:], &e) != nil {
			return &CorruptStoreError{file, fmt.Sprintf("event %d missing or not in agreement with its sum", s.next)}
		}
		if _, err := s.release.Apply(&e); err != nil {
			return &CorruptStoreError{file, fmt.Sprintf("event %d that the plan refuses (%v)", s.next, err)}
		}
		s.sum = binary.BigEndian.Uint64(v)
		s.next++
		s.since++
	}
	return nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func chain(before uint64, text []byte) uint64 { return xxh3.HashSeed(text, before) }

// errQuiet gives a write up that has nothing to write.
var errQuiet = errors.New("nothing to keep")

// Step takes events in their order. Those that the plan refuses, and ticks that come to nothing, are not kept; the others are on disk when their effects
// come back. If the disk does not take them the release stands where it stood, and nothing may be told.
func (s *Store) Apply(all ...*plan.Event) (effects []plan.Action, refused []error, err error) {
	before, next, sum, since := s.release.State.Clone(), s.next, s.sum, s.since
	err = s.db.Update(func(tx *bbolt.Tx) error {
		events := tx.Bucket(eventsBucket)
		for _, e := range all {
			now := s.release.State.Now
			es, no := s.release.Apply(e)
			if no != nil {
				s.release.State.Now = now // a refusal leaves no trace, so that a replay without it comes to the same
				refused = append(refused, no)
				continue
			}
			if e.Kind == plan.EventTick && len(es) == 0 {
				s.release.State.Now = now // nothing but time has passed: not worth a write
				continue
			}
			text, err := json.Marshal(e)
			if err != nil {
				return err
			}
			s.sum = chain(s.sum, text)
			if err := events.Put(number(s.next), append(number(s.sum), text...)); err != nil {
				return err
			}
			s.next++
			s.since++
			effects = append(effects, es...)
		}
		if s.next == next {
			return errQuiet
		}
		if s.since >= s.every {
			return s.snapshot(tx)
		}
		return nil
	})
	if err != nil && !errors.Is(err, errQuiet) {
		s.release.State, s.next, s.sum, s.since = before, next, sum, since
		return nil, nil, err
	}
	return effects, refused, nil
}

// snapshot writes the state and forgets the events before it.
func (s *Store) snapshot(tx *bbolt.Tx) error {
	text, err := json.Marshal(&snapshot{s.plan, s.next, s.sum, s.release.State})
	if err != nil {
		return err
	}
	if err := tx.Bucket(headBucket).Put(snapshotKey, append(number(xxh3.Hash(text)), text...)); err != nil {
		return err
	}
	s.since = 0
	cursor := tx.Bucket(eventsBucket).Cursor()
	for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) < s.next; k, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Events is how many have been kept so far.
func (s *Store) EventCount() uint64 { return s.next }

// Close gives the file free.
func (s *Store) Close() error { return s.db.Close() }
