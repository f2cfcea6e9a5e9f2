package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	scenarios["cancel"] = cancelOfUnansweredJob
	scenarios["advice"] = adviceAfterBurst
	scenarios["freeze"] = cancelOfJobAtFrozenNode
	scenarios["drain"] = drainWithUnansweredOrders
	scenarios["same-id"] = sameIDInTwoQueues
}

// createsJob reports whether a body of /kv-txn writes something of a job.
func createsJob(body []byte, id string) bool {
	var t struct {
		Puts []struct {
			Key string `json:"key"`
		} `json:"puts"`
	}
	_ = json.Unmarshal(body, &t)
	for _, p := range t.Puts {
		if strings.Contains(p.Key, id) {
			return true
		}
	}
	return false
}

// lateWrite is how much later the store carries out the write that it leaves unanswered.
const lateWrite = 5500 * time.Millisecond

// cancelOfUnansweredJob hands a job in; the store leaves that one write unanswered and carries it out later. The client
// leaves without an answer, cancels the job at another node, and gets an acknowledgement.
func cancelOfUnansweredJob(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4}}
	if err := s.startSite([]string{"alpha"}, 4, 3); err != nil {
		return err
	}
	time.Sleep(stableTime)
	j := &job{id: newID(r), queue: s.queues[0]}
	j.body = Submission{Spec: "spec of " + j.id}
	for n := range 6 {
		step := Step{Count: 2, CPU: 1000, Memory: 256, EstimatedMs: 1500}
		if n > 0 {
			step.After = []int{n - 1}
		}
		j.body.Steps = append(j.body.Steps, step)
		j.workMs = append(j.workMs, step.EstimatedMs)
	}
	if trouble {
		var disturbed atomic.Bool
		for _, n := range s.nodes {
			n.store.setFault(func(path string, body []byte) (string, time.Duration) {
				if path != "/kv-txn" || !createsJob(body, j.id) || disturbed.Swap(true) {
					return "", 0
				}
				s.trouble(lateWrite, "the store leaves one write of %s unanswered, and carries it out %v later", n.name, lateWrite)
				return "late", lateWrite
			})
		}
	}
	s.submit(s.nodes[0], j, 100*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	s.cancel(s.nodes[1], j, 3*time.Second)
	s.noteState(s.nodes[2], j)
	time.Sleep(lateWrite + 12*time.Second)
	s.noteState(s.nodes[2], j)
	return nil
}

// unansweredOrders is how many orders a worker leaves unanswered, to carry them out later.
const unansweredOrders = 3

// drainWithUnansweredOrders has one job of one task. The worker that gets its start says just then that it leaves. With
// trouble, it leaves the first orders unanswered.
func drainWithUnansweredOrders(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4}}
	if err := s.startSite([]string{"alpha"}, 4, 3); err != nil {
		return err
	}
	time.Sleep(stableTime)
	j := &job{id: newID(r), queue: s.queues[0], workMs: []int64{3000}}
	j.body = Submission{Spec: "spec of " + j.id, Steps: []Step{{Count: 1, CPU: 1000, Memory: 256, EstimatedMs: 3000}}}
	s.mu.Lock()
	var leaving *executor
	orders := 0
	for _, x := range s.executors {
		x.fault = func(path, _ string) (string, bool) {
			if path != "/run-start" {
				return "", false
			}
			if leaving == nil {
				leaving = x
				time.AfterFunc(20*time.Millisecond, func() { s.drain(x) })
			}
			if x != leaving {
				return "", false
			}
			orders++
			s.log("order %d to start at %s", orders, x.id)
			return "late", trouble && orders <= unansweredOrders
		}
	}
	s.mu.Unlock()
	s.deliver(r, j, 10)
	time.Sleep(8 * time.Second)
	s.mu.Lock()
	x := leaving
	s.mu.Unlock()
	if x == nil {
		return fmt.Errorf("no worker got a start")
	}
	s.mu.Lock()
	s.log("%s exits", x.id)
	x.crash()
	s.mu.Unlock()
	s.store.Delete("servers/" + x.id)
	s.settle(r, 25*time.Second)
	return nil
}

