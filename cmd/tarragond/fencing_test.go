package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/platform"
)

const (
	poolSize       = 4
	maxUnavailable = 1
	auditInterval  = 5 * time.Millisecond
	auditLimit     = 1000 // maximum number of entries of a listing
)

const poolDocument = `{
  "services": [{"name": "terreni", "slots": 8, "connections": 64}],
  "classes": [{"name": "check", "priority": 1, "timeout": "5s", "repeatable": true}],
  "pools": [{"name": "counter", "selector": "service=terreni", "min": 4, "budget": {"maxUnavailable": 1}}]
}`

// auditor reads the fleet record every auditInterval and collects violations of its
// invariants.
type auditor struct {
	store      platform.Store
	stop       context.CancelFunc
	done       sync.WaitGroup
	epochs     map[string]int64 // by page
	violations []string
	listings   int
}

func startAudit(t *testing.T, store platform.Store) *auditor {
	ctx, cancel := context.WithCancel(t.Context())
	a := &auditor{store: store, stop: cancel, epochs: map[string]int64{}}
	a.done.Go(func() {
		for ctx.Err() == nil {
			a.check(ctx)
			time.Sleep(auditInterval)
		}
	})
	return a
}

// finish stops the audit and fails the test if there was a violation or no listing was
// read.
func (a *auditor) finish(t *testing.T) {
	t.Helper()
	a.stop()
	a.done.Wait()
	assert.Assert(t, a.listings > 0)
	assert.Equal(t, len(a.violations), 0, "%s", strings.Join(a.violations, "\n"))
}

func (a *auditor) report(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// check checks one listing, which is a consistent snapshot of the store: no instance
// is recorded twice, and at most maxUnavailable instances of the pool are out of
// service.
func (a *auditor) check(ctx context.Context) {
	listing, err := a.store.List(ctx, fleet.PagePrefix, "", auditLimit)
	if err != nil {
		return
	}
	a.listings++
	pageOf := map[fleet.InstanceID]string{}
	outOfService := 0
	for _, entry := range listing.Entries {
		page := a.decodePage(entry)
		for _, record := range page.Records {
			if other, recorded := pageOf[record.ID]; recorded {
				a.report("%s is recorded in %s and %s", record.ID, other, entry.Key)
			}
			pageOf[record.ID] = entry.Key
			if record.Pool != "" && record.State != fleet.StateServing {
				outOfService++
			}
		}
	}
	if outOfService > maxUnavailable {
		a.report("%d instances of the pool are out of service", outOfService)
	}
}

// decodePage decodes a page and checks that its epoch never decreases.
func (a *auditor) decodePage(entry platform.Entry) fleet.Page {
	var page fleet.Page
	if err := json.Unmarshal(entry.Value, &page); err != nil {
		a.report("%s: %v", entry.Key, err)
	}
	if page.Epoch < a.epochs[entry.Key] {
		a.report("%s: epoch decreased from %d to %d", entry.Key, a.epochs[entry.Key], page.Epoch)
	}
	a.epochs[entry.Key] = max(a.epochs[entry.Key], page.Epoch)
	return page
}

// newPoolSite starts two entry instances with a pool of poolSize instances and waits
// until all of them are serving.
func newPoolSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	var executors []fleet.Instance
	for i := range poolSize {
		executors = append(executors, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("terreni-%d", i)), Kind: fleet.KindBackendServer, Zone: "palermo",
			Rack: fmt.Sprintf("r%d", i), Address: s.server.Address(), Labels: label.Set{fleet.LabelService: "terreni"},
		})
	}
	s.platform.SetInstances(executors)
	s.start("pa-0")
	s.start("pa-1")
	s.apply(s.entries[0], poolDocument)
	s.await("both to be ready", func() bool { return s.allReady(1, 1) })
	s.await("the pool to serve", func() bool { return s.countInState(s.entries[0], fleet.StateServing) == poolSize })
	return s
}

// isOutOfService reports whether an entry instance lists an instance of the pool as not
// serving.
func (s *site) isOutOfService(e *entry, i int) bool {
	instances, _ := getJSON[[]operations.InstanceStatus](e, operations.PathInstances)
	for _, instance := range instances {
		if string(instance.ID) == fmt.Sprintf("terreni-%d", i) {
			return instance.State != fleet.StateServing
		}
	}
	return false
}

