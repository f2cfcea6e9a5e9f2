package fleetctl

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

var errNoResponse = errors.New("no response")

// fakeStore is a Store in memory. fault is called before each write and returns whether
// the write takes effect and, if it does, which error the caller gets. A write without
// effect fails with errNoResponse, and so does every read or write while the store is down.
type fakeStore struct {
	mu           sync.Mutex
	entries      map[string]platform.Entry
	revision     platform.Revision
	writtenBytes int64
	writes       int64
	down         bool
	fault        func(key string) (effect bool, err error)
	onWrite      func(key string, before, after platform.Entry)
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]platform.Entry)} }

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Entry{}, errNoResponse
	}
	entry, found := s.entries[key]
	if !found {
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

func (s *fakeStore) Create(_ context.Context, key string, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	return s.put(key, value, 0, platform.ErrExists)
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, prev platform.Revision, _ platform.LeaseID) (platform.Revision, error) {
	return s.put(key, value, prev, platform.ErrConflict)
}

func (s *fakeStore) put(key string, value []byte, prev platform.Revision, mismatch error) (platform.Revision, error) {
	takesEffect, err := true, error(nil)
	if s.fault != nil {
		takesEffect, err = s.fault(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || !takesEffect {
		return 0, errNoResponse
	}
	before := s.entries[key]
	if before.Revision != prev {
		return 0, mismatch
	}
	s.revision++
	s.writes++
	s.writtenBytes += int64(len(value))
	s.entries[key] = platform.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	if s.onWrite != nil {
		s.onWrite(key, before, s.entries[key])
	}
	return s.revision, err
}

func (s *fakeStore) List(_ context.Context, prefix, after string, limit int) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Page{}, errNoResponse
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := platform.Page{Revision: s.revision}
	for i, key := range keys {
		if i == limit {
			page.Next = keys[i-1]
			break
		}
		page.Entries = append(page.Entries, s.entries[key])
	}
	return page, nil
}

func (s *fakeStore) Delete(context.Context, string, platform.Revision) error { return nil }
func (s *fakeStore) Watch(context.Context, string, platform.Revision) (platform.Events, error) {
	return platform.Events{}, errNoResponse
}
func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) { return 1, nil }
func (s *fakeStore) KeepAlive(context.Context, platform.LeaseID) error              { return nil }
func (s *fakeStore) Revoke(context.Context, platform.LeaseID) error                 { return nil }

// fakePlatform is an instance list that also records reboot requests.
type fakePlatform struct {
	instances []fleet.Instance
	reboots   []fleet.InstanceID
}

func (p *fakePlatform) Instances(context.Context) ([]fleet.Instance, error) {
	return slices.Clone(p.instances), nil
}

func (p *fakePlatform) Reboot(_ context.Context, id fleet.InstanceID) error {
	p.reboots = append(p.reboots, id)
	return nil
}

// remove removes an instance from the list.
func (p *fakePlatform) remove(id fleet.InstanceID) {
	p.instances = slices.DeleteFunc(p.instances, func(i fleet.Instance) bool { return i.ID == id })
}

type fakeTerm struct {
	epoch int64
	ended bool
}

func (t *fakeTerm) Epoch() int64 { return t.epoch }
func (t *fakeTerm) Active() bool { return !t.ended }

// idleWork reports every instance as idle, with the given deadlines.
type idleWork struct {
	deadlines map[fleet.InstanceID]time.Time
}

func (idleWork) Idle(fleet.InstanceID) bool               { return true }
func (w idleWork) Deadline(id fleet.InstanceID) time.Time { return w.deadlines[id] }

// recorder keeps decision records in order.
type recorder struct{ records []explain.Record }

func (r *recorder) Record(record explain.Record) { r.records = append(r.records, record) }

// lastAbout returns the last record about an instance.
func (r *recorder) lastAbout(id fleet.InstanceID) explain.Record {
	for _, record := range slices.Backward(r.records) {
		if record.Subject == explain.Instance(id) {
			return record
		}
	}
	return explain.Record{}
}
