package submission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
	standin "github.com/tarragonreach/tarragonreach/platform/memory"
)

// step is one step of a plan: a copy of a submission, or a change of the faults.
type step struct {
	Pause     int // milliseconds before the step
	Action    int
	Keeper    int
	Key       int
	Execution int           // how an executor ends the copy
	Duration  int           // milliseconds that the executor takes
	Latency   time.Duration // of the store, or between keepers
	Percent   int           // of lost answers
}

// The actions of a step. A copy is the most likely one.
const (
	actionCopy = iota
	actionStore
	actionStoreDown
	actionNetwork
	actionCut
	actionReplace
	actions
)

const (
	planKeepers = 3
	planKeys    = 4 // the first two are tickets
)

func drawStep(t *rapid.T) step {
	s := step{
		Pause:     rapid.IntRange(0, 1500).Draw(t, "pause"),
		Action:    rapid.IntRange(0, 2*actions-1).Draw(t, "action"),
		Keeper:    rapid.IntRange(0, planKeepers-1).Draw(t, "keeper"),
		Key:       rapid.IntRange(0, planKeys-1).Draw(t, "key"),
		Execution: rapid.IntRange(0, executions-1).Draw(t, "execution"),
		Duration:  rapid.IntRange(0, 3000).Draw(t, "duration"),
		Latency:   time.Duration(rapid.SampledFrom([]int{0, 10, 600, 1500}).Draw(t, "latency")) * time.Millisecond,
		Percent:   rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "percent"),
	}
	if s.Action >= actions {
		s.Action = actionCopy
	}
	return s
}

func TestInterleavingsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		plan := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "plan")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = newWorld(seed).play(plan) })
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}

// world is a few keepers on one platform, and an executor that counts runs.
type world struct {
	platform *standin.Platform
	network  *network
	keepers  [planKeepers]*Keeper
	all      []*Keeper
	keys     [planKeys]Key
	copies   sync.WaitGroup

	attempts map[Key]int

	mu     sync.Mutex
	runs   map[Key]int
	faults []string
}

func newWorld(seed uint64) *world {
	w := &world{
		platform: standin.New(time.Now),
		network:  newNetwork(seed),
		runs:     map[Key]int{},
		attempts: map[Key]int{},
	}
	for i := range w.keepers {
		w.replace(i)
	}
	for i := range w.keys {
		w.keys[i] = Key{Tenant: "magnolia", Value: fmt.Sprintf("order-%d", i)}
	}
	for i := range planKeys / 2 {
		w.keys[i].Value = w.keepers[i].NextTicket("magnolia")
	}
	return w
}

// replace puts a new entry instance in the place of one, which then is unreachable
// but finishes what it has in progress, as one that was only paused would.
func (w *world) replace(i int) {
	if old := w.keepers[i]; old != nil {
		w.network.remove(old.mint.self)
	}
	id := fleet.InstanceID(fmt.Sprintf("entry-%d", len(w.all)))
	peers := endpoint{w.network, id}
	k, err := New(Options{Self: id, Store: platform.Store(w.platform), Peers: peers, CallsPerSecond: 50, CallBurst: 20})
	if err != nil {
		panic(err)
	}
	k.Register(peers)
	w.keepers[i] = k
	w.all = append(w.all, k)
}

func (w *world) play(plan []step) []string {
	for _, s := range plan {
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		w.do(s)
	}
	w.copies.Wait()
	for _, k := range w.all {
		k.Close(context.Background())
	}
	return w.faults
}

func (w *world) do(s step) {
	switch s.Action {
	case actionCopy:
		key, keeper := w.keys[s.Key], w.keepers[s.Keeper]
		w.attempts[key]++
		attempt := w.attempts[key]
		w.copies.Go(func() { w.send(s, keeper, key, attempt) })
	case actionStore:
		w.platform.SetFaults(standin.Faults{Latency: s.Latency, LostAnswerPercent: s.Percent})
	case actionStoreDown:
		w.platform.SetFaults(standin.Faults{Down: s.Percent > 0})
	case actionNetwork:
		w.network.setFaults(s.Latency, s.Percent)
	case actionCut:
		w.network.setCut(w.keepers[s.Keeper].mint.self, s.Percent > 0)
	case actionReplace:
		w.replace(s.Keeper)
	}
}

// send sends one more copy of a submission, counted as a careful caller counts.
func (w *world) send(s step, keeper *Keeper, key Key, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	pass, err := keeper.Begin(ctx, key, attempt)
	if err != nil {
		w.check(key, attempt, verdict.Of(err), err)
		return
	}
	outcome := w.execute(key, s)
	w.check(key, attempt, outcome.Verdict, nil)
	pass.Finish(outcome)
}

// The ways in which an executor ends a copy.
const (
	executionRan = iota
	executionLostAfterRun
	executionLostBeforeRun
	executionRefused
	executions
)

func (w *world) execute(key Key, s step) Outcome {
	time.Sleep(time.Duration(s.Duration) * time.Millisecond)
	if s.Execution == executionRan || s.Execution == executionLostAfterRun {
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
	}
	switch s.Execution {
	case executionRan:
		return Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte(key.Value)}
	case executionRefused:
		return Outcome{Verdict: verdict.NotRun, Status: 503}
	default:
		return Outcome{Verdict: verdict.MayHaveRun, Status: 502}
	}
}

// check holds a verdict against the runs so far.
func (w *world) check(key Key, attempt int, v verdict.Verdict, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.runs[key]
	isWrong := runs > 1 || (v == verdict.NotRun && runs > 0) || (v == verdict.Ran && runs != 1)
	if isWrong {
		w.faults = append(w.faults, fmt.Sprintf("attempt %d of %s: %v after %d runs: %v", attempt, key.Value, v, runs, err))
	}
}
