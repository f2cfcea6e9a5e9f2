package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// operatorsSite runs `tarragond serve` processes against a stand-in of the
// operators' platform.
type operatorsSite struct {
	t     *testing.T
	fleet *standin.Fleet
	nodes []*servedNode
}

type servedNode struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
	exited  chan error

	mu   sync.Mutex
	log  []string
	duty map[string]bool
}

var terreni = standin.PoolSpec{Service: "terreni", Machines: 3, Prefix: "/terreni/"}

func newOperatorsSite(t *testing.T, runTime time.Duration, pools ...standin.PoolSpec) *operatorsSite {
	t.Helper()
	fleet, err := standin.NewFleet(pools, runTime)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	return &operatorsSite{t: t, fleet: fleet}
}

// nextPort counts up from a range that the kernel gives to nobody by itself, so that
// no other test or connection takes a port before its process listens there.
var nextPort atomic.Int32

const (
	firstPort = 20000
	portSpan  = 10000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portSpan {
		offset := (int32(os.Getpid())*64 + nextPort.Add(1)) % portSpan
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken by something else on this machine
		}
		assert.NilError(t, listener.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

func (s *operatorsSite) start(name string) *servedNode {
	s.t.Helper()
	n := &servedNode{
		name: name, front: freeAddress(s.t), ready: freeAddress(s.t),
		exited: make(chan error, 1), duty: map[string]bool{},
	}
	path := filepath.Join(s.t.TempDir(), "boot.conf")
	assert.NilError(s.t, os.WriteFile(path, []byte(s.fleet.NodeFile(name, "palermo", n.front, n.ready)), 0o600))
	n.command = tarragond("serve")
	n.command.Env = append(n.command.Env, nodefile.EnvironmentVariable+"="+path)
	out, err := n.command.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, n.command.Start())
	go n.read(out)
	s.t.Cleanup(func() {
		_ = n.command.Process.Kill() // it may have ended already
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", n.name, strings.Join(n.lines(), "\n"))
		}
	})
	s.nodes = append(s.nodes, n)
	return n
}

// read keeps the log and follows which duties the instance has.
func (n *servedNode) read(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct {
			Msg  string `json:"msg"`
			Duty string `json:"duty"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			line.Msg = "not JSON"
		}
		n.mu.Lock()
		n.log = append(n.log, lines.Text())
		switch line.Msg {
		case "duty taken":
			n.duty[line.Duty] = true
		case "duty given up":
			n.duty[line.Duty] = false
		}
		n.mu.Unlock()
	}
	n.exited <- n.command.Wait()
}

func (n *servedNode) lines() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log...)
}

func (n *servedNode) has(duty string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.duty[duty]
}

func (s *operatorsSite) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	s.t.Fatalf("gave up waiting for %s", what)
}

func (n *servedNode) isReady() bool {
	response, err := http.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *operatorsSite) startAll(names ...string) {
	s.t.Helper()
	for _, name := range names {
		s.start(name)
	}
	s.await("all to be ready", func() bool {
		for _, n := range s.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// ask makes a caller's request; status 0 means that no answer came.
func (n *servedNode) ask(method, path, body string) (status int, header http.Header, text string) {
	request, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	request.Host = standin.Host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return response.StatusCode, response.Header, string(data)
}

func jobPath(i int) string { return fmt.Sprintf("/terreni/%016x", i) }

var smallNeed = job.Resources{MilliCPU: 1000, MemoryMB: 100}

// submit hands a job in at any instance until it is accepted.
func (s *operatorsSite) submit(i, tasks int, lasting bool) {
	s.t.Helper()
	body := standin.SubmissionBody(tasks, smallNeed, 200*time.Millisecond, lasting)
	s.await("a job to be accepted", func() bool {
		for _, n := range s.nodes {
			if status, _, _ := n.ask(http.MethodPost, jobPath(i), body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

func (s *operatorsSite) state(i int) string {
	for _, n := range s.nodes {
		status, _, text := n.ask(http.MethodGet, jobPath(i), "")
		if status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			if err := json.Unmarshal([]byte(text), &body); err == nil {
				return body.State
			}
		}
	}
	return ""
}

// assertStarts checks how often each task was started.
func (s *operatorsSite) assertStarts(times int) {
	s.t.Helper()
	for task, count := range s.fleet.Starts() {
		assert.Equal(s.t, count, times, task)
	}
}

func (s *operatorsSite) awaitState(i int, state string) {
	s.t.Helper()
	s.await(fmt.Sprintf("job %d to be %s", i, state), func() bool { return s.state(i) == state })
}

// owner returns the instance that has a duty.
func (s *operatorsSite) owner(duty string) *servedNode {
	s.t.Helper()
	var found *servedNode
	s.await("an owner of "+duty, func() bool {
		for _, n := range s.nodes {
			if n.has(duty) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (s *operatorsSite) remove(gone *servedNode) {
	for i, n := range s.nodes {
		if n == gone {
			s.nodes = append(s.nodes[:i], s.nodes[i+1:]...)
			return
		}
	}
}

func TestServeRunsJobsAndAnswersCallers(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 3, false)
	s.submit(1, 3, false) // a duplicate stays one job
	s.awaitState(1, "completed")
	assert.Equal(t, len(s.fleet.Starts()), 3)
	s.assertStarts(1)
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodGet, jobPath(99), "", http.StatusGone},
		{http.MethodDelete, jobPath(99), "", http.StatusGone},
		{http.MethodDelete, jobPath(1), "", http.StatusOK},
		{http.MethodGet, "/terreni/", "", http.StatusOK},
		{http.MethodGet, "/nosuch/", "", http.StatusNotFound},
		{http.MethodPost, "/terreni/notanid", "{}", http.StatusNotFound},
		{http.MethodPost, jobPath(98), "{", http.StatusBadRequest},
		{http.MethodPost, jobPath(98), `{"spec":"p","steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, jobPath(98), `{"spec":"` + strings.Repeat("x", 300_000) + `"}`, http.StatusRequestEntityTooLarge},
		{http.MethodPut, jobPath(98), "", http.StatusMethodNotAllowed},
	} {
		status, _, text := s.nodes[0].ask(tc.method, tc.path, tc.body)
		assert.Equal(t, status, tc.status, "%s %s: %s", tc.method, tc.path, text)
	}
}

func TestCancelledJobEndsEverywhere(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, time.Hour, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 4, true)
	running := func() int {
		n := 0
		for _, e := range s.fleet.Executors() {
			n += e.Running()
		}
		return n
	}
	s.await("all tasks to run", func() bool { return running() == 4 })
	status, _, _ := s.nodes[1].ask(http.MethodDelete, jobPath(1), "")
	assert.Equal(t, status, http.StatusOK)
	s.awaitState(1, "cancelled")
	assert.Equal(t, running(), 0)
}

