// Package attribution tells workers that fail everything from jobs that can never
// run, by weighing each failure against what else is known of both sides.
package attribution

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Result is how one task ended on one worker.
type Result struct {
	Worker fleet.InstanceID
	Rack   string
	Job    string
	Failed bool
	At     time.Time
}

// Finding is what the evidence says of a worker or a job.
type Finding struct {
	// Blamed says that the failures are most likely its own.
	Blamed bool
	Reason string
	// Failures and Successes count the results weighed; Others is the number of
	// distinct counterparts (jobs of a worker, workers of a job) that failed with it.
	Failures           int
	Successes          int
	FailedCounterparts int
	// Share is the part of its failures attributed to it rather than to its counterparts.
	Share float64
}

const (
	// window is how long a result counts.
	window = 30 * time.Minute
	// minFailures is how many attributed failures make a case.
	minFailures = 3.0
	// minDistinct is how many distinct counterparts must have failed.
	minDistinct = 2
	// minRacks is how many racks must have seen a hopeless job fail.
	minRacks = 2
	// maxWorkerSuccess is the share of successes above which a worker is not blamed.
	maxWorkerSuccess = 0.2
	// priorFailures and priorTotal are what is assumed of a side without other results.
	priorFailures = 0.2
	priorTotal    = 2.0
	// commonCauseShare is the share of workers with failures above which nobody is
	// blamed, since a common cause is likelier.
	commonCauseShare = 0.5
	// commonCauseMinWorkers is how few workers can show a common cause.
	commonCauseMinWorkers = 6
	// maxResults bounds the results held.
	maxResults = 20_000
)

// Evidence holds the results of the last half hour. It is not safe for concurrent use.
type Evidence struct {
	results []Result
	pairs   map[pair]*tally
	workers map[fleet.InstanceID]*tally
	jobs    map[string]*tally
	// byWorker and byJob list the counterparts of each side.
	byWorker map[fleet.InstanceID]map[string]bool
	byJob    map[string]map[fleet.InstanceID]string // worker to its rack
}

type pair struct {
	worker fleet.InstanceID
	job    string
}

type tally struct {
	failed    int
	succeeded int
}

func (t *tally) total() int { return t.failed + t.succeeded }

// New returns empty evidence.
func New() *Evidence {
	return &Evidence{
		pairs:    map[pair]*tally{},
		workers:  map[fleet.InstanceID]*tally{},
		jobs:     map[string]*tally{},
		byWorker: map[fleet.InstanceID]map[string]bool{},
		byJob:    map[string]map[fleet.InstanceID]string{},
	}
}

// Add takes one result. Results arrive in order of time.
func (e *Evidence) Add(r Result) {
	e.expire(r.At)
	e.results = append(e.results, r)
	e.count(r, 1)
}

func (e *Evidence) expire(now time.Time) {
	for len(e.results) > 0 && (now.Sub(e.results[0].At) > window || len(e.results) >= maxResults) {
		e.count(e.results[0], -1)
		e.results = e.results[1:]
	}
}

func (e *Evidence) count(r Result, change int) {
	key := pair{r.Worker, r.Job}
	bump(e.pairs, key, r.Failed, change)
	bump(e.workers, r.Worker, r.Failed, change)
	bump(e.jobs, r.Job, r.Failed, change)
	if _, kept := e.pairs[key]; kept {
		link(e.byWorker, r.Worker, r.Job, true)
		link(e.byJob, r.Job, r.Worker, r.Rack)
		return
	}
	unlink(e.byWorker, r.Worker, r.Job)
	unlink(e.byJob, r.Job, r.Worker)
}

// bump changes a tally and removes it once it is empty.
func bump[K comparable](m map[K]*tally, key K, failed bool, change int) {
	t, ok := m[key]
	if !ok {
		t = &tally{}
		m[key] = t
	}
	if failed {
		t.failed += change
	} else {
		t.succeeded += change
	}
	if t.total() == 0 {
		delete(m, key)
	}
}

func link[A, B comparable, V any](m map[A]map[B]V, a A, b B, value V) {
	if m[a] == nil {
		m[a] = map[B]V{}
	}
	m[a][b] = value
}

func unlink[A, B comparable, V any](m map[A]map[B]V, a A, b B) {
	delete(m[a], b)
	if len(m[a]) == 0 {
		delete(m, a)
	}
}
