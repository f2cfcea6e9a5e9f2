package submission

import (
	"container/heap"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// grantID names one right to send one submission; it is never used twice.
type grantID [16]byte

// maxNotRun bounds the grants of one submission that are remembered as not run.
const maxNotRun = 8

// record is what an entry instance remembers of one submission.
type record struct {
	key     Key
	phase   Phase
	grant   grantID
	notRun  []grantID // grants that ended without having run
	outcome Outcome
	expires time.Time
	index   int // in the shard's heap
}

// view is a copy of the parts of a record that others may see.
type view struct {
	phase   Phase
	grant   grantID
	notRun  []grantID
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
	seed             maphash.Seed
	shardLimit       int
	maxResponseBytes int64 // bytes
	responseBytes    atomic.Int64
	shards           [memoryShards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[Key]*record
	expiry  expiryHeap
}

func newMemory(maxRecords int, maxResponseBytes int64) *memory {
	m := &memory{
		seed:             maphash.MakeSeed(),
		shardLimit:       max(maxRecords/memoryShards, 1),
		maxResponseBytes: maxResponseBytes,
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
type beginResult uint8

const (
	beginGranted beginResult = iota
	beginDuplicate
	beginRefusedFull
)

// opening asks memory.begin for a grant.
type beginParams struct {
	key   Key
	grant grantID
	// notRun are earlier grants that are known not to have run.
	notRun  []grantID
	expires time.Time
}

// begin starts the submission unless it is in progress or ended; the view says
// how it stood before. A begin with the grant in progress has no further effect.
func (m *memory) begin(params beginParams, now time.Time) (beginResult, view) {
	s := m.shardOf(params.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.sweep(s, now)
	r, ok := s.records[params.key]
	if !ok {
		if len(s.records) >= m.shardLimit {
			return beginRefusedFull, view{}
		}
		r = s.add(params.key, params.expires)
	}
	if r.phase == PhaseInProgress && slices.Contains(params.notRun, r.grant) {
		r.release()
	}
	before := r.view()
	if r.phase == PhaseInProgress && r.grant == params.grant {
		return beginGranted, before
	}
	if r.phase == PhaseInProgress || r.phase == PhaseEnded {
		return beginDuplicate, before
	}
	r.phase, r.grant = PhaseInProgress, params.grant
	s.setExpiry(r, params.expires)
	return beginGranted, before
}

// end records the outcome of a grant in progress; it reports false where another
// grant has taken its place or nothing is known of it.
func (m *memory) end(key Key, grant grantID, outcome Outcome, now time.Time) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.sweep(s, now)
	r, ok := s.records[key]
	if !ok || r.grant != grant || r.phase != PhaseInProgress {
		return false
	}
	if phaseOf(outcome) == PhaseReleased {
		r.release()
		return true
	}
	r.phase = PhaseEnded
	r.outcome = m.dropIfOverLimit(outcome)
	return true
}

// look returns what is known of a submission.
func (m *memory) lookup(key Key, now time.Time) (view, bool) {
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

// keep drops the answer where no room is left for it.
func (m *memory) dropIfOverLimit(outcome Outcome) Outcome {
	size := outcome.size()
	if m.responseBytes.Add(size) > m.maxResponseBytes {
		m.responseBytes.Add(-size)
		outcome.Header, outcome.Body = nil, nil
	}
	return outcome
}

// sweep drops the expired records of a shard.
func (m *memory) sweep(s *shard, now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expires) {
		r := s.expiry[0]
		if r.phase == PhaseInProgress {
			s.setExpiry(r, now.Add(inProgressExtension))
			continue
		}
		heap.Pop(&s.expiry)
		delete(s.records, r.key)
		m.responseBytes.Add(-r.outcome.size())
	}
}

func (s *shard) add(key Key, expires time.Time) *record {
	r := &record{key: key, expires: expires}
	s.records[key] = r
	heap.Push(&s.expiry, r)
	return r
}

func (s *shard) setExpiry(r *record, expires time.Time) {
	r.expires = expires
	heap.Fix(&s.expiry, r.index)
}

// release ends a grant that has not run.
func (r *record) release() {
	r.phase = PhaseReleased
	if len(r.notRun) == maxNotRun {
		r.notRun = slices.Delete(r.notRun, 0, 1)
	}
	r.notRun = append(r.notRun, r.grant)
}

func (r *record) view() view {
	return view{phase: r.phase, grant: r.grant, notRun: slices.Clone(r.notRun), outcome: r.outcome}
}

// phaseOfGrant returns how one grant stands.
func (v view) phaseOfGrant(grant grantID) Phase {
	if slices.Contains(v.notRun, grant) {
		return PhaseReleased
	}
	if v.grant == grant {
		return v.phase
	}
	return PhaseUnknown
}
