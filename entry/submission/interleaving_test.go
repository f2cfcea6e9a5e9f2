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
	Instance  int
	Key       int
	Execution int           // how an executor ends the copy
	Duration  int           // milliseconds that the executor takes
	Latency   time.Duration // of the store, or between entry instances
	Percent   int           // of lost responses; above zero also means "down" or "partitioned"
}

// The actions of a step. A copy is the most likely one.
const (
	actionCopy = iota
	actionStore
	actionStoreDown
	actionNetwork
	actionPartition
	actionReplace
	actionRestart
	actionCount
)

const (
	planInstances = 3
	planKeys      = 12 // half are tickets
	planSteps     = 150
	// recentKeys is how many keys are in use at a time.
	recentKeys = 2
)

func drawStep(t *rapid.T) step {
	s := step{
		Pause:     rapid.IntRange(0, 600).Draw(t, "pause"),
		Action:    rapid.IntRange(0, 4*actionCount-1).Draw(t, "action"),
		Instance:  rapid.IntRange(0, planInstances-1).Draw(t, "instance"),
		Key:       rapid.IntRange(0, recentKeys-1).Draw(t, "key"),
		Execution: rapid.SampledFrom(executionWeights).Draw(t, "execution"),
		Duration:  rapid.SampledFrom([]int{0, 50, 3000}).Draw(t, "duration"),
		Latency:   time.Duration(rapid.SampledFrom([]int{0, 10, 600, 1500}).Draw(t, "latency")) * time.Millisecond,
		Percent:   rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "percent"),
	}
	if s.Action >= actionCount {
		s.Action = actionCopy
	}
	return s
}

// TestInterleavingsRunAtMostOnce sends copies of submissions amid faults, partitions
// and replaced entry instances. No submission may run twice, and no verdict may
// contradict the runs.
func TestInterleavingsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 5 * time.Second}).Draw(rt, "retention")
		seed := rapid.Uint64().Draw(rt, "seed")
		plan := rapid.SliceOfN(rapid.Custom(drawStep), planSteps, planSteps).Draw(rt, "plan")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = newSimulation(seed, retention).run(plan) })
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// simulation is a few entry instances on one platform, and an executor that counts
// runs.
type simulation struct {
	platform  *standin.Platform
	retention time.Duration // of each entry instance's memory
	network   *network
	current   [planInstances]*Deduplicator
	all       []*Deduplicator
	keys      [planKeys]Key
	copies    sync.WaitGroup

	attempts map[Key]int

	mu         sync.Mutex
	runs       map[Key][]int // the attempts that ran
	violations []string
}

func newSimulation(seed uint64, retention time.Duration) *simulation {
	sim := &simulation{
		retention: retention,
		platform:  standin.New(time.Now),
		network:   newNetwork(seed),
		runs:      map[Key][]int{},
		attempts:  map[Key]int{},
	}
	for i := range sim.current {
		sim.replace(i)
	}
	return sim
}

// replace starts a new entry instance in the i-th place. The old one becomes
// unreachable but finishes what it has in progress, as if it was only paused.
func (sim *simulation) replace(i int) {
	if old := sim.current[i]; old != nil {
		sim.network.remove(old.mint.self)
	}
	sim.start(i, fleet.InstanceID(fmt.Sprintf("entry-%d", len(sim.all))))
}

// start starts an entry instance. An older one with the same ID becomes unreachable.
func (sim *simulation) start(i int, id fleet.InstanceID) {
	peers := endpoint{sim.network, id}
	d, err := New(Options{
		Self:            id,
		Store:           platform.Store(sim.platform),
		Peers:           peers,
		MemoryRetention: sim.retention,
		CallsPerSecond:  50,
		CallBurst:       20,
	})
	if err != nil {
		panic(err)
	}
	d.Register(peers)
	sim.current[i] = d
	sim.all = append(sim.all, d)
}

func (sim *simulation) run(plan []step) []string {
	for i, s := range plan {
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		sim.apply(s, sim.key(i, s))
	}
	sim.copies.Wait()
	for _, d := range sim.all {
		d.Close(context.Background())
	}
	return sim.violations
}

// key returns the key of the i-th step. New keys come into use as the plan advances;
// every other one is a ticket, minted at its first use.
func (sim *simulation) key(i int, s step) Key {
	n := i*(planKeys-recentKeys)/planSteps + s.Key
	if sim.keys[n].Value == "" {
		sim.keys[n] = Key{Tenant: "magnolia", Value: fmt.Sprintf("order-%d", n)}
		if n%2 == 0 {
			sim.keys[n].Value = sim.current[s.Instance].NextTicket("magnolia")
		}
	}
	return sim.keys[n]
}

func (sim *simulation) apply(s step, key Key) {
	switch s.Action {
	case actionCopy:
		dedup := sim.current[s.Instance]
		sim.attempts[key]++
		attempt := sim.attempts[key]
		sim.copies.Go(func() { sim.send(s, dedup, key, attempt) })
	case actionStore:
		sim.platform.SetFaults(standin.Faults{Latency: s.Latency, LostResponsePercent: s.Percent})
	case actionStoreDown:
		sim.platform.SetFaults(standin.Faults{Down: s.Percent > 0})
	case actionNetwork:
		sim.network.setFaults(s.Latency, s.Percent)
	case actionPartition:
		sim.network.setPartitioned(sim.current[s.Instance].mint.self, s.Percent > 0)
	case actionReplace:
		sim.replace(s.Instance)
	case actionRestart:
		sim.start(s.Instance, sim.current[s.Instance].mint.self)
	}
}

// send sends one more copy of a submission with a correct attempt count.
func (sim *simulation) send(s step, dedup *Deduplicator, key Key, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	permit, err := dedup.Begin(ctx, key, attempt)
	if err != nil {
		sim.check(key, attempt, verdict.Of(err), err)
		return
	}
	outcome := sim.execute(key, attempt, s)
	sim.check(key, attempt, outcome.Verdict, nil)
	permit.Finish(outcome)
}

// The ways in which an executor ends a copy.
const (
	executionRan = iota
	executionLostAfterRun
	executionLostBeforeRun
	executionRefused
)

// executionWeights makes most copies end without having run, so that more follow.
var executionWeights = []int{
	executionRan, executionLostAfterRun, executionLostBeforeRun,
	executionRefused, executionRefused, executionRefused, executionRefused, executionRefused,
}

func (sim *simulation) execute(key Key, attempt int, s step) Outcome {
	time.Sleep(time.Duration(s.Duration) * time.Millisecond)
	if s.Execution == executionRan || s.Execution == executionLostAfterRun {
		sim.mu.Lock()
		sim.runs[key] = append(sim.runs[key], attempt)
		sim.mu.Unlock()
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

// check records a violation if a verdict contradicts the runs so far. NotRun means
// that neither this copy nor an earlier one ran; a later one may have run.
func (sim *simulation) check(key Key, attempt int, v verdict.Verdict, err error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	runs := sim.runs[key]
	ranUpToNow := slices.ContainsFunc(runs, func(ran int) bool { return ran <= attempt })
	isWrong := len(runs) > 1 || (v == verdict.NotRun && ranUpToNow) || (v == verdict.Ran && len(runs) != 1)
	if isWrong {
		sim.violations = append(sim.violations, fmt.Sprintf("attempt %d of %s: %v, attempts that ran: %v: %v", attempt, key.Value, v, runs, err))
	}
}
