package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/standin"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
	"github.com/tarragonreach/tarragonreach/platform/httpapi"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// envRunMain makes the test binary act as tarragond, so that tests can start it as
// separate processes.
const envRunMain = "TARRAGOND_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// patience bounds each wait of these tests; it is no bound of the product.
const patience = 60 * time.Second

// site is a stand-in platform with backend servers, and tarragond processes.
type site struct {
	t         *testing.T
	dir       string
	platform  *memory.Platform
	gate      *writeGate
	address   string
	server    *standin.Server
	authority *keys.Authority
	entries   []*entry
}

// entry is one tarragond process.
type entry struct {
	id       string
	command  *exec.Cmd
	callers  string
	operator string
	mesh     string
	exited   chan error
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), platform: memory.New(time.Now)}
	s.gate = &writeGate{next: httpapi.NewHandler(s.platform)}
	var err error
	s.authority, err = keys.NewAuthority()
	assert.NilError(t, err)
	s.server, err = standin.Start("127.0.0.1:0", standin.Settings{})
	assert.NilError(t, err)
	t.Cleanup(func() { s.server.Close() })
	s.platform.SetInstances([]fleet.Instance{{
		ID: "terreni-0", Kind: fleet.KindBackendServer, Zone: "palermo", Rack: "r0", Address: s.server.Address(),
		Labels: label.Set{fleet.LabelService: "terreni"},
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	web := &http.Server{Handler: s.gate}
	go web.Serve(listener)
	t.Cleanup(func() { web.Close() })
	s.address = listener.Addr().String()
	return s
}

// settings writes the settings file of an entry instance in Palermo.
func (s *site) settings(id string, more string) string { return s.settingsIn("palermo", id, more) }

// settingsIn writes the settings file of an entry instance.
func (s *site) settingsIn(zone, id, more string) string {
	files, err := s.authority.WriteFiles(s.dir, fleet.InstanceID(id))
	assert.NilError(s.t, err)
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%q", e.mesh))
	}
	text := fmt.Sprintf(`{
  "instance": {"id": %q, "zone": %q},
  "caller": {"listen": "127.0.0.1:0"},
  "operator": {"listen": "127.0.0.1:0"},
  "mesh": {"listen": "127.0.0.1:0", "seeds": [%s],
    "tls": {"certFile": %q, "keyFile": %q, "caFile": %q}},
  "platform": {"url": "http://%s"},
  "shutdown": {"readinessDelay": "100ms", "grace": "20s"}%s
}`, id, zone, strings.Join(seeds, ","), files.Certificate, files.Key, files.Authority, s.address, more)
	path := filepath.Join(s.dir, id+".json")
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func tarragond(args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), envRunMain+"=1")
	return command
}

// start starts a tarragond process in Palermo and waits until it serves.
func (s *site) start(id string) *entry {
	s.t.Helper()
	return s.startIn("palermo", id)
}

// startIn starts a tarragond process and waits until it serves.
func (s *site) startIn(zone, id string) *entry {
	s.t.Helper()
	e := &entry{id: id, command: tarragond("run", "--config", s.settingsIn(zone, id, "")), exited: make(chan error, 1)}
	logs, err := e.command.StderrPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, e.command.Start())
	s.t.Cleanup(func() { e.command.Process.Kill() })
	serving := make(chan struct{})
	go e.readLogs(logs, serving)
	select {
	case <-serving:
	case err := <-e.exited:
		s.t.Fatalf("%s ended: %v", id, err)
	case <-time.After(patience):
		s.t.Fatalf("%s does not serve", id)
	}
	s.entries = append(s.entries, e)
	return e
}

// readLogs takes the addresses from the line that says that the process serves.
func (e *entry) readLogs(logs io.Reader, serving chan<- struct{}) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		var line struct{ Msg, Callers, Operators, Mesh string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			e.callers, e.operator, e.mesh = line.Callers, line.Operators, line.Mesh
			close(serving)
		}
	}
	e.exited <- e.command.Wait()
}

