package submission

import (
	"context"
	"fmt"
	"slices"
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
	actionRestart
	actions
)

const (
	planKeepers = 3
	planKeys    = 12 // half are tickets
	planSteps   = 150
	// recentKeys is how many keys are in play at a time.
	recentKeys = 2
)

func drawStep(t *rapid.T) step {
	s := step{
		Pause:     rapid.IntRange(0, 600).Draw(t, "pause"),
		Action:    rapid.IntRange(0, 4*actions-1).Draw(t, "action"),
		Keeper:    rapid.IntRange(0, planKeepers-1).Draw(t, "keeper"),
		Key:       rapid.IntRange(0, recentKeys-1).Draw(t, "key"),
		Execution: rapid.SampledFrom(executionWeights).Draw(t, "execution"),
		Duration:  rapid.SampledFrom([]int{0, 50, 3000}).Draw(t, "duration"),
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
		retention := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 5 * time.Second}).Draw(rt, "retention")
		seed := rapid.Uint64().Draw(rt, "seed")
		plan := rapid.SliceOfN(rapid.Custom(drawStep), planSteps, planSteps).Draw(rt, "plan")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = newWorld(seed, retention).play(plan) })
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}

// world is a few keepers on one platform, and an executor that counts runs.
type world struct {
	platform  *standin.Platform
	retention time.Duration // of each keeper's memory
	network   *network
	keepers   [planKeepers]*Deduplicator
	all       []*Deduplicator
	keys      [planKeys]Key
	copies    sync.WaitGroup

	attempts map[Key]int

	mu     sync.Mutex
	runs   map[Key][]int // the attempts that ran
	faults []string
}

func newWorld(seed uint64, retention time.Duration) *world {
	w := &world{
		retention: retention,
		platform:  standin.New(time.Now),
		network:   newNetwork(seed),
		runs:      map[Key][]int{},
		attempts:  map[Key]int{},
	}
	for i := range w.keepers {
		w.replace(i)
	}
	return w
}

// replace puts a new entry instance in the place of one, which then is unreachable
// but finishes what it has in progress, as one that was only paused would.
func (w *world) replace(i int) {
	if old := w.keepers[i]; old != nil {
		w.network.remove(old.mint.self)
	}
	w.start(i, fleet.InstanceID(fmt.Sprintf("entry-%d", len(w.all))))
}

// start starts an entry instance; one with the same ID is unreachable from then on.
func (w *world) start(i int, id fleet.InstanceID) {
	peers := endpoint{w.network, id}
	k, err := New(Options{
		Self:            id,
		Store:           platform.Store(w.platform),
		Peers:           peers,
		MemoryRetention: w.retention,
		CallsPerSecond:  50,
		CallBurst:       20,
	})
	if err != nil {
		panic(err)
	}
	k.Register(peers)
	w.keepers[i] = k
	w.all = append(w.all, k)
}

func (w *world) play(plan []step) []string {
	for i, s := range plan {
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		w.do(s, w.key(i, s))
	}
	w.copies.Wait()
	for _, k := range w.all {
		k.Close(context.Background())
	}
	return w.faults
}

// key returns the key of the i-th step. Keys come into play one after the other;
// every other one is a ticket, minted when it comes into play.
func (w *world) key(i int, s step) Key {
	n := i*(planKeys-recentKeys)/planSteps + s.Key
	if w.keys[n].Value == "" {
		w.keys[n] = Key{Tenant: "magnolia", Value: fmt.Sprintf("order-%d", n)}
		if n%2 == 0 {
			w.keys[n].Value = w.keepers[s.Keeper].NextTicket("magnolia")
		}
	}
	return w.keys[n]
}

func (w *world) do(s step, key Key) {
	switch s.Action {
	case actionCopy:
		keeper := w.keepers[s.Keeper]
		w.attempts[key]++
		attempt := w.attempts[key]
		w.copies.Go(func() { w.send(s, keeper, key, attempt) })
	case actionStore:
		w.platform.SetFaults(standin.Faults{Latency: s.Latency, LostResponsePercent: s.Percent})
	case actionStoreDown:
		w.platform.SetFaults(standin.Faults{Down: s.Percent > 0})
	case actionNetwork:
		w.network.setFaults(s.Latency, s.Percent)
	case actionCut:
		w.network.setCut(w.keepers[s.Keeper].mint.self, s.Percent > 0)
	case actionReplace:
		w.replace(s.Keeper)
	case actionRestart:
		w.start(s.Keeper, w.keepers[s.Keeper].mint.self)
	}
}

// send sends one more copy of a submission, counted as a careful caller counts.
func (w *world) send(s step, keeper *Deduplicator, key Key, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	pass, err := keeper.Begin(ctx, key, attempt)
	if err != nil {
		w.check(key, attempt, verdict.Of(err), err)
		return
	}
	outcome := w.execute(key, attempt, s)
	w.check(key, attempt, outcome.Verdict, nil)
	pass.Finish(outcome)
}

// The ways in which an executor ends a copy.
const (
	executionRan = iota
	executionLostAfterRun
	executionLostBeforeRun
	executionRefused
)

// executionWeights lets most copies end without having run, so that more follow.
var executionWeights = []int{
	executionRan, executionLostAfterRun, executionLostBeforeRun,
	executionRefused, executionRefused, executionRefused, executionRefused, executionRefused,
}

func (w *world) execute(key Key, attempt int, s step) Outcome {
	time.Sleep(time.Duration(s.Duration) * time.Millisecond)
	if s.Execution == executionRan || s.Execution == executionLostAfterRun {
		w.mu.Lock()
		w.runs[key] = append(w.runs[key], attempt)
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

// check holds a verdict against the runs so far. Not run means that neither this
// copy nor an earlier one ran; a later one may have.
func (w *world) check(key Key, attempt int, v verdict.Verdict, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.runs[key]
	ranUpToNow := slices.ContainsFunc(runs, func(ran int) bool { return ran <= attempt })
	isWrong := len(runs) > 1 || (v == verdict.NotRun && ranUpToNow) || (v == verdict.Ran && len(runs) != 1)
	if isWrong {
		w.faults = append(w.faults, fmt.Sprintf("attempt %d of %s: %v, attempts that ran: %v: %v", attempt, key.Value, v, runs, err))
	}
}
