package fleetduty

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

var errNoResponse = errors.New("no response")

// testStore is a client of the stand-in of the platform's store. With delayWrites it keeps
// writes in delayed instead and returns no response.
type testStore struct {
	*kv.Client
	standIn     *standin.Store
	delayWrites bool
	delayed     []kv.Txn
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	return &testStore{Client: kv.New(strings.TrimPrefix(server.URL, "http://")), standIn: standIn}
}

func (s *testStore) Timeout(int) time.Duration { return 300 * time.Millisecond }

func (s *testStore) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	if s.delayWrites {
		s.delayed = append(s.delayed, t)
		return kv.TxnResult{}, errNoResponse
	}
	return s.Client.Txn(ctx, t)
}

func (s *testStore) listedMachines(t *testing.T) []cluster.MachineID {
	t.Helper()
	return slices.Sorted(maps.Keys(s.recentCommands(t).AgesMs))
}

func (s *testStore) recentCommands(t *testing.T) layout.RecentCommands {
	t.Helper()
	commands, _, err := read[layout.RecentCommands](t.Context(), s, layout.RecentCommandsKey)
	assert.NilError(t, err)
	return commands
}

func newTestHolder(s *testStore) *Holder {
	term := election.Term{Duty: Duty, Revision: s.standIn.Put(layout.OwnerKey(Duty), []byte("{}"))}
	return &Holder{
		Options: Options{Store: s, Logger: slog.New(slog.DiscardHandler), HolderGap: time.Second},
		term:    term, planner: fleetplan.New(fleetplan.Limits{}),
		recent:   recentCommands{sentAt: map[cluster.MachineID]time.Time{}, retention: time.Minute},
		stepDown: func() {},
	}
}

// age makes the last command to a machine and the last write of the list older.
func (h *Holder) age(id cluster.MachineID, by time.Duration) {
	h.recent.sentAt[id] = h.recent.sentAt[id].Add(-by)
	h.recent.storedAt = h.recent.storedAt.Add(-by)
}

func moveAction(id cluster.MachineID) []fleetplan.Action {
	return []fleetplan.Action{{Kind: fleetplan.Move, Machine: id}}
}

func TestAnnouncedCommandsAreListedUntilExpired(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-1")))
	h.refreshRecentCommands(t.Context()) // not due
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1"})
	h.age("m-1", 2*time.Minute)
	h.refreshRecentCommands(t.Context())
	assert.Equal(t, len(s.listedMachines(t)), 0)
}

func TestLostResponseOfAnAnnouncementIsResolved(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	s.standIn.LoseResponses(1)
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-1")))
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-2")))
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1", "m-2"})
}

// A write without a response that takes effect late must not remove a later command from
// the list.
func TestLateWriteDoesNotRevertALaterAnnouncement(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-1")))
	h.age("m-1", 2*time.Minute)
	s.delayWrites = true
	h.refreshRecentCommands(t.Context())
	s.delayWrites = false
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-2")))
	for _, late := range s.delayed {
		result, err := s.Txn(t.Context(), late)
		assert.NilError(t, err)
		assert.Assert(t, !result.Applied)
	}
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-2"})
}

func TestNoCommandIsAnnouncedOnceTheTermIsOver(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	steppedDown := false
	h.stepDown = func() { steppedDown = true }
	s.standIn.Put(layout.OwnerKey(Duty), []byte("{}"))
	assert.Assert(t, !h.announceCommands(t.Context(), moveAction("m-1")))
	assert.Assert(t, steppedDown)
}

func TestSuccessorLoadsTheDemandHistory(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	assert.NilError(t, h.loadDemandHistory(t.Context())) // none yet
	history := fleetplan.DemandHistory{
		PeakStarts: []fleetplan.PeakStart{{Service: "a", At: time.Unix(1000, 0).UTC()}},
		Services:   map[cluster.Service]fleetplan.DemandProfile{"a": {MeanRate: 2000, LastPeakRate: 9000}},
	}
	h.planner.RestoreDemandHistory(history)
	value, err := layout.Encode(h.planner.DemandHistory())
	assert.NilError(t, err)
	s.standIn.Put(layout.DemandHistoryKey, value)
	next := &Holder{Options: h.Options, planner: fleetplan.New(fleetplan.Limits{})}
	assert.NilError(t, next.loadDemandHistory(t.Context()))
	assert.DeepEqual(t, next.planner.DemandHistory(), history)
}

// The list holds the age of each command, so that a successor waits no longer than needed.
func TestStoredListHoldsTheAgesOfCommands(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-1")))
	h.age("m-1", 800*time.Millisecond)
	assert.Assert(t, h.announceCommands(t.Context(), moveAction("m-2")))
	commands := s.recentCommands(t)
	assert.Assert(t, commands.AgesMs["m-1"] >= 800)
	assert.Assert(t, commands.AgesMs["m-2"] < 800)
}

// The holder revokes a cordon while the stored cordons are being read: the result is out of
// date.
func TestCordonsReadDuringAWriteAreReadAgain(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.cordons = map[cluster.ExecutorID]fleetplan.ActiveCordon{"i-1": {Service: "a"}}
	stored := map[cluster.ExecutorID]fleetplan.ActiveCordon{"i-1": {Service: "a"}}
	writes := h.cordonWrites
	h.setCordons(t.Context(), []fleetplan.Action{{Kind: fleetplan.Uncordon, Executor: "i-1", Service: "a"}})
	h.addCordons(stored, writes)
	assert.Equal(t, len(h.cordons), 0)
	assert.Assert(t, h.cordonsReadAt.IsZero())
	h.addCordons(stored, h.cordonWrites) // a revocation without effect is found by a later read
	assert.Equal(t, len(h.cordons), 1)
}

// A revocation of a cordon gets no response: the cordon must not count as in force.
func TestCordonWithUnconfirmedRemovalIsNotInForce(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	s.delayWrites = true
	h.cordons = map[cluster.ExecutorID]fleetplan.ActiveCordon{"i-1": {Service: "a"}}
	h.setCordons(t.Context(), []fleetplan.Action{{Kind: fleetplan.Uncordon, Executor: "i-1", Service: "a"}})
	assert.Equal(t, len(h.cordons), 0)
}

// Two takeovers follow each other quickly: the commands of the first holder are still listed
// for the third one.
func TestCommandsStayListedAcrossTwoTakeovers(t *testing.T) {
	s := newTestStore(t)
	first := newTestHolder(s)
	assert.Assert(t, first.announceCommands(t.Context(), moveAction("m-1")))
	second := *first
	second.recent = recentCommands{sentAt: map[cluster.MachineID]time.Time{}, retention: time.Minute}
	assert.NilError(t, second.loadRecentCommands(t.Context()))
	assert.Assert(t, second.announceCommands(t.Context(), moveAction("m-2")))
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1", "m-2"})
}
