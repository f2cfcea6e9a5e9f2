package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An executor as PROTOCOL.md describes it. What a task does stands in the spec of its job: "ms=N" is how long a task
// works, "ms=0" until it is stopped; "gang=N" says that the N tasks of the step work only together.

const (
	stopTime    = 100 * time.Millisecond  // of a stop; bounds.stop-ms is 400
	gangTimeout = 3 * time.Second         // bounds.gang-timeout-ms
	maxHold     = 10 * time.Second        // bounds.max-hold-ms
	heartbeat   = 1500 * time.Millisecond // heartbeat-interval-ms
)

type run struct {
	task    string
	number  int
	spec    map[string]int
	began   time.Time // when it began to work; zero while a gang waits
	present time.Time
	stopAt  time.Time // when its stop takes effect; zero if it is not stopped
}

type ended struct {
	sequence int64
	task     string
	number   int
	how      string
}

type executor struct {
	world    *world
	id       string
	machine  string
	service  string
	address  string
	rack     string
	cpu      int64
	born     time.Time
	server   *http.Server
	mu       sync.Mutex
	token    int64
	until    int64 // end of the lease of all runs, on its own clock
	running  map[string]*run
	highest  map[string]int // by task, the highest run that began, ended or was stopped
	ends     []ended
	sequence int64
	beats    int64
	cut      chan struct{} // not nil while it is partitioned; closed when the partition ends
	gone     bool
}

// startExecutor starts an executor on a loopback port and registers it.
func (w *world) startExecutor(id, machine, service, rack string, cpu int64) *executor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("executor: %v", err)
	}
	e := &executor{
		world: w, id: id, machine: machine, service: service, rack: rack, cpu: cpu, born: time.Now(),
		address: listener.Addr().String(), running: map[string]*run{}, highest: map[string]int{},
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	w.record("executor %s starts on machine %s of %s", id, machine, service)
	go e.live()
	return e
}

func (e *executor) key() string { return "servers/" + e.id }

// live writes the heartbeats, and ends runs whose time is over.
func (e *executor) live() {
	next := time.Now()
	for !e.world.over() {
		e.mu.Lock()
		gone, cut := e.gone, e.cut != nil
		e.advance(time.Now())
		e.mu.Unlock()
		if gone {
			return
		}
		if !cut && !time.Now().Before(next) {
			e.beat()
			next = time.Now().Add(heartbeat)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *executor) beat() {
	e.mu.Lock()
	e.beats++
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "palermo", "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": map[string]int64{"cpu": e.cpu, "mem-mb": 65536, "gpu": 0},
		"labels": []string{"a", e.rack}, "clock-ms": e.clock(time.Now()), "sequence": e.beats,
	})
	gone := e.gone
	e.mu.Unlock()
	if !gone {
		e.world.store.Put(e.key(), value)
	}
}

// crash ends the executor for good, without notice. Its entry goes after three heartbeats of silence.
func (e *executor) crash() {
	e.mu.Lock()
	e.gone = true
	for _, r := range e.running {
		e.world.record("%s run %d is lost with its executor", r.task, r.number)
		e.world.noteEnd(r, "lost")
	}
	clear(e.running)
	e.mu.Unlock()
	_ = e.server.Close()
	e.world.record("executor %s crashes", e.id)
	time.AfterFunc(3*heartbeat, func() { e.world.store.Delete(e.key()) })
}

// partition cuts the executor off for a while: nothing reaches it, and it reaches nothing. What runs there goes on.
func (e *executor) partition(d time.Duration) {
	e.mu.Lock()
	e.cut = make(chan struct{})
	e.mu.Unlock()
	e.world.record("executor %s is cut off", e.id)
	if d > 3*heartbeat {
		time.AfterFunc(3*heartbeat, func() { e.world.store.Delete(e.key()) })
	}
	time.AfterFunc(d, func() {
		e.mu.Lock()
		close(e.cut)
		e.cut = nil
		e.mu.Unlock()
		e.world.record("executor %s is reachable again", e.id)
	})
}

