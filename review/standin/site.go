package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// node is one process of the system.
type node struct {
	name, front, ready, dir string
	ports                   [2]int
	advice                  string
	store                   *storeGate
	command                 *exec.Cmd
	exited                  chan struct{}
}

// storeGate is the store's address for one node, at which its calls can be disturbed.
type storeGate struct {
	w       *world
	name    string
	store   *standin.Store
	address string
	server  *http.Server
	// fault says what becomes of a call: "", "lost" (done, not answered), "late" (done later, not answered), "silent"
	// (neither), or "busy".
	fault atomic.Pointer[func(path string, body []byte) (string, time.Duration)]
	delay atomic.Int64 // of each response
}

func (g *storeGate) setFault(f func(path string, body []byte) (string, time.Duration)) {
	if f == nil {
		g.fault.Store(nil)
		return
	}
	g.fault.Store(&f)
}

func (g *storeGate) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	kind, after := "", time.Duration(0)
	if f := g.fault.Load(); f != nil {
		kind, after = (*f)(r.URL.Path, body)
	}
	perform := func() {
		again, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		g.store.ServeHTTP(recorder, again)
		g.w.note("store: call of %s %s carried out without an answer: status %d", g.name, r.URL.Path, recorder.Code)
	}
	switch kind {
	case "lost":
		perform()
	case "late":
		time.AfterFunc(after, perform)
	case "busy":
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case "":
		if d := time.Duration(g.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		g.store.ServeHTTP(rw, r)
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// site is a small deployment.
type site struct {
	*world
	store      *standin.Store
	nodes      []*node
	services   []string
	dir        string
	program    string
	version    int64
	heartbeats bool
	advice     *adviser
	created    int
	wg         sync.WaitGroup
	stop       chan struct{}
}

func newSite(w *world, program string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &site{world: w, store: standin.NewStore(), dir: dir, program: program, stop: make(chan struct{})}, nil
}

// Ports of the nodes come from a range outside the kernel's ephemeral ports, so that no connection takes one before
// its node listens on it, also while a node is down.
const (
	firstPort = 20000
	portSpan  = 10000
)

var portsTried atomic.Int32

func freePorts(n int) ([]int, error) {
	var ports []int
	for range portSpan {
		port := firstPort + (os.Getpid()*64+int(portsTried.Add(1)))%portSpan
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use
		}
		_ = l.Close()
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func listen(handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// configure writes the operator's configuration.
func (s *site) configure() {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, q := range s.queues {
		route := map[string]any{
			"name": q.name, "host": "shop.example", "prefix": q.prefix, "service": q.service, "kind": "non_idempotent",
			"timeout-ms": 3000, "max-attempts": q.maxAttempts, "stretch": 2.0, "target-duration-ms": 600,
		}
		if q.advice != nil {
			route["advice"] = q.advice
		}
		routes = append(routes, route)
	}
	for _, name := range s.services {
		services = append(services, map[string]any{"name": name})
	}
	s.version += 3
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
	s.store.Put("op/config", value)
}

// addExecutor starts an executor and registers it.
func (s *site) addExecutor(service, address string, labels []string, cpu int64) (*executor, error) {
	s.mu.Lock()
	s.created++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+s.created)
	s.mu.Unlock()
	x, err := newExecutor(s.world, id, service, address, labels, cpu)
	if err != nil {
		return nil, err
	}
	s.beat(x)
	s.note("executor %s of %s at %s, labels %v", id, service, x.address, labels)
	return x, nil
}

func (s *site) beat(x *executor) {
	s.mu.Lock()
	value, gone, cut := x.entry(), x.gone, time.Now().Before(x.cutUntil)
	s.mu.Unlock()
	if !gone && !cut {
		s.store.Put("servers/"+x.id, value)
	}
}

// drain lets an executor say that it leaves.
func (s *site) drain(x *executor) {
	s.mu.Lock()
	x.draining = true
	s.mu.Unlock()
	s.beat(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	x.leaves = time.Now()
	s.log("%s drains, as the store has accepted", x.id)
}

// run lets executors work and write their entries until stop is closed.
func (s *site) run() {
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		for s.sleep(10 * time.Millisecond) {
			s.mu.Lock()
			now := time.Now()
			for _, x := range append([]*executor(nil), s.executors...) {
				x.advance(now)
			}
			s.mu.Unlock()
		}
	}()
	go func() {
		defer s.wg.Done()
		for s.sleep(1500 * time.Millisecond) {
			s.mu.Lock()
			list := append([]*executor(nil), s.executors...)
			s.mu.Unlock()
			for _, x := range list {
				s.beat(x)
			}
		}
	}()
}

func (s *site) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.stop:
		return false
	}
}

// crash ends an executor; its entry goes after three heartbeats.
func (s *site) crash(x *executor) {
	s.mu.Lock()
	x.crash()
	s.mu.Unlock()
	time.AfterFunc(4500*time.Millisecond, func() { s.store.Delete("servers/" + x.id) })
}

// addNode prepares a node and starts it.
func (s *site) addNode(i int) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("front-palermo-%d", i), dir: s.dir}
	n.front, n.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	n.ports = [2]int{ports[2], ports[3]}
	g := &storeGate{w: s.world, name: n.name, store: s.store}
	if g.server, g.address, err = listen(g); err != nil {
		return err
	}
	n.store = g
	if s.advice != nil {
		if n.advice, err = s.advice.serve(); err != nil {
			return err
		}
	}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

