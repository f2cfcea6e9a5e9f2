package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// envRunMain makes the test binary run as tarragond, so that tests can start tarragond
// in separate processes.
const envRunMain = "TARRAGOND_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// waitTimeout limits each wait of these tests. It is not a time limit of the product.
const waitTimeout = 60 * time.Second

const firstDocument = `{
  "services": [{"name": "terreni", "slots": 8, "connections": 64}], // served by one executor
  "classes": [{"name": "check", "priority": 1, "timeout": "5s", "repeatable": true}]
}`

// TestProcessesServeThroughKillsAndOutages runs three processes, kills one of them and
// then makes the platform unavailable. The others must serve requests, and a new
// process must get the configuration from its peers.
func TestProcessesServeThroughKillsAndOutages(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	for i := range 3 {
		s.start(fmt.Sprintf("pa-%d", i))
	}
	s.apply(s.entries[0], firstDocument)
	s.await("all to be ready", func() bool { return s.allReady(1, 2) })
	for _, e := range s.entries {
		code, body := e.get("/s/terreni/hello")
		assert.Equal(t, code, http.StatusOK, body)
	}

	assert.NilError(t, s.entries[0].command.Process.Kill())
	s.entries = s.entries[1:]
	s.await("the killed process to be reported unreachable", func() bool { return s.allReady(1, 1) })
	s.platform.SetFaults(memory.Faults{Down: true})
	for _, e := range s.entries {
		code, body := e.get("/s/terreni/hello")
		assert.Equal(t, code, http.StatusOK, body)
	}

	joined := s.start("pa-9")
	s.await("the new process to get the configuration from its peers", func() bool { return joined.status().Ready })
	assert.Equal(t, int(joined.status().ConfigRevision), 1)
}

func TestGracefulShutdownCompletesRequestsInProgress(t *testing.T) {
	s := newSite(t)
	e := s.start("pa-0")
	s.apply(e, firstDocument)
	s.await("the entry instance to be ready", func() bool { return s.allReady(1, 0) })
	s.server.SetServiceTime(time.Second)
	type response struct {
		code int
		body string
	}
	responses := make(chan response, 1)
	before := s.server.TotalRuns()
	go func() {
		code, body := e.get("/s/terreni/slow")
		responses <- response{code, body}
	}()
	s.await("the request to run", func() bool { return s.server.TotalRuns() > before })
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	got := <-responses
	assert.Equal(t, got.code, http.StatusOK, got.body)
	assert.NilError(t, <-e.exited)
}

// TestSecondSignalStopsAtOnce sends the second signal while a graceful shutdown waits for a
// request in progress. The process must end without completing the request.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	s := newSite(t)
	e := s.start("pa-0")
	s.apply(e, firstDocument)
	s.await("the entry instance to be ready", func() bool { return s.allReady(1, 0) })
	s.server.SetServiceTime(time.Hour)
	responses := make(chan response, 1)
	go func() { responses <- e.send(t, http.MethodGet, "/s/terreni/slow", header.Timeout, "10m") }()
	s.await("the request to run", func() bool { return s.server.TotalRuns() > 0 })
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	s.await("the shutdown to begin", func() bool { return slices.Contains(e.status().NotReady, "shutting down") })
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	err := <-e.exited
	assert.ErrorContains(t, err, "exit status 1")
	assert.Equal(t, e.failure, failurePrefix+errStoppedAtOnce.Error())
	assert.Equal(t, <-responses, response{}, "the request was not in progress")
}

func TestWrongInputExitsWithAClearError(t *testing.T) {
	s := newSite(t)
	good := s.writeSettings("pa-0", "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	usedPort := s.writeSettings("pa-1", fmt.Sprintf(`, "caller": {"listen": %q}`, listener.Addr()))
	// Remove the default "caller", since a field must not occur twice.
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
			[]string{"2:21: instance.id: got a number, want a string", "3:2: platfrom: unknown field", "4:19: log.level"}},
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