// clock is its own time in milliseconds.
func (e *executor) clock(now time.Time) int64 { return 1000 + now.Sub(e.born).Milliseconds() }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until-ms"`
	Token      int64  `json:"fencing-token"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

// ServeHTTP serves an order or a look.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	if cut != nil {
		select {
		case <-cut: // what was held up arrives
		case <-r.Context().Done():
		}
		if r.Context().Err() != nil {
			return // lost with its connection
		}
	}
	if expected := r.Header.Get("Tarragonreach-Expected-Instance"); expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	if body.Token < e.token {
		e.refuse(w, "fence")
		return
	}
	e.token = body.Token
	switch r.URL.Path {
	case "/run-start":
		e.start(w, body, now)
	case "/run-stop":
		e.stop(w, body, now)
	case "/hold":
		e.hold(w, r, body)
	case "/pace":
		e.answer(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(w http.ResponseWriter, fields map[string]any) {
	fields["clock-ms"] = e.clock(time.Now())
	writeJSON(w, http.StatusOK, fields)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock-ms": e.clock(time.Now()), "reason": reason})
}

func (e *executor) extend(until int64, now time.Time) {
	e.until = max(e.until, min(until, e.clock(now)+maxHold.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, b orderBody, now time.Time) {
	current := e.running[b.Task]
	switch {
	case current != nil && current.number == b.Run:
		e.answer(w, map[string]any{})
		return
	case current != nil || b.Run <= e.highest[b.Task]:
		e.extend(b.UntilMs, now)
		e.refuse(w, "old")
		return
	case b.UntilMs <= e.clock(now):
		e.refuse(w, "late")
		return
	case !e.world.ticketValid(b.Task, e.id, b.Ticket, now):
		e.world.record("start of %s run %d on %s refused: ticket", b.Task, b.Run, e.id)
		e.refuse(w, "ticket")
		return
	}
	e.extend(b.UntilMs, now)
	r := &run{task: b.Task, number: b.Run, spec: parseSpec(b.Spec), present: now}
	e.running[b.Task] = r
	e.highest[b.Task] = b.Run
	e.world.record("start of %s run %d on %s", b.Task, b.Run, e.id)
	e.world.noteStart(b.Task, now)
	if size := r.spec["gang"]; size > 0 {
		e.world.joinGang(r, size, now)
	} else {
		r.began = now
	}
	e.answer(w, map[string]any{})
}

func (e *executor) stop(w http.ResponseWriter, b orderBody, now time.Time) {
	e.highest[b.Task] = max(e.highest[b.Task], b.Run)
	if r := e.running[b.Task]; r != nil && r.number <= b.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	e.answer(w, map[string]any{})
}

// hold lists what runs and what has ended, and waits for an end.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, b orderBody) {
	for len(e.ends) > 0 && e.ends[0].sequence <= b.LastSeen {
		e.ends = e.ends[1:]
	}
	e.extend(b.UntilMs, time.Now())
	deadline := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
	for len(e.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		e.advance(time.Now())
	}
	if cut := e.cut; cut != nil { // the answer is held up
		e.mu.Unlock()
		select {
		case <-cut:
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.task, r.number, "", 100, 0})
	}
	for _, x := range e.ends[:min(len(e.ends), 500)] {
		ends = append(ends, []any{x.sequence, x.task, x.number, x.how, ""})
	}
	e.answer(w, map[string]any{"running": running, "ended": ends})
}

// advance ends the runs whose lease, stop or work is over.
func (e *executor) advance(now time.Time) {
	for _, r := range e.running {
		work := time.Duration(r.spec["ms"]) * time.Millisecond
		switch {
		case e.clock(now) >= e.until:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case e.world.gangBroken(r):
			e.end(r, "broken")
		case e.world.gangBegan(r) && now.Sub(e.world.gangBeganAt(r)) >= work:
			e.end(r, "done")
		case r.spec["gang"] > 0 && !e.world.gangBegan(r) && now.Sub(r.present) >= gangTimeout:
			e.end(r, "alone")
		case r.spec["gang"] == 0 && work > 0 && now.Sub(r.began) >= work:
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.sequence++
	e.ends = append(e.ends, ended{e.sequence, r.task, r.number, how})
	e.world.record("end of %s run %d on %s: %s", r.task, r.number, e.id, how)
	e.world.noteEnd(r, how)
}

func parseSpec(spec string) map[string]int {
	values := map[string]int{}
	for _, field := range strings.Fields(spec) {
		name, text, _ := strings.Cut(field, "=")
		if n, err := strconv.Atoi(text); err == nil {
			values[name] = n
		}
	}
	return values
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// stepOf returns JOB.K.STEP of a task's name, and jobOf its job.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func jobOf(task string) string { return task[:strings.Index(task, ".")] }

func gangKey(r *run) string { return fmt.Sprintf("%s#%d", stepOf(r.task), r.number) }
