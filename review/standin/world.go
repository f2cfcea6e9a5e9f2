package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that the checks use, in the units of the settings file.
const (
	cancelBound    = 3 * time.Second
	stableTime     = 3 * time.Second
	drainBound     = 2 * time.Second
	stopTime       = 100 * time.Millisecond // of a run that is stopped; stop-ms is 400
	gangTimeout    = 3 * time.Second
	checkpointTime = 500 * time.Millisecond
	maxHold        = 10 * time.Second
	earlyBound     = 250 * time.Millisecond
	maxEnded       = 500
)

// Step is one step of a submitted job, as it is sent.
type Step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Memory        int64  `json:"mem-mb,omitempty"`
	EstimatedMs   int64  `json:"estimated-ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same-rack,omitempty"`
	RequiredLabel string `json:"required-label,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	MaxPerServer  int    `json:"max-per-server,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	MayMiss       int    `json:"may-miss,omitempty"`
	Image         string `json:"image,omitempty"`
}

// Submission is the body of a submission.
type Submission struct {
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	RepeatCount int    `json:"repeat-count,omitempty"`
	FirstRunMs  int64  `json:"first-run-ms,omitempty"`
	IntervalMs  int64  `json:"interval-ms,omitempty"`
}

// job is what clients did about one job, and what became of it.
type job struct {
	id          string
	queue       *queue
	body        Submission
	workMs      []int64                         // of each step
	fails       func(task string, run int) bool // nil: no run fails
	accepted    time.Time                       // of the first 2xx; zero before
	rejections  int
	otherTries  int // without a rejection, also those in progress
	cancelSent  time.Time
	cancelAcked time.Time
	final       string
}

// queue is one route of the configuration.
type queue struct {
	name, prefix, service string
	maxAttempts           int
	advice                *adviceTerms
}

type adviceTerms struct {
	DecisionMs float64 `json:"decision-ms"`
	EachMs     float64 `json:"each-ms"`
	ValidityMs float64 `json:"validity-ms"`
}

// end is the end of a run that an executor lists.
type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	acked  time.Time // when last-seen reached it; zero before, or if the lease lapsed in between
	on     *executor
}

// start is a run that an executor has begun.
type start struct {
	task string
	run  int
	at   time.Time
	on   *executor
}

type world struct {
	mu        sync.Mutex
	began     time.Time
	out       io.Writer
	jobs      map[string]*job // by service and ID
	queues    []*queue
	executors []*executor // those that are up
	starts    []start
	ends      []*end
	saved     map[string]bool            // checkpoints that were produced, by step and value, or task and value
	done      map[string]map[string]bool // the tasks with a run that ended done, by step
	broken    map[string]int
	troubles  []span
	tickets   map[string]time.Time // by executor, step and ticket: until when it is valid
}

// span is a time of disruption.
type span struct{ from, to time.Time }

func newWorld(out io.Writer) *world {
	return &world{began: time.Now(), out: out, jobs: map[string]*job{}, saved: map[string]bool{}, done: map[string]map[string]bool{}, broken: map[string]int{}, tickets: map[string]time.Time{}}
}

// job returns the job with an ID that was sent to a queue of a service, or nil. The caller holds w.mu.
func (w *world) job(service, id string) *job { return w.jobs[service+"/"+id] }

// log writes one line of the record. The caller holds w.mu.
func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log(format, args...)
}