const settings = `node=%s
role=entry
machine-class=front
serves=front
ip=127.0.0.1
zone=palermo
region=sicilia
zones.palermo=sicilia
listen.front=%s
listen.ready=%s
internal-ports=%d,%d
bootstrap=true
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.max-file-descriptors=4100
limits.link-mbps=1000.0
discovery=platform
entry=virtual_ip
heartbeat-interval-ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.stable-ms=3000
bounds.ack-timeout-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.recovery-s=12
bounds.max-hold-ms=10000
bounds.stop-ms=400
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpoint-interval-s=0.5
bounds.restore-ms=100
bounds.notice-ms=4500
bounds.move-s=1.5
bounds.maintenance-s=2
bounds.fencing-required=true
bounds.lease-ms=3000
bounds.pace-ms=100
bounds.harm-ms=4000
orders=call
advice=%s
platform.address=%s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
`

func (s *site) startNode(n *node) error {
	path := filepath.Join(n.dir, n.name+".conf")
	text := fmt.Sprintf(settings, n.name, n.front, n.ready, n.ports[0], n.ports[1], n.advice, n.store.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(s.program, "serve")
	n.command.Env = append(os.Environ(), "TARRAGONREACH_NODE_FILE="+path)
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		_ = out.Close()
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = out.Close()
		s.note("%s has ended: %v", n.name, command.ProcessState)
		close(exited)
	}(n.command, n.exited)
	s.note("%s started, pid %d", n.name, n.command.Process.Pid)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Signal(sig)
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range s.nodes {
			ready = ready && n.isReady()
		}
		if ready {
			return true
		}
	}
	return false
}

// close ends all processes and servers of the site.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.exited == nil {
			continue // it was never started
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	close(s.stop)
	s.wg.Wait()
	for _, n := range s.nodes {
		_ = n.store.server.Close()
	}
	s.mu.Lock()
	list := append([]*executor(nil), s.executors...)
	s.mu.Unlock()
	for _, x := range list {
		_ = x.server.Close()
	}
}

// call sends a request of a client on a connection of its own; the client leaves after limit. Without a complete
// response the status is 0.
func (s *site) call(n *node, method, path string, body any, limit time.Duration) (int, string) {
	return s.callWithin(n, method, path, body, 3*time.Second, limit)
}

func (s *site) callWithin(n *node, method, path string, body any, deadline, limit time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+n.front+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "shop.example"
	r.Header.Set("Tarragonreach-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit sends a job once and records what the client sees.
func (s *site) submit(n *node, j *job, limit time.Duration) int {
	s.mu.Lock()
	s.jobs[j.queue.service+"/"+j.id] = j
	j.otherTries++
	s.mu.Unlock()
	status, _ := s.call(n, http.MethodPost, j.queue.prefix+j.id, j.body, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("client: POST %s at %s: %d", j.id, n.name, status)
	switch {
	case status >= 200 && status < 300:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case status == 429 || status == 503 || status == 404:
		j.rejections++
		j.otherTries--
	}
	return status
}

// cancel sends a cancellation once and records what the client sees.
func (s *site) cancel(n *node, j *job, limit time.Duration) int {
	s.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	s.mu.Unlock()
	status, _ := s.call(n, http.MethodDelete, j.queue.prefix+j.id, nil, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("client: DELETE %s at %s: %d", j.id, n.name, status)
	if (status >= 200 && status < 300 || status == 410) && j.cancelAcked.IsZero() {
		j.cancelAcked = time.Now()
	}
	return status
}

// state asks for a job's state.
func (s *site) state(n *node, j *job) (int, string) {
	status, text := s.call(n, http.MethodGet, j.queue.prefix+j.id, nil, 3*time.Second)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// adviser is the stand-in of the advice service: one call at a time for each calling machine, 32 may wait.
type adviser struct {
	w *world
	// good says whether a worker may run a step.
	good func(worker, step string) bool
	// skipsAbandoned lets it drop waiting calls whose callers have gone.
	skipsAbandoned bool
	calls, refused atomic.Int64
	abandoned      atomic.Int64
}

// maxWaitingAdvice is how many calls may wait.
const maxWaitingAdvice = 32

// serve returns an address for one calling machine.
func (a *adviser) serve() (string, error) {
	turn := make(chan struct{}, 1)
	var waiting atomic.Int64
	_, address, err := listen(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var b struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Workers) > 100 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if waiting.Add(1) > maxWaitingAdvice+1 {
			waiting.Add(-1)
			a.refused.Add(1)
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		defer waiting.Add(-1)
		turn <- struct{}{}
		defer func() { <-turn }()
		if a.skipsAbandoned && r.Context().Err() != nil {
			a.abandoned.Add(1)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		terms := a.terms(b.Step)
		a.calls.Add(1)
		time.Sleep(time.Duration((terms.DecisionMs + terms.EachMs*float64(len(b.Workers))) * float64(time.Millisecond)))
		good := [][]string{}
		a.w.mu.Lock()
		for _, worker := range b.Workers {
			if a.good == nil || a.good(worker, b.Step) {
				ticket := fmt.Sprintf("%d-%d", a.calls.Load(), len(a.w.tickets))
				a.w.tickets[worker+" "+b.Step+" "+ticket] = time.Now().Add(time.Duration(terms.ValidityMs) * time.Millisecond)
				good = append(good, []string{worker, ticket})
			}
		}
		a.w.mu.Unlock()
		if r.Context().Err() != nil {
			a.abandoned.Add(1)
		}
		_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validity-ms": terms.ValidityMs})
	}))
	return address, err
}

func (a *adviser) terms(step string) adviceTerms {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	id, _, _ := strings.Cut(step, ".")
	for _, q := range a.w.queues {
		if j := a.w.job(q.service, id); j != nil && j.queue.advice != nil {
			return *j.queue.advice
		}
	}
	return adviceTerms{DecisionMs: 20, ValidityMs: 3000}
}
