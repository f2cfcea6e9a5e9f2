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

// site is a stand-in platform with a backend server and `tarragond run` processes.
type site struct {
	t               *testing.T
	dir             string
	platform        *memory.Platform
	gate            *writeGate
	platformAddress string
	server          *standin.Server
	authority       *keys.Authority
	entries         []*entry
}

// entry is one `tarragond run` process with its listener addresses.
type entry struct {
	id       string
	command  *exec.Cmd
	callers  string
	operator string
	mesh     string
	exited   chan error
	failure  string // the error that the process printed; set before exited receives
}

// failurePrefix begins the line of the error with which a process ends.
const failurePrefix = "tarragond: "

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
	platformServer := &http.Server{Handler: s.gate}
	go platformServer.Serve(listener)
	t.Cleanup(func() { platformServer.Close() })
	s.platformAddress = listener.Addr().String()
	return s
}

// writeSettings writes the settings file of an entry instance in Palermo.
func (s *site) writeSettings(id string, more string) string {
	return s.writeSettingsIn("palermo", id, more)
}

// writeSettingsIn writes the settings file of an entry instance and returns its path.
// more is appended to the fields of the file.
func (s *site) writeSettingsIn(zone, id, more string) string {
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
}`, id, zone, strings.Join(seeds, ","), files.Certificate, files.Key, files.Authority, s.platformAddress, more)
	path := filepath.Join(s.dir, id+".json")
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func tarragond(args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), envRunMain+"=1")
	return command
}

// start starts a tarragond process in Palermo and waits until it is serving.
func (s *site) start(id string) *entry {
	s.t.Helper()
	return s.startIn("palermo", id)
}

// startIn starts a tarragond process and waits until it is serving.
func (s *site) startIn(zone, id string) *entry {
	s.t.Helper()
	e := &entry{id: id, command: tarragond("run", "--config", s.writeSettingsIn(zone, id, "")), exited: make(chan error, 1)}
	logs, err := e.command.StderrPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, e.command.Start())
	s.t.Cleanup(func() { e.command.Process.Kill() })
	serving := make(chan struct{})
	go e.readLogs(logs, serving)
	select {
	case <-serving:
	case err := <-e.exited:
		s.t.Fatalf("%s ended before it was serving: %v", id, err)
	case <-time.After(waitTimeout):
		s.t.Fatalf("%s did not start serving in time", id)
	}
	s.entries = append(s.entries, e)
	return e
}

// readLogs reads the listener addresses from the "serving" line and then closes
// serving, and it reads the error with which the process ends. At the end of the log it
// waits for the process.
func (e *entry) readLogs(logs io.Reader, serving chan<- struct{}) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		var line struct{ Msg, Callers, Operators, Mesh string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			e.callers, e.operator, e.mesh = line.Callers, line.Operators, line.Mesh
			close(serving)
		}
		if strings.HasPrefix(lines.Text(), failurePrefix) {
			e.failure = lines.Text()
		}
	}
	e.exited <- e.command.Wait()
}

func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for %s", what)
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

func (e *entry) get(path string) (int, string) {
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

// allReady reports whether all processes are ready, are at the given revision, reach
// the given number of peers and have at least one executor.
func (s *site) allReady(revision, reachable int) bool {
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