// countInState counts the instances that an entry instance lists in a state.
func (s *site) countInState(e *entry, state fleet.State) int {
	instances, _ := getJSON[[]operations.InstanceStatus](e, operations.PathInstances)
	n := 0
	for _, instance := range instances {
		if instance.State == state {
			n++
		}
	}
	return n
}

// epoch returns the epoch under which an entry instance holds the fleet duty, 0 if it
// doesn't hold it.
func (e *entry) epoch() int64 {
	for _, held := range e.status().Duties {
		if held.Name == "fleet" {
			return held.Epoch
		}
	}
	return 0
}

// drain requests the drain of an instance of the pool.
func (s *site) drain(e *entry, i int) {
	s.t.Helper()
	s.changeInstance(e, i, "drain")
}

// undrain revokes the drain of an instance of the pool.
func (s *site) undrain(e *entry, i int) {
	s.t.Helper()
	s.changeInstance(e, i, "undrain")
}

func (s *site) changeInstance(e *entry, i int, operation string) {
	s.t.Helper()
	code, body := e.post(fmt.Sprintf("%s/terreni-%d/%s", operations.PathInstances, i, operation), `{"reason": "repair"}`)
	assert.Equal(s.t, code, http.StatusOK, body)
}

// startsDraining reports whether a write stores a page with a draining instance.
func startsDraining(w storeWrite) bool {
	var page fleet.Page
	if !strings.HasPrefix(w.Key, fleet.PagePrefix) || json.Unmarshal(w.Value, &page) != nil {
		return false
	}
	for _, record := range page.Records {
		if record.State == fleet.StateDraining {
			return true
		}
	}
	return false
}

// TestFrozenHolderOfTheDutyIsFenced freezes the holder of a zone's fleet duty while one
// of its writes is in flight. The write arrives after the successor has taken the duty
// over, and must not take effect.
func TestFrozenHolderOfTheDutyIsFenced(t *testing.T) {
	t.Parallel()
	s := newPoolSite(t)
	audit := startAudit(t, s.platform)
	oldHolder, successor := s.entries[0], s.entries[1]
	if successor.epoch() > 0 {
		oldHolder, successor = successor, oldHolder
	}
	oldEpoch := oldHolder.epoch()
	assert.Assert(t, oldEpoch > 0, "nobody holds the duty")

	delayed := s.gate.arm(startsDraining)
	s.drain(oldHolder, 0)
	<-delayed.arrived
	s.signal(oldHolder, syscall.SIGSTOP)
	s.await("the successor to take the duty over", func() bool { return successor.epoch() > oldEpoch })
	s.drain(successor, 1)
	s.await("the successor to drain the first instance", func() bool { return s.isOutOfService(successor, 0) })
	close(delayed.release)
	assert.Assert(t, <-delayed.code >= http.StatusBadRequest, "the late write of the old holder took effect")
	s.signal(oldHolder, syscall.SIGCONT)

	s.await("the old holder to see the drain and give the duty up", func() bool {
		return oldHolder.epoch() == 0 && s.isOutOfService(oldHolder, 0)
	})
	s.checkExplained(successor, oldHolder.id)
	s.undrain(oldHolder, 0)
	s.await("the second instance to be drained", func() bool { return s.isOutOfService(successor, 1) })
	s.undrain(oldHolder, 1)
	s.await("the pool to serve again", func() bool { return s.countInState(successor, fleet.StateServing) == poolSize })
	assert.Assert(t, successor.epoch() > oldEpoch)
	audit.finish(t)
}

// signal sends a signal to a process. If the process has already ended, it fails the
// test and reports the exit error.
func (s *site) signal(e *entry, signal syscall.Signal) {
	s.t.Helper()
	if err := e.command.Process.Signal(signal); err != nil {
		s.t.Fatalf("signal %v to %s: %v; the process ended: %v", signal, e.id, err, <-e.exited)
	}
}

// checkExplained checks that the explanations of the first instance hold a drain and
// that the old holder decided none.
func (s *site) checkExplained(successor *entry, oldHolder string) {
	s.t.Helper()
	explanations, ok := getJSON[[]operations.Explanation](successor, operations.PathExplain+"/instance/terreni-0")
	assert.Assert(s.t, ok)
	drains := 0
	for _, e := range explanations {
		if !strings.Contains(e.Decision, "drain") {
			continue
		}
		assert.Assert(s.t, e.Instance != oldHolder, "%+v", e)
		drains++
	}
	assert.Assert(s.t, drains > 0, "%+v", explanations)
}
