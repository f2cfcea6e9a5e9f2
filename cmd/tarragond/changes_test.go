package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// classDocument returns a change that sets the timeout of class check, based on a
// revision; revision 0 stands for the newest.
func classDocument(revision, seconds int) string {
	return fmt.Sprintf(`{"revision": %d, "classes": [
  {"name": "check", "priority": 1, "timeout": "%ds", "repeatable": true}]}`, revision, seconds)
}

// timeoutSecondsOf returns the timeout of class check that is in force on an entry
// instance, in seconds; 0 if there is none.
func timeoutSecondsOf(e *entry) int {
	document, _ := getJSON[operations.ConfigDocument](e, operations.PathConfig)
	for _, class := range document.Classes {
		if class.Name == "check" {
			return int(class.Timeout / 1e9)
		}
	}
	return 0
}

// TestOneOfTwoConflictingChangesIsAccepted sends two changes based on the same
// revision to two entry instances at the same time. Exactly one must be accepted, and
// the other must be refused with a conflict.
func TestOneOfTwoConflictingChangesIsAccepted(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 2)
	for revision := 1; revision <= 6; revision++ {
		var codes [2]int
		var applying sync.WaitGroup
		for i, e := range s.entries {
			applying.Go(func() {
				codes[i], _ = e.post(operations.PathConfigChanges, classDocument(revision, 10*revision+i))
			})
		}
		applying.Wait()
		acceptedBy := 0
		if codes[1] == http.StatusOK {
			acceptedBy = 1
		}
		assert.Equal(t, codes[acceptedBy], http.StatusOK, "%v", codes)
		assert.Equal(t, codes[1-acceptedBy], http.StatusConflict, "%v", codes)
		s.await("the accepted change to be in force on both", func() bool { return s.allReady(revision+1, 1) })
		for _, e := range s.entries {
			assert.Equal(t, timeoutSecondsOf(e), 10*revision+acceptedBy)
			code, body := e.post(operations.PathConfigChanges, classDocument(revision, 10*revision+9))
			assert.Equal(t, code, http.StatusConflict, "a change based on revision %d: %s", revision, body)
		}
	}
}

// TestLostResponsesNeverApplyAChangeTwice applies changes while the store loses half of
// the responses to writes that took effect. A retry of such a write must not accept the
// change a second time.
func TestLostResponsesNeverApplyAChangeTwice(t *testing.T) {
	t.Parallel()
	const changes = 12
	s := newServingSite(t, 2)
	s.platform.SetFaults(memory.Faults{LostResponsePercent: 50})
	codes := map[string]int{}
	for i := range changes {
		author := fmt.Sprintf("operator-%d", i)
		codes[author], _ = s.entries[i%2].post(operations.PathConfigChanges+"?author="+author, classDocument(0, 10+i))
	}
	s.platform.SetFaults(memory.Faults{})
	var history []operations.HistoryEntry
	s.await("both to have the same history", func() bool {
		first, firstOK := getJSON[[]operations.HistoryEntry](s.entries[0], operations.PathConfigHistory)
		second, secondOK := getJSON[[]operations.HistoryEntry](s.entries[1], operations.PathConfigHistory)
		history = first
		return firstOK && secondOK && len(first) > 0 && len(first) == len(second) && first[0].Revision == second[0].Revision
	})
	occurrences := map[string]int{}
	for i, change := range history {
		occurrences[change.Author]++
		assert.Equal(t, int(change.Revision), len(history)-i)
	}
	accepted := 0
	for author, code := range codes {
		if code == http.StatusOK {
			accepted++
			assert.Equal(t, occurrences[author], 1, "%s got status 200 for its change", author)
		}
		assert.Assert(t, occurrences[author] <= 1, "%s: %d", author, occurrences[author])
	}
	assert.Assert(t, accepted > 0, "%v", codes)
}

// TestZoneCutOffFromThePlatformServesAndReceivesChanges cuts one of two availability
// zones off from the platform. It must serve requests, receive changes over the mesh
// and refuse changes of its own.
func TestZoneCutOffFromThePlatformServesAndReceivesChanges(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	var executors []fleet.Instance
	for _, zone := range []fleet.AvailabilityZone{"palermo", "catania"} {
		executors = append(executors, fleet.Instance{
			ID: fleet.InstanceID("terreni-" + zone), Kind: fleet.KindBackendServer, Zone: zone, Rack: "r0",
			Address: s.server.Address(), Labels: label.Set{fleet.LabelService: "terreni"},
		})
	}
	s.platform.SetInstances(executors)
	connected, cutOff := s.start("pa-0"), s.startIn("catania", "ct-0")
	s.apply(connected, firstDocument)
	s.await("both to be ready", func() bool { return s.allReady(1, 1) })

	s.platform.From("catania").SetFaults(memory.Faults{Down: true})
	s.await("the store to be reported unreachable in the zone that is cut off", func() bool { return !cutOff.status().StoreReachable })
	s.apply(connected, classDocument(1, 42))
	s.await("the change to reach the zone that is cut off", func() bool { return s.allReady(2, 1) })
	assert.Equal(t, timeoutSecondsOf(cutOff), 42)
	assert.Assert(t, !cutOff.status().StoreReachable)
	for _, e := range s.entries {
		code, body := e.get("/s/terreni/hello")
		assert.Equal(t, code, http.StatusOK, body)
	}
	code, body := cutOff.post(operations.PathConfigChanges, classDocument(2, 43))
	assert.Equal(t, code, http.StatusServiceUnavailable, body)
	assert.Assert(t, strings.Contains(body, "not-run"), body)
	assert.Equal(t, timeoutSecondsOf(cutOff), 42)
}
