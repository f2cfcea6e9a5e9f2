// Package explain keeps the latest decision records of an entry instance in
// bounded memory and counts decisions by action, outcome and reason.
package explain

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/api/explain"
)

// DefaultSize is the default capacity of a Ring in records.
const DefaultSize = 4096

// Metrics counts decisions.
type Metrics interface {
	// Decision counts one decision.
	Decision(action explain.Action, outcome explain.Outcome, reason explain.Reason)
}

// Ring is a ring buffer of the latest records. A decision that equals the latest one on
// the same subject only increments that record's count. Methods may be called from any
// goroutine.
type Ring struct {
	mu         sync.Mutex
	size       int
	records    []explain.Record
	next       int                     // slot to overwrite next once the ring is full
	latestSlot map[explain.Subject]int // of the latest record on the subject
	metrics    Metrics
	total      atomic.Int64
}

// NewRing returns a ring of size records; metrics may be nil.
func NewRing(size int, metrics Metrics) *Ring {
	return &Ring{size: size, latestSlot: make(map[explain.Subject]int), metrics: metrics}
}

// Record stores and counts one decision.
func (r *Ring) Record(record explain.Record) {
	r.total.Add(1)
	if r.metrics != nil {
		r.metrics.Decision(record.Action, record.Outcome, record.Reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countRepeat(record) {
		return
	}
	record.Count, record.Last = 1, record.At
	r.insert(record)
}

// countRepeat updates the latest record on the subject if it is the same decision, and
// reports whether it was.
func (r *Ring) countRepeat(record explain.Record) bool {
	slot, found := r.latestSlot[record.Subject]
	if !found || !r.records[slot].SameDecision(record) {
		return false
	}
	r.records[slot].Count++
	r.records[slot].Last = record.At
	return true
}

func (r *Ring) insert(record explain.Record) {
	if len(r.records) < r.size {
		r.latestSlot[record.Subject] = len(r.records)
		r.records = append(r.records, record)
		return
	}
	evicted := r.records[r.next].Subject
	if r.latestSlot[evicted] == r.next {
		delete(r.latestSlot, evicted)
	}
	r.records[r.next] = record
	r.latestSlot[record.Subject] = r.next
	r.next = (r.next + 1) % r.size
}

// Total returns the number of decisions recorded, repeated ones included.
func (r *Ring) Total() int64 { return r.total.Load() }

// About returns the records on a subject, newest first by Last.
func (r *Ring) About(subject explain.Subject) []explain.Record {
	return r.Find(func(record explain.Record) bool { return record.Subject == subject })
}

// Find returns the records that match, newest first by Last.
func (r *Ring) Find(match func(explain.Record) bool) []explain.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []explain.Record
	for i := range r.records {
		record := r.records[(r.next+i)%len(r.records)]
		if match(record) {
			found = append(found, record)
		}
	}
	slices.SortStableFunc(found, func(a, b explain.Record) int { return a.Last.Compare(b.Last) })
	slices.Reverse(found)
	return found
}
