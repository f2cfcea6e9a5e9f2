package fleetduty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/shard"
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
	term := election.Term{Duty: layout.FleetDuty, Revision: s.standIn.Put(layout.OwnerKey(layout.FleetDuty), []byte("{}"))}
	return &Holder{
		Options: Options{Store: s, Machines: newFakeMachines(), Logger: slog.New(slog.DiscardHandler), HolderGap: time.Second},
		term:    term, planner: fleetplan.New(fleetplan.Limits{}),
		recent: recentCommands{sentAt: map[cluster.MachineID]time.Time{}, retention: time.Minute},
		events: make(chan event, 64), ctx: context.Background(), waveWrites: newWaveWrites(),
		stepDown: func() {}, leaseValid: func() bool { return true },
		waves: map[int64]cluster.Wave{}, loads: map[cluster.Service]shard.Load{},
		skippedWaves:  follow.NewSkipped(slog.New(slog.DiscardHandler), "waves"),
		skippedLoads:  follow.NewSkipped(slog.New(slog.DiscardHandler), "loads"),
		machineFaults: follow.NewSkipped(slog.New(slog.DiscardHandler), "machines"),
	}
}

// age makes the last command to a machine and the last write of the list older.
func (h *Holder) age(id cluster.MachineID, by time.Duration) {
	h.recent.sentAt[id] = h.recent.sentAt[id].Add(-by)
	h.recent.storedAt = h.recent.storedAt.Add(-by)
}

// finishWrites handles events until no write is in progress.
func (h *Holder) finishWrites() {
	for h.announcing || h.writingCordons || h.waveWrites.writing {
		(<-h.events)()
	}
}

// announce announces commands and waits until the first of them was sent.
func (h *Holder) announce(t *testing.T, actions []fleetplan.Action) {
	t.Helper()
	h.queueCommands(actions)
	h.announceQueued(t.Context())
	h.finishWrites()
	assert.Equal(t, <-h.Machines.(*fakeMachines).moves, actions[0].Machine)
}

// fakeMachines is a machine service that accepts all commands. moves holds the machines of the
// moves in the order of the calls.
type fakeMachines struct {
	moves chan cluster.MachineID
	list  cluster.MachineList
}

func newFakeMachines() *fakeMachines { return &fakeMachines{moves: make(chan cluster.MachineID, 16)} }

func (f *fakeMachines) List(context.Context) (cluster.MachineList, error) { return f.list, nil }

func (f *fakeMachines) Move(_ context.Context, _ machines.Holder, m cluster.MachineID, _ cluster.Service) (machines.Refusal, error) {
	f.moves <- m
	return machines.NotRefused, nil
}

func (f *fakeMachines) Maintain(context.Context, machines.Holder, cluster.MachineID, int64) (machines.Refusal, error) {
	return machines.NotRefused, nil
}

func moveAction(id cluster.MachineID) []fleetplan.Action {
	return []fleetplan.Action{{Kind: fleetplan.Move, Machine: id}}
}

func TestAnnouncedCommandsAreListedUntilExpired(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.announce(t, moveAction("m-1"))
	h.refreshRecentCommands(t.Context())
	h.finishWrites() // not due
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1"})
	h.age("m-1", 2*time.Minute)
	h.refreshRecentCommands(t.Context())
	h.finishWrites()
	assert.Equal(t, len(s.listedMachines(t)), 0)
}

func TestLostResponseOfAnAnnouncementIsResolved(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	s.standIn.LoseResponses(1)
	h.announce(t, moveAction("m-1"))
	h.announce(t, moveAction("m-2"))
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1", "m-2"})
}

// A write without a response that takes effect late must not remove a later command from
// the list.
func TestLateWriteDoesNotRevertALaterAnnouncement(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.announce(t, moveAction("m-1"))
	h.age("m-1", 2*time.Minute)
	s.delayWrites = true
	h.refreshRecentCommands(t.Context())
	h.finishWrites()
	s.delayWrites = false
	h.announce(t, moveAction("m-2"))
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
	s.standIn.Put(layout.OwnerKey(layout.FleetDuty), []byte("{}"))
	h.queueCommands(moveAction("m-1"))
	h.announceQueued(t.Context())
	h.finishWrites()
	assert.Assert(t, steppedDown)
	assert.Equal(t, len(h.Machines.(*fakeMachines).moves), 0)
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
	h.announce(t, moveAction("m-1"))
	h.age("m-1", 800*time.Millisecond)
	h.announce(t, moveAction("m-2"))
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
	h.finishWrites()
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
	h.finishWrites()
	assert.Equal(t, len(h.cordons), 0)
}

// Two takeovers follow each other quickly: the commands of the first holder are still listed
// for the third one.
func TestCommandsStayListedAcrossTwoTakeovers(t *testing.T) {
	s := newTestStore(t)
	first := newTestHolder(s)
	first.announce(t, moveAction("m-1"))
	second := *first
	second.recent = recentCommands{sentAt: map[cluster.MachineID]time.Time{}, retention: time.Minute}
	assert.NilError(t, second.loadRecentCommands(t.Context()))
	second.announce(t, moveAction("m-2"))
	assert.DeepEqual(t, s.listedMachines(t), []cluster.MachineID{"m-1", "m-2"})
}

// blockedStore holds writes back until release is closed.
type blockedStore struct {
	*testStore
	release chan struct{}
	writes  atomic.Int64
}

