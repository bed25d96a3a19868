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

// workerList is the worker list as last received from discovery. It is saved to a file, which a restarted sentry loads.
type workerList struct {
	zones         []string
	version       uint64
	lines         []*pb.Line // in the order in which the workers were first listed, without those that are gone
	lineIndex     map[logic.WorkerID]int
	instances     map[logic.WorkerID]workerInstance
	releaseStatus logic.ReleaseStatus // as last received, for fault injection
	unsaved       bool                // the timer to save it is set, or it has changed while it was being written
	writing       bool
}

// workerInstance is one run of a worker's process. Its start time is computed from the first report of the worker's
// age, so that later reports do not move it.
type workerInstance struct {
	id        uint64
	startedAt logic.Micros
	address   string
}

func newWorkerList(zones []string) workerList {
	return workerList{zones: zones, lineIndex: map[logic.WorkerID]int{}, instances: map[logic.WorkerID]workerInstance{}}
}

func (l *workerList) zoneName(z logic.ZoneID) string {
	if z >= 0 && int(z) < len(l.zones) {
		return l.zones[z]
	}
	return ""
}

// zoneID returns the number of a zone. Zones that are not in the settings are numbered after them, in order of
// appearance.
func (l *workerList) zoneID(name string) logic.ZoneID {
	for i, z := range l.zones {
		if z == name {
			return logic.ZoneID(i)
		}
	}
	l.zones = append(l.zones[:len(l.zones):len(l.zones)], name)
	return logic.ZoneID(len(l.zones) - 1)
}

func (l *workerList) address(id logic.WorkerID) string { return l.instances[id].address }

// apply updates the list by a report, and returns the report's workers in the module's types.
func (l *workerList) apply(m *pb.Report, now logic.Micros) []logic.Worker {
	if m.Whole {
		l.lines, l.lineIndex = nil, map[logic.WorkerID]int{}
	}
	l.version = m.Version
	workers := make([]logic.Worker, 0, len(m.Lines))
	for _, line := range m.Lines {
		id := logic.WorkerID(line.Id)
		if id == "" || math.IsNaN(line.Size) || math.IsInf(line.Size, 0) {
			continue
		}
		w := logic.Worker{ID: id, Build: logic.BuildID(line.Build), Zone: l.zoneID(line.Zone), Cell: int(line.Cell),
			Size: line.Size, State: logic.WorkerState(min(max(line.State, 0), pb.Line_GONE))}
		instance, known := l.instances[id]
		if !known || instance.id != line.Life {
			instance = workerInstance{id: line.Life}
			if line.Young && line.Age < uint64(now) {
				instance.startedAt = now - logic.Micros(line.Age)
			}
		}
		if line.Address != "" {
			instance.address = line.Address
		}
		l.instances[id] = instance
		w.Started = instance.startedAt
		workers = append(workers, w)
		index, listed := l.lineIndex[id]
		switch {
		case w.State == logic.Gone && listed:
			l.lines = append(l.lines[:index], l.lines[index+1:]...)
			delete(l.lineIndex, id)
			for i := index; i < len(l.lines); i++ {
				l.lineIndex[logic.WorkerID(l.lines[i].Id)] = i
			}
		case w.State == logic.Gone:
		case listed:
			l.lines[index] = line
		default:
			l.lineIndex[id] = len(l.lines)
			l.lines = append(l.lines, line)
		}
	}
	return workers
}

// The list file holds a hash of the rest (8 bytes), the wall clock time in microseconds for human readers (8 bytes)
// and a Report. The ages of workers are those at the time of writing and are not corrected when the file is loaded:
// there is no reliable clock for the time since. A worker that seems younger than it is receives less load, not too
// much.

const listFileHeaderBytes = 16

// encode returns the content of the list file.
func (l *workerList) encode(now logic.Micros) ([]byte, error) {
	m := &pb.Report{Whole: true, Version: l.version}
	for _, line := range l.lines {
		line := proto.Clone(line).(*pb.Line)
		if started := l.instances[logic.WorkerID(line.Id)].startedAt; started > 0 {
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
	binary.BigEndian.PutUint64(out[8:], uint64(time.Now().UnixMicro())) // wall clock: for human readers
	binary.BigEndian.PutUint64(out, xxh3.Hash(out[8:]))
	return out, nil
}

// decodeListFile checks and parses the content of a list file.
func decodeListFile(data []byte) (*pb.Report, error) {
	if len(data) < listFileHeaderBytes || binary.BigEndian.Uint64(data) != xxh3.Hash(data[8:]) {
		return nil, errors.New("found a damaged file, expected a worker list saved by a sentry")
	}
	m := &pb.Report{}
	if err := proto.Unmarshal(data[listFileHeaderBytes:], m); err != nil {
		return nil, err
	}
	return m, nil
}

// loadCachedList loads the worker list from Options.CachedList or from the file that the last run saved. It returns
// nil if there is none, or if it cannot be read.
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
		s.log.Warn().Str("file", s.settings.Endpoints.CachedListFile).Err(err).Msg("cached worker list not read")
		return nil
	}
	list := s.workerList.apply(m, s.now)
	if s.cachedList == nil {
		s.workerList.version = 0 // discovery on the frame protocol may have restarted since; version 0 requests the full list
	}
	for _, info := range list {
		s.updateWorker(info)
	}
	s.log.Info().Int("workers", len(list)).Msg("cached worker list loaded")
	return list
}

// saveDelayMicros is the time from a change of the list to its saving, which several changes may share.
const saveDelayMicros = logic.Micros(500_000)

// scheduleSave sets the timer that saves the list, unless it is set already, a write is under way (handleSaved sets it
// afterwards) or there is no file.
func (s *Sentry) scheduleSave() {
	if s.workerList.unsaved || s.settings.Endpoints.CachedListFile == "" {
		return
	}
	s.workerList.unsaved = true
	if !s.workerList.writing {
		s.timers.add(timer{due: s.now + saveDelayMicros, kind: timerSave})
	}
}

// save writes the list to a new file and renames it over the old one, so that a crash at any point leaves a complete
// file. The event loop does not wait for the disk.
func (s *Sentry) save() {
	data, err := s.workerList.encode(s.now)
	if err != nil {
		s.handleSaved(err)
		return
	}
	s.workerList.unsaved, s.workerList.writing = false, true
	s.listWrites.Add(1)
	file := s.settings.Endpoints.CachedListFile // a reload may replace the settings meanwhile
	go func() {
		defer s.listWrites.Done()
		s.inbox.put(&event{kind: eventListSaved, err: replaceFile(file, data)}, false)
	}()
}

// handleSaved ends a write of the list. It sets the timer for another one if the list has changed since.
func (s *Sentry) handleSaved(err error) {
	s.workerList.writing = false
	if err != nil {
		s.log.Error().Str("file", s.settings.Endpoints.CachedListFile).Err(err).Msg("worker list not saved")
	}
	if s.workerList.unsaved {
		s.timers.add(timer{due: s.now + saveDelayMicros, kind: timerSave})
	}
}

// saveFinal saves unsaved changes of the list when the event loop ends.
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

// replaceFile writes data to a new file, syncs it to the disk and renames it to name.
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
