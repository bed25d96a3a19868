package sentry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// book is the list of workers as last told, which a restarted sentry begins with.
type workerList struct {
	zones         []string
	version       uint64
	lines         []*pb.Line // in the order in which they were first told; none that is gone
	lineIndex     map[logic.WorkerID]int
	instances     map[logic.WorkerID]workerInstance
	releaseStatus logic.ReleaseStatus // as last told, for the breaches
	unsaved       bool                // the timer to save it runs, or a change came while it was being written
	writing       bool
}

// life keeps a worker's start the same on this sentry's clock, however often its age is told.
type workerInstance struct {
	id        uint64
	startedAt logic.Micros
	address   string
}

func newWorkerList(zones []string) workerList {
	return workerList{zones: zones, lineIndex: map[logic.WorkerID]int{}, instances: map[logic.WorkerID]workerInstance{}}
}

func (b *workerList) zoneName(z logic.ZoneID) string {
	if z >= 0 && int(z) < len(b.zones) {
		return b.zones[z]
	}
	return ""
}

// zone numbers the zones of the sheet; what the list names beyond them follows.
func (b *workerList) zoneID(name string) logic.ZoneID {
	for i, z := range b.zones {
		if z == name {
			return logic.ZoneID(i)
		}
	}
	b.zones = append(b.zones[:len(b.zones):len(b.zones)], name)
	return logic.ZoneID(len(b.zones) - 1)
}

func (b *workerList) address(id logic.WorkerID) string { return b.instances[id].address }

// take books a report and gives it in the module's terms.
func (b *workerList) apply(m *pb.Report, now logic.Micros) []logic.Worker {
	if m.Whole {
		b.lines, b.lineIndex = nil, map[logic.WorkerID]int{}
	}
	b.version = m.Version
	list := make([]logic.Worker, 0, len(m.Lines))
	for _, line := range m.Lines {
		id := logic.WorkerID(line.Id)
		if id == "" || math.IsNaN(line.Size) || math.IsInf(line.Size, 0) {
			continue
		}
		w := logic.Worker{ID: id, Build: logic.BuildID(line.Build), Zone: b.zoneID(line.Zone), Cell: int(line.Cell),
			Size: line.Size, State: logic.WorkerState(min(max(line.State, 0), pb.Line_GONE))}
		l, known := b.instances[id]
		if !known || l.id != line.Life {
			l = workerInstance{id: line.Life}
			if line.Young && line.Age < uint64(now) {
				l.startedAt = now - logic.Micros(line.Age)
			}
		}
		if line.Address != "" {
			l.address = line.Address
		}
		b.instances[id] = l
		w.Started = l.startedAt
		list = append(list, w)
		at, listed := b.lineIndex[id]
		switch {
		case w.State == logic.Gone && listed:
			b.lines = append(b.lines[:at], b.lines[at+1:]...)
			delete(b.lineIndex, id)
			for i := at; i < len(b.lines); i++ {
				b.lineIndex[logic.WorkerID(b.lines[i].Id)] = i
			}
		case w.State == logic.Gone:
		case listed:
			b.lines[at] = line
		default:
			b.lineIndex[id] = len(b.lines)
			b.lines = append(b.lines, line)
		}
	}
	return list
}

// The file: eight bytes of hash, eight of the wall clock in microseconds, for people, a Report. Ages of servers are those as
// it was written: no clock that can be trusted tells how long ago that was, and a server taken for too young is spared, not
// overloaded.

const listFileHeaderBytes = 16

func (b *workerList) encode(now logic.Micros) ([]byte, error) {
	m := &pb.Report{Whole: true, Version: b.version}
	for _, line := range b.lines {
		line := proto.Clone(line).(*pb.Line)
		if started := b.instances[logic.WorkerID(line.Id)].startedAt; started > 0 {
			line.Young, line.Age = true, uint64(now-started)
		} else {
			line.Young = false
		}
		m.Lines = append(m.Lines, line)
	}
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, listFileHeaderBytes), m)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint64(out[8:], uint64(time.Now().UnixMicro())) // wall clock: for people
	binary.BigEndian.PutUint64(out, xxh3.Hash(out[8:]))
	return out, nil
}

func decodeListFile(data []byte) (*pb.Report, error) {
	if len(data) < listFileHeaderBytes || binary.BigEndian.Uint64(data) != xxh3.Hash(data[8:]) {
		return nil, errors.New("found a damaged file, expected a list as a sentry saves it")
	}
	m := &pb.Report{}
	if err := proto.Unmarshal(data[listFileHeaderBytes:], m); err != nil {
		return nil, err
	}
	return m, nil
}

// remembered is the list that the last run of this sentry saved, empty if there is none.
func (s *Sentry) loadCachedList() []logic.Worker {
	m, err := s.cachedList, error(nil)
	if m == nil {
		var data []byte
		data, err = os.ReadFile(s.settings.Endpoints.CachedListFile)
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		if err == nil {
			m, err = decodeListFile(data)
		}
	}
	if err != nil {
		s.log.Warn().Str("file", s.settings.Endpoints.CachedListFile).Err(err).Msg("no remembered list")
		return nil
	}
	list := s.workerList.apply(m, s.now)
	if s.cachedList == nil {
		s.workerList.version = 0 // a service of frames may have begun anew meanwhile: it tells all
	}
	for _, in := range list {
		s.updateWorker(in)
	}
	s.log.Info().Int("workers", len(list)).Msg("remembered list")
	return list
}

const saveDelayMicros = logic.Micros(500_000)

func (s *Sentry) scheduleSave() {
	if s.workerList.unsaved || s.settings.Endpoints.CachedListFile == "" {
		return
	}
	s.workerList.unsaved = true
	if !s.workerList.writing {
		s.timers.add(timer{due: s.now + saveDelayMicros, kind: timerSave})
	}
}

// save writes the list beside the old file and puts it in its place, so that a kill at any point leaves one whole. The
// loop does not wait for the disk.
func (s *Sentry) save() {
	data, err := s.workerList.encode(s.now)
	if err != nil {
		s.handleSaved(err)
		return
	}
	s.workerList.unsaved, s.workerList.writing = false, true
	s.listWrites.Add(1)
	file := s.settings.Endpoints.CachedListFile // new orders may take the sheet's place meanwhile
	go func() {
		defer s.listWrites.Done()
		s.inbox.put(&event{kind: eventListSaved, err: replaceFile(file, data)}, false)
	}()
}

func (s *Sentry) handleSaved(err error) {
	s.workerList.writing = false
	if err != nil {
		s.log.Error().Str("file", s.settings.Endpoints.CachedListFile).Err(err).Msg("the list could not be saved")
	}
	if s.workerList.unsaved {
		s.timers.add(timer{due: s.now + saveDelayMicros, kind: timerSave})
	}
}

// saveLast saves what has changed since, at the end of the loop.
func (s *Sentry) saveFinal() {
	s.listWrites.Wait()
	if !s.workerList.unsaved {
		return
	}
	data, err := s.workerList.encode(s.now)
	if err == nil {
		err = replaceFile(s.settings.Endpoints.CachedListFile, data)
	}
	s.workerList.unsaved = false
	s.handleSaved(err)
}

func replaceFile(name string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".new*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return os.Rename(f.Name(), name)
}
