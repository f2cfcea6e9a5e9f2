package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/standin"
)

const host = "pule25.example"

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	advice                map[string]int // nil where the queue has none
}

// world is one deployment on loopback: the platform with its store, its machine service and its advice service, the
// executors, and the project's processes.
type world struct {
	began    time.Time
	trouble  bool
	folder   string
	log      *os.File
	finished atomic.Bool
	client   *http.Client

	store         *standin.Store
	storeAddress  string
	cloudAddress  string
	adviceAddress string
	advice        *adviceService

	mu        sync.Mutex
	executors []*executor
	nodes     []*node
	starts    map[string][]time.Time // by task
	alive     map[string]int         // runs at work or present, by job
	gangs     map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	present int
	beganAt time.Time
	broken  bool
}

// node is one of the project's processes.
type node struct {
	name, ip string
	front    string
	command  *exec.Cmd
}

func newWorld(recordPath string, trouble bool) *world {
	w := &world{
		began: time.Now(), trouble: trouble, store: standin.NewStore(), starts: map[string][]time.Time{},
		alive: map[string]int{}, gangs: map[string]*gang{}, client: &http.Client{Timeout: 4 * time.Second},
	}
	var err error
	if w.log, err = os.Create(recordPath); err != nil {
		w.cannotRun("%v", err)
	}
	if w.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		w.cannotRun("%v", err)
	}
	w.storeAddress = w.serve(w.store)
	w.cloudAddress = w.serve(http.HandlerFunc(w.serveCloud))
	w.record("trouble: %t", trouble)
	return w
}

func (w *world) over() bool { return w.finished.Load() }

// record adds a line with the time since the start to the record.
func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.log.WriteString(line)
}

// cannotRun ends the case as one that could not run.
func (w *world) cannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	w.close()
	os.Exit(2)
}