func (s *site) await(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (s *site) apply(e *entry, document string) {
	s.t.Helper()
	res, err := http.Post("http://"+e.operator+operations.PathConfigChanges, "application/json", strings.NewReader(document))
	assert.NilError(s.t, err)
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	assert.Equal(s.t, res.StatusCode, http.StatusOK, "%s", body)
}

func (e *entry) status() operations.Status {
	var status operations.Status
	res, err := http.Get("http://" + e.operator + operations.PathStatus)
	if err != nil {
		return status
	}
	defer res.Body.Close()
	json.NewDecoder(res.Body).Decode(&status)
	return status
}

func (e *entry) ask(path string) (int, string) {
	res, err := http.Get("http://" + e.callers + path)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(body)
}

const firstDocument = `{
  "services": [{"name": "terreni", "slots": 8, "connections": 64}], // one executor serves it
  "classes": [{"name": "check", "priority": 1, "timeout": "5s", "repeatable": true}]
}`

// TestProcessesServeThroughKillsAndOutages runs three processes and takes away one
// of them, then the platform.
func TestProcessesServeThroughKillsAndOutages(t *testing.T) {
	s := newSite(t)
	for i := range 3 {
		s.start(fmt.Sprintf("pa-%d", i))
	}
	s.apply(s.entries[0], firstDocument)
	s.await("all to be ready", func() bool { return s.all(1, 2) })
	for _, e := range s.entries {
		code, body := e.ask("/s/terreni/hello")
		assert.Equal(t, code, http.StatusOK, body)
	}

	assert.NilError(t, s.entries[0].command.Process.Kill())
	s.entries = s.entries[1:]
	s.await("the killed one to be missed", func() bool { return s.all(1, 1) })
	s.platform.SetFaults(memory.Faults{Down: true})
	for _, e := range s.entries {
		code, body := e.ask("/s/terreni/hello")
		assert.Equal(t, code, http.StatusOK, body)
	}

	late := s.start("pa-9")
	s.await("a new one to hold its peers' configuration", func() bool { return late.status().Ready })
	assert.Equal(t, int(late.status().ConfigRevision), 1)
}

// all reports whether all processes are ready at a revision with so many reachable peers.
func (s *site) all(revision, reachable int) bool {
	for _, e := range s.entries {
		status := e.status()
		n := 0
		for _, m := range status.Members {
			if m.Reachable {
				n++
			}
		}
		if !status.Ready || int(status.ConfigRevision) != revision || n != reachable || status.Executors == 0 {
			return false
		}
	}
	return true
}

func TestGracefulShutdownFinishesWorkInProgress(t *testing.T) {
	s := newSite(t)
	e := s.start("pa-0")
	s.apply(e, firstDocument)
	s.await("the entry instance to be ready", func() bool { return s.all(1, 0) })
	s.server.SetServiceTime(time.Second)
	type answer struct {
		code int
		body string
	}
	answers := make(chan answer, 1)
	before := s.server.TotalRuns()
	go func() {
		code, body := e.ask("/s/terreni/slow")
		answers <- answer{code, body}
	}()
	s.await("the request to run", func() bool { return s.server.TotalRuns() > before || s.server.Connections() > 0 })
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	got := <-answers
	assert.Equal(t, got.code, http.StatusOK, got.body)
	assert.NilError(t, <-e.exited)
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	s := newSite(t)
	e := s.start("pa-0")
	s.apply(e, firstDocument)
	s.await("the entry instance to be ready", func() bool { return s.all(1, 0) })
	s.server.SetServiceTime(time.Hour)
	go e.ask("/s/terreni/slow")
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	err := <-e.exited
	assert.ErrorContains(t, err, "exit status 1")
}

func TestWrongInputExitsWithAClearError(t *testing.T) {
	s := newSite(t)
	good := s.settings("pa-0", "")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	usedPort := s.settings("pa-1", fmt.Sprintf(`, "caller": {"listen": %q}`, taken.Addr()))
	// The first "caller" of the file is dropped, since a field must not stand twice.
	text, err := os.ReadFile(usedPort)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(usedPort, bytes.Replace(text, []byte("  \"caller\": {\"listen\": \"127.0.0.1:0\"},\n"), nil, 1), 0o600))
	faulty := filepath.Join(s.dir, "faulty.json")
	assert.NilError(t, os.WriteFile(faulty, []byte("{\n \"instance\": {\"id\": 3},\n \"platfrom\": {},\n \"log\": {\"level\": \"loud\"}\n}"), 0o600))
	for _, tc := range []struct {
		args []string
		code int
		text []string
	}{
		{[]string{"check", "--config", good}, 0, nil},
		{[]string{"check", "--config", faulty}, exitWrongInput,
			[]string{"2:21: instance.id: a number stands here", "3:2: platfrom: unknown field", "4:19: log.level"}},
		{[]string{"run", "--config", "absent.json"}, exitFailed, []string{"absent.json: no such file"}},
		{[]string{"run", "--config", usedPort}, exitFailed, []string{"open the caller listener", "address already in use"}},
		{[]string{"run"}, exitWrongInput, []string{"config"}},
		{[]string{"run", "--nosuch"}, exitWrongInput, []string{"nosuch"}},
		{[]string{"nosuch"}, exitWrongInput, []string{"unknown command"}},
		{[]string{"dev", "--duration", "1s"}, exitWrongInput, []string{"want at least 2s"}},
		{[]string{"keys"}, exitWrongInput, []string{"name one or more instances"}},
	} {
		command := tarragond(tc.args...)
		output, _ := command.CombinedOutput()
		assert.Equal(t, command.ProcessState.ExitCode(), tc.code, "%v: %s", tc.args, output)
		for _, text := range tc.text {
			assert.Assert(t, strings.Contains(string(output), text), "%v: %s", tc.args, output)
		}
	}
}
