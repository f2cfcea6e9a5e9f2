package submission

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// Phase says where a submission stands.
type Phase uint8

// The phases of a submission.
const (
	// PhaseUnknown means that the entry instance that knew has been replaced.
	PhaseUnknown Phase = iota
	// PhaseInProgress means that it was begun and has not ended.
	PhaseInProgress
	// PhaseEnded means that it ran or may have run.
	PhaseEnded
	// PhaseReleased means that it ended without having run and may be begun again.
	PhaseReleased
)

// String returns the phase as callers see it.
func (p Phase) String() string {
	switch p {
	case PhaseInProgress:
		return "in progress"
	case PhaseEnded:
		return "ended"
	case PhaseReleased:
		return "not run"
	default:
		return "unknown"
	}
}

// grantID names one right to send one submission; it is never used twice.
type grantID [16]byte

// record is what an entry instance remembers of one submission.
type record struct {
	key     Key
	phase   Phase
	grant   grantID
	outcome Outcome
	expires time.Time
	index   int // in the shard's heap
}

// view is a copy of the parts of a record that others may see.
type view struct {
	phase   Phase
	grant   grantID
	outcome Outcome
}

const (
	memoryShards = 64
	// inProgressExtension keeps an expired record whose submission has not ended.
	inProgressExtension = time.Minute
)

// memory holds the submissions that were begun at, or for, one entry instance.
// It is split by key into shards, so that no lock is shared by all requests.
type memory struct {
	seed       maphash.Seed
	shardLimit int
	bodyLimit  int64 // bytes
	bodyBytes  atomic.Int64
	shards     [memoryShards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[Key]*record
	expiry  expiryHeap
}

func newMemory(maxRecords int, maxBodyBytes int64) *memory {
	m := &memory{
		seed:       maphash.MakeSeed(),
		shardLimit: max(maxRecords/memoryShards, 1),
		bodyLimit:  maxBodyBytes,
	}
	for i := range m.shards {
		m.shards[i].records = map[Key]*record{}
	}
	return m
}

func (m *memory) shardOf(key Key) *shard {
	return &m.shards[maphash.Comparable(m.seed, key)%memoryShards]
}

// start is the answer of memory.begin.
type start uint8

const (
	started start = iota
	startedBefore
	startRefusedFull
)

// begin starts the submission unless it is in progress or ended. Where it was
// started before, the view says how it stands. A begin with the grant in
// progress is repeated without effect; the grant named released, if it is the
// one in progress, is given up first.
func (m *memory) begin(key Key, grant, released grantID, expires, now time.Time) (start, view) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.sweep(s, now)
	r, ok := s.records[key]
	if !ok {
		if len(s.records) >= m.shardLimit {
			return startRefusedFull, view{}
		}
		r = &record{key: key, expires: expires}
		s.records[key] = r
		heap.Push(&s.expiry, r)
	}
	if r.phase == PhaseInProgress && r.grant == released {
		r.phase = PhaseReleased
	}
	if r.phase == PhaseInProgress && r.grant == grant {
		return started, r.view()
	}
	if r.phase == PhaseInProgress || r.phase == PhaseEnded {
		return startedBefore, r.view()
	}
	r.phase, r.grant = PhaseInProgress, grant
	m.setExpiry(s, r, expires)
	return started, r.view()
}

// end records the outcome of a grant in progress; it reports false where another
// grant has taken its place or nothing is known of it.
func (m *memory) end(key Key, grant grantID, phase Phase, outcome Outcome, now time.Time) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.sweep(s, now)
	r, ok := s.records[key]
	if !ok || r.grant != grant || r.phase != PhaseInProgress {
		return false
	}
	r.phase = phase
	r.outcome = m.keep(outcome)
	return true
}

// look returns what is known of a submission.
func (m *memory) look(key Key, now time.Time) (view, bool) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.sweep(s, now)
	r, ok := s.records[key]
	if !ok {
		return view{}, false
	}
	return r.view(), true
}

// size returns the number of records.
func (m *memory) size() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.records)
		s.mu.Unlock()
	}
	return n
}

func (r *record) view() view { return view{r.phase, r.grant, r.outcome} }

// keep drops the body where no room is left for it.
func (m *memory) keep(outcome Outcome) Outcome {
	size := int64(len(outcome.Body))
	if m.bodyBytes.Add(size) > m.bodyLimit {
		m.bodyBytes.Add(-size)
		outcome.Body = nil
	}
	return outcome
}

func (m *memory) setExpiry(s *shard, r *record, expires time.Time) {
	r.expires = expires
	heap.Fix(&s.expiry, r.index)
}

// sweep drops the expired records, of which each begin adds at most one.
func (m *memory) sweep(s *shard, now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expires) {
		r := s.expiry[0]
		if r.phase == PhaseInProgress {
			m.setExpiry(s, r, now.Add(inProgressExtension))
			continue
		}
		heap.Pop(&s.expiry)
		delete(s.records, r.key)
		m.bodyBytes.Add(-int64(len(r.outcome.Body)))
	}
}

// expiryHeap orders records by expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