// sameIDInTwoQueues has two clients, each with a queue of its own on a service of its own. With trouble the second one
// has chosen an ID that the first one has chosen as well. It later cancels another job of its own, likewise.
func sameIDInTwoQueues(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{
		{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4},
		{name: "r-two", prefix: "/two/", service: "beta", maxAttempts: 4},
	}
	if err := s.startSite([]string{"alpha", "beta"}, 3, 3); err != nil {
		return err
	}
	// Each client numbers its jobs; without trouble the second one begins elsewhere.
	const first = 1
	second := first
	if !trouble {
		second = 1001
	}
	newJob := func(q *queue, number int, work int64) *job {
		j := &job{id: fmt.Sprintf("%016x", number), queue: q, workMs: []int64{work}}
		j.body = Submission{Spec: "job of " + q.name, Steps: []Step{{Count: 2, CPU: 1000, Memory: 256, EstimatedMs: work}}}
		return j
	}
	a, b := newJob(s.queues[0], first, 1000), newJob(s.queues[1], second, 1000)
	s.deliver(r, a, 10)
	time.Sleep(500 * time.Millisecond)
	s.deliver(r, b, 10)
	time.Sleep(4 * time.Second)
	c, d := newJob(s.queues[0], first+1, 5000), newJob(s.queues[1], second+1, 5000)
	s.deliver(r, c, 10)
	s.deliver(r, d, 10)
	time.Sleep(time.Second)
	s.cancel(s.nodes[0], d, 3*time.Second)
	s.settle(r, 15*time.Second)
	return nil
}

func (s *site) noteState(n *node, j *job) {
	status, state := s.state(n, j)
	s.note("client: GET %s at %s: %d %s", j.id, n.name, status, state)
}

// Load of the case of advice, in jobs a second. The queue's demand rises to a peak for some seconds; the burst is 2.6
// times that for 4 s.
const (
	quietRate   = 0.5
	peakRate    = 6.5
	burstFactor = 2.6
	quietTime   = 6 * time.Second
	peakTime    = 4500 * time.Millisecond
	burstTime   = 4 * time.Second
	finishTime  = 14 * time.Second
	// stuckTime is how long a job has nothing running, though it could, until that counts.
	stuckTime = 3 * time.Second
)

// adviceAfterBurst has a few jobs that last and short ones on a queue with advice, and a burst of the latter in a peak.
func adviceAfterBurst(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{{
		name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4,
		advice: &adviceTerms{DecisionMs: 100, EachMs: 1, ValidityMs: 3000},
	}}
	s.advice = &adviser{w: s.world, skipsAbandoned: os.Getenv("ADVICE_DROPS") == "1"}
	if err := s.startSite([]string{"alpha"}, 8, 3); err != nil {
		return err
	}
	for range 4 {
		j := &job{id: newID(r), queue: s.queues[0], workMs: []int64{0}}
		j.body = Submission{Spec: "lasts", Steps: []Step{{Count: 2, CPU: 1000, Memory: 256, EstimatedMs: 1000, LongRunning: true}}}
		s.deliver(r, j, 20)
	}
	var clients sync.WaitGroup
	sendFor := func(d time.Duration, rate float64) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			j := &job{id: newID(r), queue: s.queues[0], workMs: []int64{300}}
			j.body = Submission{Spec: "short", Steps: []Step{{Count: 1, CPU: 500, Memory: 256, EstimatedMs: 300}}}
			own := rand.New(rand.NewPCG(r.Uint64(), 5))
			clients.Go(func() { s.deliver(own, j, 20) })
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
	}
	for range 2 { // two peaks; the burst is in the first
		sendFor(quietTime, quietRate)
		s.note("client: peak of %.1f jobs a second", peakRate)
		if trouble {
			trouble = false
			s.trouble(burstTime, "burst: %.1f times the jobs", burstFactor)
			sendFor(burstTime, burstFactor*peakRate)
			sendFor(peakTime-burstTime, peakRate)
		} else {
			sendFor(peakTime, peakRate)
		}
		s.noteAdvice()
	}
	sendFor(quietTime, quietRate)
	clients.Wait()
	s.note("client: the traffic has ended")
	time.Sleep(finishTime)
	s.noteAdvice()
	s.checkStuck(r)
	s.noteAdvice()
	return nil
}