// breaks records that a rule was broken. The caller holds w.mu.
func (w *world) breaks(rule, format string, args ...any) {
	w.broken[rule]++
	w.log("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// trouble records a disruption from now on for a time. The caller must not hold w.mu.
func (w *world) trouble(d time.Duration, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.troubles = append(w.troubles, span{now, now.Add(d)})
	w.log("TROUBLE for %v: %s", d, fmt.Sprintf(format, args...))
}

// calm reports whether there was no disruption in the time before at. The caller holds w.mu.
func (w *world) calm(at time.Time, before time.Duration) bool {
	for _, s := range w.troubles {
		if s.from.Before(at) && s.to.After(at.Add(-before)) {
			return false
		}
	}
	return true
}

// parts of a task's name.
func splitTask(name string) (id string, occurrence, step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return name, 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// stepDone reports whether all tasks of a step have ended done.
func (w *world) stepDone(j *job, occurrence, step int) bool {
	return len(w.done[fmt.Sprintf("%s/%s.%d.%d", j.queue.service, j.id, occurrence, step)]) == j.body.Steps[step].Count
}

// checkStart checks the rules on a start at the moment when it happens. The caller holds w.mu.
func (w *world) checkStart(x *executor, task string, run int, spec, checkpoint string, now time.Time) {
	w.starts = append(w.starts, start{task, run, now, x})
	id, occurrence, number, _ := splitTask(task)
	j := w.job(x.service, id)
	if j == nil || number >= len(j.body.Steps) {
		w.breaks("UNASKED", "%s run %d on %s: nobody sent it", task, run, x.id)
		return
	}
	s := j.body.Steps[number]
	if spec != j.body.Spec {
		w.breaks("UNASKED", "%s run %d on %s: other spec", task, run, x.id)
	}
	if checkpoint != "" && !w.saved[task+" "+checkpoint] && !(s.Gang && w.saved[stepOf(task)+" "+checkpoint]) {
		w.breaks("UNASKED", "%s run %d on %s: checkpoint %s is not the task's", task, run, x.id, checkpoint)
	}
	if !j.cancelAcked.IsZero() && now.Sub(j.cancelAcked) > cancelBound && w.calm(now, stableTime) {
		w.breaks("UNASKED", "%s run %d starts on %s %.3f s after the cancelling of its job was acknowledged", task, run, x.id, now.Sub(j.cancelAcked).Seconds())
	}
	if j.accepted.IsZero() && j.otherTries == 0 && j.rejections > 0 {
		w.breaks("REFUSED", "%s run %d on %s: all %d attempts were rejected", task, run, x.id, j.rejections)
	}
	if x.service != j.queue.service {
		w.breaks("ROUTE", "%s run %d on %s of service %s", task, run, x.id, x.service)
	}
	if s.RequiredLabel != "" && !x.hasLabel(s.RequiredLabel) {
		w.breaks("ROUTE", "%s run %d on %s without label %s", task, run, x.id, s.RequiredLabel)
	}
	for _, earlier := range s.After {
		if !w.stepDone(j, occurrence, earlier) {
			w.breaks("ORDER", "%s run %d on %s before step %d is done", task, run, x.id, earlier)
		}
	}
	if j.body.RepeatCount > 0 {
		due := time.UnixMilli(j.body.FirstRunMs + int64(occurrence)*j.body.IntervalMs)
		if now.Before(due.Add(-earlyBound)) {
			w.breaks("ORDER", "%s run %d on %s %v before its time", task, run, x.id, due.Sub(now))
		}
	}
	if !s.Speculative {
		for _, other := range w.executors {
			for _, r := range other.running {
				if r.task == task {
					w.breaks("TWICE", "%s run %d starts on %s while run %d is on %s", task, run, x.id, r.run, other.id)
				}
			}
		}
	}
	beside, used := 0, s.CPU
	for _, r := range x.running {
		used += r.step.CPU
		if stepOf(r.task) == stepOf(task) {
			beside++
		}
	}
	if s.MaxPerServer > 0 && beside >= s.MaxPerServer {
		w.breaks("ROUTE", "%s run %d on %s beyond max-per-server", task, run, x.id)
	}
	if used > x.cpu {
		w.breaks("LIMIT", "%s run %d brings %s to %d of %d", task, run, x.id, used, x.cpu)
	}
}

// checkAfterwards checks the rules that depend on what was taken note of later. The caller holds w.mu.
func (w *world) checkAfterwards() {
	done, failed := map[string][]*end{}, map[string][]*end{}
	for _, e := range w.ends {
		if e.acked.IsZero() {
			continue
		}
		switch e.how {
		case "done":
			done[e.task] = append(done[e.task], e)
		case "failed":
			failed[e.task] = append(failed[e.task], e)
		}
	}
	for _, s := range w.starts {
		id, _, number, _ := splitTask(s.task)
		j := w.job(s.on.service, id)
		if j == nil || number >= len(j.body.Steps) || j.body.Steps[number].LongRunning {
			continue
		}
		for _, e := range done[s.task] {
			if e.at.Before(s.at) && !j.body.Steps[number].Speculative {
				w.breaks("TWICE", "%s run %d starts on %s %.3f s after run %d ended done on %s, which was taken note of %.3f s after its end",
					s.task, s.run, s.on.id, s.at.Sub(e.at).Seconds(), e.run, e.on.id, e.acked.Sub(e.at).Seconds())
			}
		}
		before := 0
		for _, e := range failed[s.task] {
			if e.at.Before(s.at) {
				before++
			}
		}
		if before >= j.queue.maxAttempts {
			w.breaks("BUDGET", "%s run %d starts on %s after %d failed runs", s.task, s.run, s.on.id, before)
		}
	}
}
