package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/object"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const fleetSize = 4

// command is one step of a random run; Kind decides which other fields apply.
type command struct {
	Kind        string
	Node        int
	Other       int
	Tenant      int
	Faults      memory.Faults
	Groups      []int
	LatePercent int
	Wait        time.Duration
}

func drawCommand(t *rapid.T) command {
	index := rapid.IntRange(0, fleetSize-1)
	return command{
		Kind: rapid.SampledFrom([]string{"apply", "apply", "race", "race", "store faults", "node faults", "partition",
			"replace", "late creates", "compact events", "converge"}).Draw(t, "kind"),
		Node:        index.Draw(t, "node"),
		Other:       index.Draw(t, "other"),
		Tenant:      rapid.IntRange(0, 3).Draw(t, "tenant"),
		Faults:      drawFaults(t),
		Groups:      rapid.SliceOfN(rapid.IntRange(0, 1), fleetSize, fleetSize).Draw(t, "groups"),
		LatePercent: rapid.SampledFrom([]int{0, 0, 50, 100}).Draw(t, "late percent"),
		Wait:        time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond,
	}
}

func drawFaults(t *rapid.T) memory.Faults {
	return memory.Faults{
		Down:                rapid.Bool().Draw(t, "down"),
		Latency:             time.Duration(rapid.SampledFrom([]int{0, 0, 50, 2000}).Draw(t, "latency")) * time.Millisecond,
		LostResponsePercent: rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "lost responses"),
		LostWatchEvents:     rapid.Bool().Draw(t, "lost watch events"),
		HungWatches:         rapid.Bool().Draw(t, "hung watches"),
	}
}

// TestAcceptedRevisionsNeverRevert runs random operators, partitions, replacements and
// store faults, then heals everything. No node's revision ever decreases, a revision is
// the same change on all nodes, accepted changes stay, rejected ones never come into
// force, and all nodes converge.
func TestAcceptedRevisionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 25).Draw(rt, "commands")
		var err error
		synctest.Test(t, func(*testing.T) { err = runCommands(seed, commands) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runCommands(seed uint64, commands []command) error {
	f := newTestFleet(fleetSize, seed)
	defer f.stopAll()
	done := make(chan struct{}, 2*len(commands))
	operators := 0
	for i, c := range commands {
		operators += f.run(i, c, done)
		time.Sleep(c.Wait)
		if err := f.checkConvergedWithoutStore(c); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	f.heal()
	for range operators {
		<-done
	}
	time.Sleep(time.Minute)
	if err := f.checkConverged(f.nodes); err != nil {
		return err
	}
	return f.history.check()
}

// run performs a command and returns how many operators it started.
func (f *testFleet) run(step int, c command, done chan<- struct{}) int {
	switch c.Kind {
	case "apply":
		go f.apply(fmt.Sprintf("%d", step), f.nodes[c.Node], c.Tenant, done)
		return 1
	case "race":
		go f.apply(fmt.Sprintf("%d-a", step), f.nodes[c.Node], c.Tenant, done)
		go f.apply(fmt.Sprintf("%d-b", step), f.nodes[c.Other], c.Tenant, done)
		return 2
	case "store faults":
		f.store.SetFaults(c.Faults)
	case "node faults":
		f.nodes[c.Node].view.SetFaults(c.Faults)
	case "partition":
		f.partition(c.Groups)
	case "replace":
		f.replace(c.Node)
	case "late creates":
		late := f.nodes[c.Node].late
		late.mu.Lock()
		late.percent = c.LatePercent
		late.mu.Unlock()
	case "compact events":
		f.store.CompactEvents()
	}
	return 0
}

// apply acts as an operator who edits a tenant on a node, based on its current revision.
func (f *testFleet) apply(id string, n *node, tenant int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	change := putTenant(id, fmt.Sprintf("tenant-%d", tenant), len(id), n.follower.Current())
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	revision, err := n.log.Accept(ctx, change)
	f.history.recordOutcome(id, revision, err)
}

// checkConvergedWithoutStore makes the store unavailable and checks that nodes that
// reach each other then converge on the same revision. It does so only for the command
// "converge".
func (f *testFleet) checkConvergedWithoutStore(c command) error {
	if c.Kind != "converge" {
		return nil
	}
	before := f.store.Faults()
	f.store.SetFaults(memory.Faults{Down: true})
	time.Sleep(25 * time.Second) // operators time out after 15 s; nodes exchange revisions
	defer f.store.SetFaults(before)
	for _, n := range f.nodes {
		if err := f.checkConverged(append(f.peers(n), n)); err != nil {
			return err
		}
	}
	return nil
}

func (f *testFleet) heal() {
	f.store.SetFaults(memory.Faults{})
	for _, n := range f.nodes {
		n.view.SetFaults(memory.Faults{})
	}
	f.partition(make([]int, fleetSize))
}

func (f *testFleet) checkConverged(nodes []*node) error {
	want := nodes[0].follower.current.Load()
	for _, n := range nodes[1:] {
		got := n.follower.current.Load()
		if got.revision() != want.revision() {
			return fmt.Errorf("node %d has revision %d, node %d has %d", n.id, got.revision(), nodes[0].id, want.revision())
		}
		if differences, err := object.Diff(want.config, got.config); err != nil || len(differences) > 0 {
			return fmt.Errorf("node %d differs from node %d: %v %v", n.id, nodes[0].id, differences, err)
		}
	}
	return nil
}