func (s *site) noteAdvice() {
	s.note("advice: %d calls answered, %d refused with 429, callers of %d had gone", s.advice.calls.Load(), s.advice.refused.Load(), s.advice.abandoned.Load())
}

// checkStuck checks that no accepted job has nothing running for stuckTime though it could start.
func (s *site) checkStuck(r *rand.Rand) {
	waiting := s.idleJobs(r)
	for end := time.Now().Add(stuckTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.mu.Lock()
		for id, j := range waiting {
			if s.hasRuns(j) || !s.roomFor(j) {
				delete(waiting, id)
			}
		}
		s.mu.Unlock()
	}
	still := s.idleJobs(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range waiting {
		if j := still[id]; j != nil {
			s.breaks("LOST", "job %s, accepted %.1f s ago, has nothing running for %v, with room for it and under half of the capacity in use", id, time.Since(j.accepted).Seconds(), stuckTime)
		}
	}
}

// idleJobs returns the accepted jobs that are not final and have nothing running, by what callers are told.
func (s *site) idleJobs(r *rand.Rand) map[string]*job {
	s.mu.Lock()
	var list []*job
	for _, j := range s.jobs {
		if !j.accepted.IsZero() && j.cancelSent.IsZero() && !s.hasRuns(j) && !s.allDone(j) {
			list = append(list, j)
		}
	}
	s.mu.Unlock()
	idle := map[string]*job{}
	for _, j := range list {
		if status, state := s.state(s.nodes[r.IntN(len(s.nodes))], j); status == 200 && (state == "queued" || state == "running") {
			idle[j.id] = j
		}
	}
	return idle
}

// hasRuns reports whether anything of a job runs. The caller holds s.mu.
func (s *site) hasRuns(j *job) bool {
	for _, x := range s.executors {
		for _, run := range x.running {
			if run.job == j {
				return true
			}
		}
	}
	return false
}

// roomFor reports whether the service has room for a job's first step twice over, and under half of its capacity is in
// use. The caller holds s.mu.
func (s *site) roomFor(j *job) bool {
	var used, capacity, room int64
	for _, x := range s.executors {
		if x.service == j.queue.service {
			used += x.used()
			capacity += x.cpu
			room += (x.cpu - x.used()) / j.body.Steps[0].CPU
		}
	}
	return 2*used < capacity && room >= 2*int64(j.body.Steps[0].Count)
}

const (
	// freezeTime is how long a node stands still.
	freezeTime = 4 * time.Second
	// freezes is how many nodes stand still, one after the other.
	freezes = 4
	// clientsPerFreeze is how many clients hand a job in at each.
	clientsPerFreeze = 5
)

// cancelOfJobAtFrozenNode hands jobs in at a node that stands still. Their clients leave without an answer, cancel the
// jobs at another node, and get acknowledgements before the first one wakes.
func cancelOfJobAtFrozenNode(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4}}
	if err := s.startSite([]string{"alpha"}, 4, 3); err != nil {
		return err
	}
	time.Sleep(stableTime)
	for range freezes {
		first := r.IntN(len(s.nodes))
		frozen, other := s.nodes[first], s.nodes[(first+1)%len(s.nodes)]
		if trouble {
			s.trouble(freezeTime, "%s stands still", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { frozen.signal(syscall.SIGCONT) })
			time.Sleep(50 * time.Millisecond)
		}
		var clients sync.WaitGroup
		for range clientsPerFreeze {
			j := chainedJob(newID(r), s.queues[0])
			clients.Go(func() {
				s.submit(frozen, j, 200*time.Millisecond)
				s.cancel(other, j, 3*time.Second)
				s.noteState(other, j)
				time.Sleep(freezeTime + 6*time.Second)
				s.noteState(other, j)
			})
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
	}
	return nil
}

// chainedJob returns a job of four steps, one after the other.
func chainedJob(id string, q *queue) *job {
	j := &job{id: id, queue: q, body: Submission{Spec: "spec of " + id}}
	for n := range 4 {
		step := Step{Count: 1, CPU: 1000, Memory: 256, EstimatedMs: 1500}
		if n > 0 {
			step.After = []int{n - 1}
		}
		j.body.Steps = append(j.body.Steps, step)
		j.workMs = append(j.workMs, step.EstimatedMs)
	}
	return j
}