// The owner is killed while its tasks run; the next one takes them over and starts
// none of them again.
func TestKilledOwnersTasksRunOnUnderTheNext(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 4*time.Second, terreni)
	s.startAll("pa-0", "pa-1", "pa-2")
	s.submit(1, 6, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 6 })
	owner := s.owner("terreni")
	assert.NilError(t, owner.command.Process.Kill())
	s.remove(owner)
	s.awaitState(1, "completed")
	s.assertStarts(1)
}

// A frozen owner that wakes after its successor took over is fenced off.
func TestFrozenOwnerStepsDownWhenItWakes(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 300*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1", "pa-2")
	s.submit(1, 2, false)
	frozen := s.owner("terreni")
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGSTOP))
	s.remove(frozen)
	s.submit(2, 6, false)
	s.awaitState(2, "completed")
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGCONT))
	s.await("the frozen owner to step down", func() bool { return !frozen.has("terreni") })
	s.submit(3, 6, false)
	s.awaitState(3, "completed")
	assert.Equal(t, s.fleet.Overlaps(), 0)
	s.assertStarts(1)
}

func TestTerminatedOwnerHandsOverAndCutsNobodyOff(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 200*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	owner := s.owner("terreni")
	assert.NilError(t, owner.command.Process.Signal(syscall.SIGTERM))
	refused := 0
	accepted := 0
	for i := 0; owner.has("terreni") || i < 20; i++ { // it serves on while it leaves
		status, _, text := owner.ask(http.MethodPost, jobPath(100+i), standin.SubmissionBody(1, smallNeed, 0, false))
		if status != http.StatusOK {
			refused++
			t.Logf("%d %s", status, text)
			continue
		}
		accepted++
	}
	assert.Equal(t, refused, 0)
	assert.NilError(t, <-owner.exited)
	s.remove(owner)
	for i := range accepted {
		s.awaitState(100+i, "completed")
	}
}

