package submission

import (
	"container/heap"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// grantID identifies one right to send one submission; it is never reused.
type grantID [16]byte

// maxNotRun bounds the grants remembered as not run for one submission.
const maxNotRun = 8

// record is the state of one submission in an entry instance's memory.
type record struct {
	key     Key
	phase   Phase
	grant   grantID
	notRun  []grantID // grants that ended without having run
	outcome Outcome
	expires time.Time
	index   int // in the shard's heap
}

// view is a copy of the state in a record.
type view struct {
	phase   Phase
	grant   grantID
	notRun  []grantID
	outcome Outcome
}

const (
	memoryShards = 64
	// inProgressExtension is how much longer an expired record is kept while its
	// submission is in progress.
	inProgressExtension = time.Minute
)

// memory holds the submissions begun at one entry instance, and those begun at
// others with tickets that it minted. It is sharded by key, so that no lock is
// shared by all requests.
type memory struct {
	seed             maphash.Seed
	shardLimit       int
	maxResponseBytes int64
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

// beginResult is the result of memory.begin.
type beginResult uint8

const (
	beginGranted beginResult = iota
	beginDuplicate
	beginRefusedFull
)

// beginParams are the parameters of memory.begin.
type beginParams struct {
	key   Key
	grant grantID
	// notRun are earlier grants known not to have run.
	notRun  []grantID
	expires time.Time
}

// begin starts the submission unless it is in progress or has ended, and returns its
// state before the call. A repeated call with the grant that is in progress returns
// beginGranted again and changes nothing.
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

// end records the outcome of a grant in progress; it returns false if the grant was
// replaced by another one, has ended, or has no record.
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

// lookup returns the state of a submission, or false if it has no record.
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

// dropIfOverLimit counts the response towards maxResponseBytes, or removes it from
// the outcome if the sum would exceed that limit.
func (m *memory) dropIfOverLimit(outcome Outcome) Outcome {
	size := outcome.size()
	if m.responseBytes.Add(size) > m.maxResponseBytes {
		m.responseBytes.Add(-size)
		outcome.Header, outcome.Body = nil, nil
	}
	return outcome
}

// sweep removes the expired records of a shard.
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

// release ends the record's grant as not run.
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

// phaseOfGrant returns the phase of one grant.
func (v view) phaseOfGrant(grant grantID) Phase {
	if slices.Contains(v.notRun, grant) {
		return PhaseReleased
	}
	if v.grant == grant {
		return v.phase
	}
	return PhaseUnknown
}
