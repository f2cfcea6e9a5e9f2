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

// serveSite runs `tarragond serve` processes against a stand-in for the operators'
// platform.
type serveSite struct {
	t         *testing.T
	fleet     *standin.Fleet
	processes []*serveProcess
}

type serveProcess struct {
	name      string
	front     string
	readiness string
	command   *exec.Cmd
	exited    chan error

	mu     sync.Mutex
	log    []string
	duties map[string]bool
}

var terreni = standin.PoolSpec{Service: "terreni", Machines: 3, Prefix: "/terreni/"}

func newServeSite(t *testing.T, runTime time.Duration, pools ...standin.PoolSpec) *serveSite {
	t.Helper()
	fleet, err := standin.NewFleet(pools, runTime)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	return &serveSite{t: t, fleet: fleet}
}

// nextPort counts the ports that were tried. They come from a range outside the
// kernel's ephemeral ports, so that no other test or connection uses a port before the
// process listens on it.
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
			continue // in use by another process
		}
		assert.NilError(t, listener.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

func (s *serveSite) start(name string) *serveProcess {
	s.t.Helper()
	p := &serveProcess{
		name: name, front: freeAddress(s.t), readiness: freeAddress(s.t),
		exited: make(chan error, 1), duties: map[string]bool{},
	}
	path := filepath.Join(s.t.TempDir(), "boot.conf")
	assert.NilError(s.t, os.WriteFile(path, []byte(s.fleet.NodeFile(name, "palermo", p.front, p.readiness)), 0o600))
	p.command = tarragond("serve")
	p.command.Env = append(p.command.Env, nodefile.EnvironmentVariable+"="+path)
	out, err := p.command.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.command.Start())
	go p.readLog(out)
	s.t.Cleanup(func() {
		_ = p.command.Process.Kill() // the process may have ended already
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, strings.Join(p.lines(), "\n"))
		}
	})
	s.processes = append(s.processes, p)
	return p
}

