package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// run is a run on an executor.
type run struct {
	task     string
	run      int
	step     Step
	job      *job
	arrived  time.Time
	working  time.Time // since when it makes progress; zero while it waits for its gang
	progress time.Duration
	saved    string
	savedAt  time.Duration // the progress of the last checkpoint
	stopAt   time.Time     // when its stop takes effect; zero without one
}

// executor is the stand-in of one life of a worker.
type executor struct {
	w         *world
	id        string
	service   string
	address   string
	labels    []string
	cpu       int64
	began     time.Time
	rate      float64 // of its clock
	token     int64
	until     int64 // end of the lease, on its clock
	lapsed    time.Time
	running   []*run
	highest   map[string]int
	ended     []*end
	sequence  int64
	beats     int64
	draining  bool
	leaves    time.Time // when the store accepted that it drains; zero before
	gone      bool
	cutUntil  time.Time                              // it neither gets nor sends anything before
	fault     func(path, task string) (string, bool) // "lost" or "late", for a call
	listener  net.Listener
	server    *http.Server
	responses chan struct{} // closed when a run ends
}

func newExecutor(w *world, id, service, address string, labels []string, cpu int64) (*executor, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &executor{
		w: w, id: id, service: service, address: listener.Addr().String(), labels: labels, cpu: cpu,
		began: time.Now(), rate: 1 - 0.02*float64(len(w.executors)%3)/2, highest: map[string]int{}, listener: listener, responses: make(chan struct{}),
	}
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(listener) }()
	w.mu.Lock()
	w.executors = append(w.executors, x)
	w.mu.Unlock()
	return x, nil
}

func (x *executor) hasLabel(label string) bool { return slices.Contains(x.labels, label) }

func (x *executor) clock(now time.Time) int64 {
	return 100_000 + int64(float64(now.Sub(x.began).Milliseconds())*x.rate)
}

// entry returns the value of its key in the store. The caller holds w.mu.
func (x *executor) entry() []byte {
	x.beats++
	state := "ready"
	if x.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": "palermo", "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": map[string]int64{"cpu": x.cpu, "mem-mb": 65536, "gpu": 0},
		"labels": x.labels, "clock-ms": x.clock(time.Now()), "sequence": x.beats,
	})
	return value
}

// crash ends the executor and everything that runs there. The caller holds w.mu.
func (x *executor) crash() {
	now := time.Now()
	x.gone = true
	lost := x.running
	x.running = nil
	for _, r := range lost {
		if r.step.Gang {
			x.w.endGang(r, "broken", now)
		}
	}
	x.w.executors = slices.DeleteFunc(x.w.executors, func(other *executor) bool { return other == x })
	go func() { _ = x.server.Close() }()
}

type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until-ms"`
	Token      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

