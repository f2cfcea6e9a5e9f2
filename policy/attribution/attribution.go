// Package attribution attributes task failures to workers or to jobs. It weighs each
// failure against the other results of both, and so separates workers that fail all
// tasks from jobs that fail on all workers.
package attribution

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Result is the outcome of one task on one worker.
type Result struct {
	Worker fleet.InstanceID
	Rack   string
	Job    string
	Failed bool
	At     time.Time
}

// Finding is the conclusion about a worker or a job.
type Finding struct {
	// Blamed reports whether the worker or job most likely causes its failures itself.
	Blamed bool
	Reason string
	// Failures and Successes count the results. FailedCounterparts is the number of
	// distinct counterparts (jobs of a worker, workers of a job) with which it failed.
	Failures           int
	Successes          int
	FailedCounterparts int
	// Share is the share of its failures attributed to it and not to its counterparts.
	Share float64
}

const (
	// window is how long a result counts.
	window = 30 * time.Minute
	// minFailures is the minimum number of attributed failures for blame.
	minFailures = 3.0
	// minDistinct is the minimum number of distinct counterparts with failures for blame.
	minDistinct = 2
	// minRacks is the minimum number of racks in which a job must fail to be blamed.
	minRacks = 2
	// maxWorkerSuccess is the share of successes above which a worker is not blamed.
	maxWorkerSuccess = 0.2
	// priorTotal results, of which priorFailures failed, are added to the results of each
	// worker and job as the prior of its failure rate.
	priorFailures = 0.2
	priorTotal    = 2.0
	// commonCauseShare is the share of failing workers above which no worker or job is
	// blamed, since a common cause is more likely.
	commonCauseShare = 0.5
	// commonCauseMinWorkers is the minimum number of workers for detecting a common cause.
	commonCauseMinWorkers = 6
	// maxResults limits the number of results kept.
	maxResults = 20_000
)

// Evidence holds the results within the window. It is not safe for concurrent use.
type Evidence struct {
	results []Result
	pairs   map[pair]*tally
	workers map[fleet.InstanceID]*tally
	jobs    map[string]*tally
	// byWorker holds the jobs of each worker, byJob the workers of each job with their
	// racks.
	byWorker map[fleet.InstanceID]map[string]bool
	byJob    map[string]map[fleet.InstanceID]string
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

// Add adds one result. Results must be added in order of time.
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

// bump adds change to the tally of a key and removes the tally if it is then empty.
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