// readLog stores the log lines and tracks the duties that the instance holds. At the
// end of the log it waits for the process.
func (p *serveProcess) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct {
			Msg  string `json:"msg"`
			Duty string `json:"duty"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			line.Msg = "not JSON"
		}
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		switch line.Msg {
		case "duty taken":
			p.duties[line.Duty] = true
		case "duty given up":
			p.duties[line.Duty] = false
		}
		p.mu.Unlock()
	}
	p.exited <- p.command.Wait()
}

func (p *serveProcess) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

func (p *serveProcess) holdsDuty(duty string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duties[duty]
}

func (s *serveSite) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %s", what)
}

func (p *serveProcess) isReady() bool {
	response, err := http.Get("http://" + p.readiness + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *serveSite) startAll(names ...string) {
	s.t.Helper()
	for _, name := range names {
		s.start(name)
	}
	s.await("all to be ready", func() bool {
		for _, p := range s.processes {
			if !p.isReady() {
				return false
			}
		}
		return true
	})
}

// call sends a caller's request. Without a complete response it returns status 0 and
// the error text.
func (p *serveProcess) call(method, path, body string) (status int, header http.Header, text string) {
	request, err := http.NewRequest(method, "http://"+p.front+path, strings.NewReader(body))
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

// submit sends a job to the instances in turn until one accepts it.
func (s *serveSite) submit(i, tasks int, longRunning bool) {
	s.t.Helper()
	body := standin.SubmissionBody(tasks, smallNeed, 200*time.Millisecond, longRunning)
	s.await("a job to be accepted", func() bool {
		for _, p := range s.processes {
			if status, _, _ := p.call(http.MethodPost, jobPath(i), body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

func (s *serveSite) jobState(i int) string {
	for _, p := range s.processes {
		status, _, text := p.call(http.MethodGet, jobPath(i), "")
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

// assertStarts checks that each started task was started the given number of times.
func (s *serveSite) assertStarts(times int) {
	s.t.Helper()
	for task, count := range s.fleet.Starts() {
		assert.Equal(s.t, count, times, task)
	}
}

func (s *serveSite) awaitJobState(i int, state string) {
	s.t.Helper()
	s.await(fmt.Sprintf("job %d to be %s", i, state), func() bool { return s.jobState(i) == state })
}

// owner waits until an instance holds a duty and returns it.
func (s *serveSite) owner(duty string) *serveProcess {
	s.t.Helper()
	var found *serveProcess
	s.await("an owner of "+duty, func() bool {
		for _, p := range s.processes {
			if p.holdsDuty(duty) {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

func (s *serveSite) remove(removed *serveProcess) {
	for i, p := range s.processes {
		if p == removed {
			s.processes = append(s.processes[:i], s.processes[i+1:]...)
			return
		}
	}
}

func TestServeRunsJobsAndRespondsToCallers(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 3, false)
	s.submit(1, 3, false) // a duplicate submission, which must not add a job
	s.awaitJobState(1, "completed")
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
		status, _, text := s.processes[0].call(tc.method, tc.path, tc.body)
		assert.Equal(t, status, tc.status, "%s %s: %s", tc.method, tc.path, text)
	}
}

func TestCancelledJobEndsEverywhere(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, time.Hour, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 4, true)
	s.await("all tasks to run", func() bool { return s.running() == 4 })
	status, _, _ := s.processes[1].call(http.MethodDelete, jobPath(1), "")
	assert.Equal(t, status, http.StatusOK)
	s.awaitJobState(1, "cancelled")
	assert.Equal(t, s.running(), 0)
}

// TestTasksOfAKilledOwnerContinueUnderItsSuccessor kills the owner while its tasks run.
// Its successor must take them over and start none of them again.
func TestTasksOfAKilledOwnerContinueUnderItsSuccessor(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 4*time.Second, terreni)
	s.startAll("pa-0", "pa-1", "pa-2")
	s.submit(1, 6, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 6 })
	owner := s.owner("terreni")
	assert.NilError(t, owner.command.Process.Kill())
	s.remove(owner)
	s.awaitJobState(1, "completed")
	s.assertStarts(1)
}

// TestFrozenOwnerStepsDownWhenResumed freezes an owner and resumes it after its
// successor has taken over. It must be fenced off: it steps down, and no task starts
// twice.
func TestFrozenOwnerStepsDownWhenResumed(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 300*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1", "pa-2")
	s.submit(1, 2, false)
	frozen := s.owner("terreni")
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGSTOP))
	s.remove(frozen)
	s.submit(2, 6, false)
	s.awaitJobState(2, "completed")
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGCONT))
	s.await("the frozen owner to step down", func() bool { return !frozen.holdsDuty("terreni") })
	s.submit(3, 6, false)
	s.awaitJobState(3, "completed")
	assert.Equal(t, s.fleet.Overlaps(), 0)
	s.assertStarts(1)
}

func TestTerminatedOwnerHandsOverWithoutRefusingCallers(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 200*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	owner := s.owner("terreni")
	assert.NilError(t, owner.command.Process.Signal(syscall.SIGTERM))
	refused := 0
	accepted := 0
	for i := 0; owner.holdsDuty("terreni") || i < 20; i++ { // a leaving instance still serves callers
		status, _, text := owner.call(http.MethodPost, jobPath(100+i), standin.SubmissionBody(1, smallNeed, 0, false))
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
		s.awaitJobState(100+i, "completed")
	}
}

// TestStoreOutageRefusesSubmissionsAndLosesNoTask makes the store unavailable.
// Submissions must be refused with Retry-After and not be stored, and running tasks must
// continue.
func TestStoreOutageRefusesSubmissionsAndLosesNoTask(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 2*time.Second, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 4, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 4 })
	s.fleet.Store.SetDown(true)
	attempt := -1
	s.await("a refusal", func() bool {
		attempt++
		status, header, _ := s.processes[0].call(http.MethodPost, jobPath(1000+attempt), standin.SubmissionBody(1, smallNeed, 0, false))
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
	s.fleet.Store.SetDown(false)
	s.awaitJobState(1, "completed")
	status, _, _ := s.processes[0].call(http.MethodGet, jobPath(1000+attempt), "")
	assert.Equal(t, status, http.StatusGone)
	s.assertStarts(1)
}

func TestLostStoreResponsesStartNoTaskTwice(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	for i := range 5 {
		s.fleet.Store.LoseResponses(2)
		s.submit(i, 3, false)
		s.awaitJobState(i, "completed")
	}
	s.assertStarts(1)
}

func TestWatchesWithoutEventsDelayJobsButLoseNone(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	s.fleet.Store.SuppressWatchEvents(true)
	s.submit(1, 3, false)
	s.awaitJobState(1, "completed")
	s.fleet.Store.Compact()
	s.fleet.Store.SuppressWatchEvents(false)
	s.submit(2, 3, false)
	s.awaitJobState(2, "completed")
}

func TestTasksOfACrashedExecutorStartElsewhere(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 3*time.Second, terreni)
	s.startAll("pa-0", "pa-1")
	s.submit(1, 6, false)
	s.await("the tasks to start", func() bool { return len(s.fleet.Starts()) == 6 })
	for _, e := range s.fleet.Executors() {
		if e.Running() > 0 {
			s.fleet.Crash(e.Registration.ID)
			break
		}
	}
	s.awaitJobState(1, "completed")
}

// Executors crash and start again under their IDs, at the same address and at others, while jobs run.
func TestExecutorsThatStartAgainUnderTheirIDsRunNoTaskTwice(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 150*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	const jobs = 8
	for i := range jobs {
		s.submit(i, 6, false)
		for n, e := range s.fleet.Executors() {
			if n%2 == i%2 {
				s.fleet.Restart(e.Registration.ID, i%3 != 0)
			}
		}
	}
	for i := range jobs {
		s.awaitJobState(i, "completed")
	}
	assert.Equal(t, s.fleet.Overlaps(), 0)
	assert.Equal(t, s.fleet.Repeats(), 0)
}

func TestAlwaysFailingJobIsPublishedAsFailed(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 50*time.Millisecond, terreni)
	for _, e := range s.fleet.Executors() {
		e.SetFailing(true)
	}
	s.startAll("pa-0")
	s.submit(1, 1, false)
	s.awaitJobState(1, "failed")
	s.assertStarts(3)
}

// TestWaveMaintainsEveryMachineOnce creates a wave over machines with long-running
// tasks. It must maintain each machine exactly once and then be reported as completed.
func TestWaveMaintainsEveryMachineOnce(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, time.Hour, standin.PoolSpec{Service: "terreni", Machines: 4, Prefix: "/terreni/"},
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
	for _, action := range s.fleet.Machines.Actions() {
		done[action]++
	}
	for _, m := range machines {
		assert.Equal(t, done["upkeep "+string(m)], 1, m)
	}
}

func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 100*time.Millisecond, terreni)
	s.startAll("pa-0", "pa-1")
	moved := terreni
	moved.Prefix = "/moved/"
	assert.NilError(t, s.fleet.Configure([]standin.PoolSpec{moved}, 7))
	s.await("the new route everywhere", func() bool {
		for _, p := range s.processes {
			if status, _, _ := p.call(http.MethodGet, "/moved/", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	assert.NilError(t, s.fleet.Configure([]standin.PoolSpec{terreni}, 3)) // an older version
	for range 20 {
		for _, p := range s.processes {
			status, _, _ := p.call(http.MethodGet, "/terreni/", "")
			assert.Equal(t, status, http.StatusNotFound)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestServeReportsFaultsOfItsSettings(t *testing.T) {
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

func TestDevJobsRunsJobsWithoutOverlaps(t *testing.T) {
	t.Parallel()
	command := tarragond("dev-jobs", "--duration", "4s")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	var summary struct {
		Accepted, Completed, Overlaps                        int
		FormerKeyRefused, FormerKeyAccepted, ValidKeyRefused int
	}
	assert.NilError(t, json.Unmarshal(output, &summary), "%s", output)
	assert.Assert(t, summary.Accepted > 0)
	assert.Equal(t, summary.Overlaps, 0)
	assert.Equal(t, summary.FormerKeyAccepted, 0)
	assert.Equal(t, summary.ValidKeyRefused, 0)
}