// ServeHTTP serves one call as the pages describe it.
func (x *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Tarragonreach-Expected-Instance"); expected != "" && expected != x.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !x.awaitHeal(r) {
		panic(http.ErrAbortHandler)
	}
	x.w.mu.Lock()
	fault, found := "", false
	if x.fault != nil {
		fault, found = x.fault(r.URL.Path, b.Task)
	}
	x.w.mu.Unlock()
	if found && fault == "late" {
		path := r.URL.Path
		time.AfterFunc(lateBy(b.Task), func() { x.handle(path, b, "late ") })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if found && fault == "busy" {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := x.handle(r.URL.Path, b, "")
	if r.URL.Path == "/hold" && status == http.StatusOK {
		body = x.hold(r, b)
	}
	if found && fault == "slow" {
		time.Sleep(lateBy(fmt.Sprint(time.Now().UnixNano())) / 6) // 0.3 to 2 s
	}
	if found && fault == "lost" || !x.awaitHeal(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// lateBy spreads late calls over 2 to 12 s.
func lateBy(task string) time.Duration {
	sum := 0
	for _, c := range task {
		sum += int(c)
	}
	return 2*time.Second + time.Duration(sum%11)*time.Second
}

// awaitHeal waits while the executor is cut off, and reports whether the caller is still there.
func (x *executor) awaitHeal(r *http.Request) bool {
	for {
		x.w.mu.Lock()
		wait, gone := time.Until(x.cutUntil), x.gone
		x.w.mu.Unlock()
		if gone {
			return false
		}
		if wait <= 0 {
			return r.Context().Err() == nil
		}
		select {
		case <-time.After(min(wait, 50*time.Millisecond)):
		case <-r.Context().Done():
			return false
		}
	}
}

func (x *executor) handle(path string, b callBody, how string) (int, map[string]any) {
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if x.gone {
		return http.StatusServiceUnavailable, nil
	}
	x.advance(now)
	reply := map[string]any{"clock-ms": x.clock(now)}
	refuse := func(reason string) (int, map[string]any) {
		reply["reason"] = reason
		if path != "/hold" {
			w.log("%s%s %s run %d token %d on %s: refused %s", how, path, b.Task, b.Run, b.Token, x.id, reason)
		}
		return http.StatusConflict, reply
	}
	if b.Token < x.token {
		return refuse("fence")
	}
	x.token = b.Token
	switch path {
	case "/run-start":
		return x.start(b, how, now, reply, refuse)
	case "/run-stop":
		x.highest[b.Task] = max(x.highest[b.Task], b.Run)
		for _, r := range x.running {
			if r.task == b.Task && r.run <= b.Run && r.stopAt.IsZero() {
				r.stopAt = now.Add(stopTime)
			}
		}
		w.log("%sstop %s run %d token %d on %s", how, b.Task, b.Run, b.Token, x.id)
	case "/hold":
		x.extend(b.UntilMs, now)
		x.acknowledge(b.LastSeen, now)
	}
	return http.StatusOK, reply
}

func (x *executor) extend(until int64, now time.Time) {
	x.until = max(x.until, min(until, x.clock(now)+maxHold.Milliseconds()))
}

func (x *executor) start(b callBody, how string, now time.Time, reply map[string]any, refuse func(string) (int, map[string]any)) (int, map[string]any) {
	w := x.w
	for _, r := range x.running {
		if r.task == b.Task && r.run == b.Run {
			return http.StatusOK, reply
		}
	}
	if b.Run <= x.highest[b.Task] {
		x.extend(b.UntilMs, now)
		return refuse("old")
	}
	if b.UntilMs <= x.clock(now) {
		return refuse("late")
	}
	id, _, number, _ := splitTask(b.Task)
	j := w.job(x.service, id)
	if j != nil && j.queue.advice != nil && !now.Before(w.tickets[x.id+" "+stepOf(b.Task)+" "+b.Ticket]) {
		return refuse("ticket")
	}
	w.checkStart(x, b.Task, b.Run, b.Spec, b.Checkpoint, now)
	if !x.leaves.IsZero() && now.Sub(x.leaves) > drainBound && how == "" {
		w.breaks("DRAIN", "%s run %d starts on %s %.3f s after the store had accepted that it is draining", b.Task, b.Run, x.id, now.Sub(x.leaves).Seconds())
	}
	w.log("%sstart %s run %d token %d on %s", how, b.Task, b.Run, b.Token, x.id)
	x.extend(b.UntilMs, now)
	if j == nil || number >= len(j.body.Steps) {
		return http.StatusOK, reply
	}
	r := &run{task: b.Task, run: b.Run, step: j.body.Steps[number], job: j, arrived: now, saved: b.Checkpoint}
	if !r.step.Gang {
		r.working = now
	}
	if b.Checkpoint != "" {
		var ms int64
		_, _ = fmt.Sscanf(b.Checkpoint[:8], "%x", &ms)
		r.progress = time.Duration(ms) * time.Millisecond
		r.savedAt = r.progress
	}
	x.running = append(x.running, r)
	return http.StatusOK, reply
}

func (x *executor) acknowledge(through int64, now time.Time) {
	for len(x.ended) > 0 && x.ended[0].number <= through {
		e := x.ended[0]
		x.ended = x.ended[1:]
		if x.lapsed.Before(e.at) {
			e.acked = now
		}
	}
}

// hold waits for an end and returns both lists.
func (x *executor) hold(r *http.Request, b callBody) map[string]any {
	deadline := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
	for {
		x.w.mu.Lock()
		now := time.Now()
		x.advance(now)
		if len(x.ended) > 0 || !now.Before(deadline) || r.Context().Err() != nil {
			break
		}
		x.w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	defer x.w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range x.running {
		running = append(running, []any{r.task, r.run, r.saved, 100, r.step.CPU})
	}
	for _, e := range x.ended[:min(len(x.ended), maxEnded)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock-ms": x.clock(time.Now()), "running": running, "ended": ended}
}

// advance lets time pass for all runs there. The caller holds w.mu.
func (x *executor) advance(now time.Time) {
	if x.until > 0 && x.clock(now) >= x.until {
		if x.lapsed.Before(now) {
			x.lapsed = now
		}
		for _, r := range slices.Clone(x.running) {
			x.finish(r, "lapsed", now)
		}
	}
	for _, r := range slices.Clone(x.running) {
		if !slices.Contains(x.running, r) {
			continue // it has ended with its gang
		}
		x.advanceRun(r, now)
	}
}

func (x *executor) advanceRun(r *run, now time.Time) {
	w := x.w
	if !r.stopAt.IsZero() && !now.Before(r.stopAt) {
		x.finish(r, "stopped", now)
		return
	}
	if r.step.Gang && r.working.IsZero() {
		members := w.gang(r)
		if len(members) == r.step.Count {
			for _, m := range members {
				m.working = now
			}
		} else if now.Sub(r.arrived) >= gangTimeout {
			if j := r.job; j.cancelSent.IsZero() && w.calm(now, stableTime+gangTimeout) {
				w.breaks("GANG", "%s run %d on %s ends alone: %d of %d members", r.task, r.run, x.id, len(members), r.step.Count)
			}
			x.finish(r, "alone", now)
		}
		return
	}
	r.progress += now.Sub(r.working)
	r.working = now
	if r.step.Checkpointing && r.progress-r.savedAt >= checkpointTime {
		x.save(r)
	}
	_, _, number, _ := splitTask(r.task)
	if r.step.LongRunning || r.progress < time.Duration(r.job.workMs[number])*time.Millisecond {
		return
	}
	if r.job.fails != nil && r.job.fails(r.task, r.run) {
		x.finish(r, "failed", now)
		return
	}
	x.finish(r, "done", now)
}

func (x *executor) save(r *run) {
	r.savedAt = r.progress
	r.saved = fmt.Sprintf("%08x%08x", r.progress.Milliseconds(), len(x.w.saved))
	key := r.task
	if r.step.Gang {
		key = stepOf(r.task)
	}
	x.w.saved[key+" "+r.saved] = true
}

// gang returns the present members of a run's gang.
func (w *world) gang(r *run) []*run {
	var members []*run
	step := stepOf(r.task)
	for _, x := range w.executors {
		for _, other := range x.running {
			if other.run == r.run && stepOf(other.task) == step {
				members = append(members, other)
			}
		}
	}
	return members
}

// finish ends a run, and with it its gang.
func (x *executor) finish(r *run, how string, now time.Time) {
	if how == "stopped" && r.step.Checkpointing {
		x.save(r)
	}
	x.remove(r, how, now)
	if !r.step.Gang || how == "alone" {
		return
	}
	others := "broken"
	if how == "done" {
		others = "done"
	}
	x.w.endGang(r, others, now)
}

// endGang ends the other members of a run's gang.
func (w *world) endGang(r *run, how string, now time.Time) {
	step := stepOf(r.task)
	for _, other := range w.executors {
		for _, member := range slices.Clone(other.running) {
			if member.run == r.run && stepOf(member.task) == step {
				other.remove(member, how, now)
			}
		}
	}
}

func (x *executor) remove(r *run, how string, now time.Time) {
	x.running = slices.DeleteFunc(x.running, func(other *run) bool { return other == r })
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.sequence++
	e := &end{number: x.sequence, task: r.task, run: r.run, how: how, saved: r.saved, at: now, on: x}
	x.ended = append(x.ended, e)
	x.w.ends = append(x.w.ends, e)
	if step := x.service + "/" + stepOf(r.task); how == "done" {
		if x.w.done[step] == nil {
			x.w.done[step] = map[string]bool{}
		}
		x.w.done[step][r.task] = true
	}
	x.w.log("end %s run %d on %s: %s", r.task, r.run, x.id, how)
}

// used returns the processor capacity that its runs take. The caller holds w.mu.
func (x *executor) used() int64 {
	sum := int64(0)
	for _, r := range x.running {
		sum += r.step.CPU
	}
	return sum
}

func (x *executor) rack() string {
	for _, l := range x.labels {
		if strings.HasPrefix(l, "r") {
			return l
		}
	}
	return ""
}