// The store goes away: submissions are refused at once and truly not stored, and what
// runs goes on.
func TestStoreOutageRefusesTrulyAndLosesNothing(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 2*time.Second, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 4, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 4 })
	s.fleet.Store.SetDown(true)
	refused := -1
	s.await("a refusal", func() bool {
		refused++
		status, header, _ := s.nodes[0].ask(http.MethodPost, jobPath(1000+refused), standin.SubmissionBody(1, smallNeed, 0, false))
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
	s.fleet.Store.SetDown(false)
	s.awaitState(1, "completed")
	status, _, _ := s.nodes[0].ask(http.MethodGet, jobPath(1000+refused), "")
	assert.Equal(t, status, http.StatusGone)
	s.assertStarts(1)
}

func TestLostAnswersOfTheStoreDoNoHarm(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	for i := range 5 {
		s.fleet.Store.LoseResponses(2)
		s.submit(i, 3, false)
		s.awaitState(i, "completed")
	}
	s.assertStarts(1)
}

func TestSilentWatchesDelayWorkButLoseNone(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	s.fleet.Store.SuppressWatchEvents(true)
	s.submit(1, 3, false)
	s.awaitState(1, "completed")
	s.fleet.Store.Compact()
	s.fleet.Store.SuppressWatchEvents(false)
	s.submit(2, 3, false)
	s.awaitState(2, "completed")
}

func TestCrashedExecutorsTasksStartElsewhere(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 3*time.Second, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 6, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 6 })
	for _, e := range s.fleet.Executors() {
		if e.Running() > 0 {
			s.fleet.Crash(e.Registration.ID)
			break
		}
	}
	s.awaitState(1, "completed")
}

func TestJobThatAlwaysFailsIsShownAsFailed(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 50*time.Millisecond, terreni)
	for _, e := range s.fleet.Executors() {
		e.SetFailing(true)
	}
	s.startAll("pa-0")
	s.submit(1, 1, false)
	s.awaitState(1, "failed")
	s.assertStarts(3)
}

// A wave takes every machine once, with lasting tasks on them, and is then reported.
func TestWaveMaintainsEveryMachineOnce(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, time.Hour, standin.PoolSpec{Service: "terreni", Machines: 4, Prefix: "/terreni/"},
		standin.PoolSpec{Service: "sportello", Machines: 2, Spare: true})
	s.startAll("pa-0", "pa-1")
	s.submit(1, 2, true)
	machines := []cluster.MachineID{"m-terreni-0", "m-terreni-1", "m-sportello-0"}
	assert.NilError(t, s.fleet.CreateWave(1, machines, 20*time.Second, 1))
	s.await("the wave to be reported", func() bool {
		item, found := s.fleet.Store.Get(registry.WaveStatusKey(1))
		if !found {
			return false
		}
		state, err := registry.WaveStatus(item.Value)
		return err == nil && state == cluster.WaveCompleted
	})
	done := map[string]int{}
	for _, act := range s.fleet.Machines.Actions() {
		done[act]++
	}
	for _, m := range machines {
		assert.Equal(t, done["upkeep "+string(m)], 1, m)
	}
}

func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	t.Parallel()
	s := newOperatorsSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	moved := terreni
	moved.Prefix = "/moved/"
	assert.NilError(t, s.fleet.Configure([]standin.PoolSpec{moved}, 7))
	s.await("the new route everywhere", func() bool {
		for _, n := range s.nodes {
			if status, _, _ := n.ask(http.MethodGet, "/moved/", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	assert.NilError(t, s.fleet.Configure([]standin.PoolSpec{terreni}, 3)) // an older version
	for range 20 {
		for _, n := range s.nodes {
			status, _, _ := n.ask(http.MethodGet, "/terreni/", "")
			assert.Equal(t, status, http.StatusNotFound)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestServeNamesFaultsOfItsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	assert.NilError(t, os.WriteFile(path, []byte("node=pa-0\nbounds.grace-s=soon\n"), 0o600))
	command := tarragond("serve")
	command.Env = append(command.Env, nodefile.EnvironmentVariable+"="+path)
	output, _ := command.CombinedOutput()
	assert.Equal(t, command.ProcessState.ExitCode(), exitWrongInput, "%s", output)
	for _, text := range []string{"zone is missing", "listen.front is missing", "platform.address is missing", "bounds.grace-s=soon"} {
		assert.Assert(t, strings.Contains(string(output), text), "%s", output)
	}
}

func TestDevJobsKeepsItsPromises(t *testing.T) {
	t.Parallel()
	command := tarragond("dev-jobs", "--duration", "4s")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	var summary struct {
		Accepted, Completed, Overlaps int
	}
	assert.NilError(t, json.Unmarshal(output, &summary), "%s", output)
	assert.Assert(t, summary.Accepted > 0)
	assert.Equal(t, summary.Overlaps, 0)
}