func (s *blockedStore) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	s.writes.Add(1)
	<-s.release
	return s.testStore.Txn(ctx, t)
}

// The store takes long for each write: the holder goes on to read loads and lists and to plan,
// one write of each kind is in progress at a time, and what was planned meanwhile follows.
func TestPlanningGoesOnWhileWritesAreInProgress(t *testing.T) {
	inner := newTestStore(t)
	s := &blockedStore{testStore: inner, release: make(chan struct{})}
	h := newTestHolder(inner)
	h.Store = s
	h.loads = map[cluster.Service]shard.Load{}
	h.cordons = map[cluster.ExecutorID]fleetplan.ActiveCordon{}
	h.planner.RestoreWave(1, nil, cluster.WaveRunning, time.Unix(1000, 0))
	for i, machine := range []cluster.MachineID{"m-1", "m-2"} {
		executor := cluster.ExecutorID(fmt.Sprint("i-", i))
		h.setCordons(t.Context(), []fleetplan.Action{{Kind: fleetplan.Cordon, Executor: executor, Service: "a"}})
		h.queueCommands(moveAction(machine))
		h.announceQueued(t.Context())
		h.reportWaves(t.Context(), []fleetplan.Action{{Kind: fleetplan.Report, Wave: 1, State: cluster.WaveRunning}})
	}
	load, err := layout.Encode(shard.Load{InTimeCPU: 1})
	assert.NilError(t, err)
	h.send(func() {
		h.applyLoads(follow.Change{Events: []kv.Event{{Item: kv.Item{Key: layout.LoadKey("a"), Value: load}}}})
	})
	h.drain()
	assert.Equal(t, h.loads["a"].InTimeCPU, int64(1))
	assert.Equal(t, len(h.cordons), 1)
	assert.Equal(t, len(h.queued), 1)
	close(s.release)
	h.finishWrites()
	assert.Equal(t, s.writes.Load(), int64(3))
	h.announceQueued(t.Context())
	h.finishWrites()
	assert.DeepEqual(t, inner.listedMachines(t), []cluster.MachineID{"m-1", "m-2"})
}

// 118 maintenances are accepted at about the same time: their progress is stored in few writes.
func TestProgressOfAWaveIsStoredTogether(t *testing.T) {
	inner := newTestStore(t)
	s := &blockedStore{testStore: inner, release: make(chan struct{})}
	close(s.release)
	h := newTestHolder(inner)
	h.Store = s
	h.planner.RestoreWave(1, nil, cluster.WaveRunning, time.Unix(1000, 0))
	const accepted = 118
	for i := range accepted {
		a := fleetplan.Action{Kind: fleetplan.Maintain, Machine: cluster.MachineID(fmt.Sprint("m-", i)), Wave: 1}
		go h.callMachineService(t.Context(), a)
	}
	for range accepted {
		(<-h.events)()
	}
	h.storeWaves(t.Context())
	h.finishWrites()
	assert.Equal(t, s.writes.Load(), int64(1))
	progress, _, err := read[layout.WaveProgress](t.Context(), inner, layout.WaveKey(1))
	assert.NilError(t, err)
	assert.Equal(t, len(progress.MaintenanceStarted), accepted)
}

// The instance is suspended after a command was announced: its term is over when it goes on,
// and a successor may have revoked the machine's cordon. The command must not be sent.
func TestCommandIsNotSentAfterASuspension(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.leaseValid = func() bool { return false }
	h.callMachineService(t.Context(), moveAction("m-1")[0])
	assert.Equal(t, len(h.Machines.(*fakeMachines).moves), 0)
}

// Unreadable stored entries must not keep every instance from taking the duty over.
func TestUnreadableEntriesDoNotStopTheDuty(t *testing.T) {
	s := newTestStore(t)
	for _, key := range []string{layout.WaveKey(1), layout.RecentCommandsKey, layout.DemandHistoryKey, layout.CordonKey("a", "i-1")} {
		s.standIn.Put(key, []byte("{not JSON"))
	}
	progress, err := layout.Encode(layout.WaveProgress{MaintenanceStarted: []cluster.MachineID{"m-1"}, Reported: cluster.WaveRunning})
	assert.NilError(t, err)
	s.standIn.Put(layout.WaveKey(2), progress)
	h := newTestHolder(s)
	h.Config = func() *cluster.Config { return &cluster.Config{Pools: []cluster.Pool{{Service: "a"}}} }
	assert.NilError(t, h.load(t.Context()))
	assert.DeepEqual(t, h.planner.WaveMachinesStarted(2), []cluster.MachineID{"m-1"})
	_, cordoned := h.cordons["i-1"]
	assert.Assert(t, cordoned, "a cordon that is not readable holds all the same")
	h.announce(t, moveAction("m-2"))
}

// LOST: the planner took the records of a service whose name ends in "/cordon" for cordons of another service, and removed
// them: accepted jobs were gone.
func TestRecordsOfAnotherServiceAreNoCordons(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.Config = func() *cluster.Config {
		return &cluster.Config{Pools: []cluster.Pool{{Service: "a"}, {Service: "a/cordon"}}}
	}
	s.standIn.Put(layout.RecordKey("a/cordon", "0123456789abcdef"), []byte("{}"))
	s.standIn.Put(layout.CordonKey("a", "e/1"), []byte("{}"))
	cordons, err := h.loadCordons(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, slices.Collect(maps.Keys(cordons)), []cluster.ExecutorID{"e/1"})
}