// conclude ends the case with its result.
func (w *world) conclude(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	code, word := 0, "held"
	if broken {
		code, word = 1, "BROKEN"
	}
	w.record("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	w.close()
	os.Exit(code)
}

// close ends all processes that were started.
func (w *world) close() {
	w.finished.Store(true)
	for _, n := range w.nodes {
		_ = n.command.Process.Kill()
		_, _ = n.command.Process.Wait()
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
	if w.log != nil {
		_ = w.log.Close()
	}
}

func (w *world) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("%v", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// serveCloud lists the machines. No machine has to move or is due for upkeep here: there is no spare pool and no wave.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		w.record("unexpected call of the machine service: %s", r.URL.Path)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	list := []map[string]any{}
	byMachine := map[string]map[string]any{}
	w.mu.Lock()
	executors := slices.Clone(w.executors)
	w.mu.Unlock()
	for _, e := range executors {
		state, id := "up", e.id
		e.mu.Lock()
		if e.gone {
			state, id = "down", ""
		}
		e.mu.Unlock()
		if byMachine[e.machine] == nil {
			byMachine[e.machine] = map[string]any{}
			list = append(list, byMachine[e.machine])
		}
		m := byMachine[e.machine] // the latest executor of the machine
		m["machine"], m["pool"], m["state"], m["zone"], m["id"] = e.machine, e.service, state, "palermo", id
		m["labels"], m["capacity"] = []string{"a", e.rack}, map[string]int64{"cpu": e.cpu, "mem-mb": 65536, "gpu": 0}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next-page-token": nil})
}

// configure writes the operator's configuration. The store's answer is the acknowledgement.
func (w *world) configure(version int, timeoutMs int, services []string, routes ...route) {
	rows, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": "non_idempotent", "timeout-ms": timeoutMs,
			"target-duration-ms": 600, "priority": 0, "service": r.service, "max-attempts": 4, "stretch": 1.6,
		}
		if r.advice != nil {
			row["advice"] = r.advice
		}
		rows = append(rows, row)
	}
	for _, s := range services {
		pools = append(pools, map[string]any{
			"name": s, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "spare": false,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": rows, "services": pools,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.store.Put("op/config", value)
	w.record("configuration %d acknowledged: %s", version, value)
}

// startNodes starts the project's processes, one for each machine, and waits until all are ready.
func (w *world) startNodes(names ...string) {
	front, ready, inner := w.freePort(), w.freePort(), w.freePort()
	for i, name := range names {
		n := &node{name: name, ip: fmt.Sprintf("127.77.%d.%d", os.Getpid()%200, i+1)}
		n.front = fmt.Sprintf("%s:%d", n.ip, front)
		settings := fmt.Sprintf(settingsText, name, n.ip, n.front, n.ip, ready, inner, inner+15, w.adviceLine(), w.storeAddress, w.cloudAddress)
		path := filepath.Join(w.folder, name+".conf")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			w.cannotRun("%v", err)
		}
		n.command = exec.Command("target/tarragond", "serve")
		n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONREACH_NODE_FILE=" + path}
		n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
			out, err := os.Create(filepath.Join(logs, name+".log"))
			if err != nil {
				w.cannotRun("%v", err)
			}
			n.command.Stdout, n.command.Stderr = out, out
		}
		if err := n.command.Start(); err != nil {
			w.cannotRun("%v", err)
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		address := fmt.Sprintf("http://%s:%d/readiness", n.ip, ready)
		w.await(10*time.Second, n.name+" to be ready", func() bool {
			response, err := w.client.Get(address)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	w.record("%d processes are ready", len(w.nodes))
}

func (w *world) adviceLine() string {
	if w.adviceAddress == "" {
		return ""
	}
	return "advice=" + w.adviceAddress + "\n"
}

// settingsText has the settings of a machine of a small deployment.
const settingsText = `node=%s
role=entry
machine-class=front
serves=front
ip=%s
zone=palermo
region=sicilia
zones.palermo=sicilia
listen.front=%s
listen.ready=%s:%d
internal-ports=%d,%d
bootstrap=true
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.max-file-descriptors=4100
limits.link-mbps=1000.0
heartbeat-interval-ms=1500
fault-tolerance.machines=1
bounds.stable-ms=3000
bounds.ack-timeout-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-apply-ms=2000
bounds.max-hold-ms=10000
bounds.stop-ms=400
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.move-s=1.5
bounds.maintenance-s=2
bounds.fencing-required=true
bounds.lease-ms=3000
orders=call
%splatform.address=%s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
cloud.address=%s
cloud.rate-per-s=64.0
cloud.duty-per-s=64.0
`

func (w *world) freePort() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (w *world) await(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.cannotRun("waited in vain for %s", what)
}

// call makes a client's request at a node. Without a complete answer the status is 0.
func (w *world) call(n *node, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Tarragonreach-Deadline-Ms", "3000")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in, and reports whether it was accepted.
func (w *world) submit(n *node, path, body string) bool {
	status, text := w.call(n, http.MethodPost, path, body)
	w.record("client: POST %s at %s %s -> %d %s", path, n.name, body, status, text)
	return status >= 200 && status < 300
}

// state asks for a job's state.
func (w *world) state(n *node, path string) string {
	status, text := w.call(n, http.MethodGet, path, "")
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
		return body.State
	}
	return fmt.Sprintf("%d %s", status, text)
}

// waiting asks a node for the number of waiting jobs of a queue; -1 without an answer of 200.
func (w *world) waiting(n *node, prefix string) int {
	status, text := w.call(n, http.MethodGet, prefix, "")
	var body struct {
		Waiting int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return -1
	}
	return body.Waiting
}

func (w *world) noteStart(task string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[task] = append(w.starts[task], now)
	w.alive[jobOf(task)]++
}

func (w *world) noteEnd(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive[jobOf(r.task)]--
	if g := w.gangs[gangKey(r)]; g != nil && how != "done" {
		g.broken = true
	}
}

// hasBegun reports whether an executor has begun a task of the job.
func (w *world) hasBegun(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.starts {
		if jobOf(task) == job {
			return true
		}
	}
	return false
}

// runs returns how many runs of the job there are now.
func (w *world) runs(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive[job]
}

func (w *world) joinGang(r *run, size int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(r)]
	if g == nil {
		g = &gang{}
		w.gangs[gangKey(r)] = g
	}
	g.present++
	if g.present == size {
		g.beganAt = now
	}
}

func (w *world) gangOf(r *run) gang {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gangKey(r)]; g != nil {
		return *g
	}
	return gang{}
}

func (w *world) gangBegan(r *run) bool { return !w.gangOf(r).beganAt.IsZero() }

func (w *world) gangBeganAt(r *run) time.Time { return w.gangOf(r).beganAt }

// gangBroken reports whether another member of a gang that was at work has ended otherwise than done.
func (w *world) gangBroken(r *run) bool {
	g := w.gangOf(r)
	return g.broken && !g.beganAt.IsZero()
}

// adviceService decides which executors may run the steps of a queue, one call at a time for each calling machine.
type adviceService struct {
	world    *world
	decision time.Duration
	each     time.Duration
	validity time.Duration
	allows   func(e *executor) bool

	mu      sync.Mutex
	never   map[string]bool        // jobs that no executor may run
	turns   map[string]*sync.Mutex // by calling machine
	tickets map[string]time.Time   // until when a ticket is valid, by step, executor and ticket
	count   int
}

func (w *world) startAdvice(decision, each, validity time.Duration, allows func(e *executor) bool) map[string]int {
	w.advice = &adviceService{
		world: w, decision: decision, each: each, validity: validity, allows: allows,
		never: map[string]bool{}, turns: map[string]*sync.Mutex{}, tickets: map[string]time.Time{},
	}
	w.adviceAddress = w.serve(w.advice)
	return map[string]int{
		"decision-ms": int(decision.Milliseconds()), "each-ms": int(each.Milliseconds()), "validity-ms": int(validity.Milliseconds()),
	}
}

// forbid lets no executor run the steps of a job.
func (a *adviceService) forbid(job string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.never[job] = true
	a.world.record("advice: no executor may run %s", job)
}

func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	turn := a.turns[caller]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns[caller] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(a.decision + time.Duration(len(body.Workers))*a.each)
	good := [][]string{}
	a.world.mu.Lock()
	executors := slices.Clone(a.world.executors)
	a.world.mu.Unlock()
	a.mu.Lock()
	for _, e := range executors {
		if slices.Contains(body.Workers, e.id) && a.allows(e) && !a.never[jobOf(body.Step)] {
			a.count++
			ticket := fmt.Sprintf("t%d", a.count)
			a.tickets[body.Step+" "+e.id+" "+ticket] = time.Now().Add(a.validity)
			good = append(good, []string{e.id, ticket})
		}
	}
	a.mu.Unlock()
	a.world.record("advice: step %s, workers %v -> good %v", body.Step, body.Workers, good)
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "validity-ms": a.validity.Milliseconds()})
}

// ticketValid reports whether a start carries a valid ticket, where the queue has advice.
func (w *world) ticketValid(task, executor, ticket string, now time.Time) bool {
	if w.advice == nil {
		return true
	}
	w.advice.mu.Lock()
	defer w.advice.mu.Unlock()
	return now.Before(w.advice.tickets[stepOf(task)+" "+executor+" "+ticket])
}
