package fleetduty

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

var errNoAnswer = errors.New("no answer")

// mapStore keeps items in memory; it may lose answers, and may hold writes back.
type mapStore struct {
	Store
	items      map[string]kv.Item
	revision   kv.Revision
	loseAnswer bool
	holdBack   bool
	held       []kv.Txn
}

func (s *mapStore) Timeout(int) time.Duration { return time.Second }

func (s *mapStore) Get(_ context.Context, key string) (kv.Item, error) {
	if item, found := s.items[key]; found {
		return item, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

func (s *mapStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	if s.holdBack {
		s.held = append(s.held, t)
		return kv.TxnResult{}, errNoAnswer
	}
	result := s.apply(t)
	if s.loseAnswer {
		s.loseAnswer = false
		return kv.TxnResult{}, errNoAnswer
	}
	return result, nil
}

func (s *mapStore) apply(t kv.Txn) kv.TxnResult {
	result := kv.TxnResult{Applied: true}
	for _, c := range t.Conditions {
		item, found := s.items[c.Key]
		result.Applied = result.Applied && item.Revision == c.Revision
		if found {
			result.Current = append(result.Current, item)
		}
	}
	if !result.Applied {
		return result
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	return kv.TxnResult{Applied: true, Revision: s.revision}
}

func (s *mapStore) listed(t *testing.T) []cluster.MachineID {
	t.Helper()
	orders, err := layout.Decode[layout.FleetOrders](layout.FleetOrdersKey, s.items[layout.FleetOrdersKey].Value)
	assert.NilError(t, err)
	return slices.Sorted(maps.Keys(orders.AgesMs))
}

func newTestHolder(s *mapStore) *Holder {
	term := election.Term{Duty: Duty, Revision: 7}
	s.items = map[string]kv.Item{layout.OwnerKey(Duty): {Key: layout.OwnerKey(Duty), Revision: 7}}
	s.revision = 7
	return &Holder{
		Options: Options{Store: s, Logger: slog.New(slog.DiscardHandler), HolderGap: time.Second},
		term:    term, planner: fleetplan.New(fleetplan.Limits{}),
		book: orderBook{given: map[cluster.MachineID]time.Time{}, keep: time.Second},
		lose: func() {},
	}
}

// age lets time pass since an order and the last write of the list.
func (h *Holder) age(id cluster.MachineID, by time.Duration) {
	h.book.given[id] = h.book.given[id].Add(-by)
	h.book.stored = h.book.stored.Add(-by)
}

func move(id cluster.MachineID) []fleetplan.Action {
	return []fleetplan.Action{{Kind: fleetplan.Move, Machine: id}}
}

func TestAnnouncedOrdersAreListedUntilTheyAreOld(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	assert.Assert(t, h.announce(t.Context(), move("m-1")))
	h.updateOrders(t.Context()) // not due
	assert.DeepEqual(t, s.listed(t), []cluster.MachineID{"m-1"})
	h.age("m-1", 2*time.Second)
	h.updateOrders(t.Context())
	assert.Equal(t, len(s.listed(t)), 0)
}

func TestLostAnswerOfAnAnnouncementIsFoundOut(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	s.loseAnswer = true
	assert.Assert(t, h.announce(t.Context(), move("m-1")))
	assert.Assert(t, h.announce(t.Context(), move("m-2")))
	assert.DeepEqual(t, s.listed(t), []cluster.MachineID{"m-1", "m-2"})
}

// A write without an answer that takes effect late must not take a later order off the
// list.
func TestLateWriteDoesNotUndoALaterAnnouncement(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	assert.Assert(t, h.announce(t.Context(), move("m-1")))
	h.age("m-1", 2*time.Second)
	s.holdBack = true
	h.updateOrders(t.Context())
	s.holdBack = false
	assert.Assert(t, h.announce(t.Context(), move("m-2")))
	for _, late := range s.held {
		s.apply(late)
	}
	assert.DeepEqual(t, s.listed(t), []cluster.MachineID{"m-2"})
}

func TestNoOrderIsAnnouncedOnceTheTermIsOver(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	lost := false
	h.lose = func() { lost = true }
	s.items[layout.OwnerKey(Duty)] = kv.Item{Key: layout.OwnerKey(Duty), Revision: 9}
	assert.Assert(t, !h.announce(t.Context(), move("m-1")))
	assert.Assert(t, lost)
}

func TestSuccessorTakesTheEvidenceOver(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	assert.NilError(t, h.loadEvidence(t.Context())) // none yet
	evidence := fleetplan.Evidence{
		Turns:    []fleetplan.Turn{{Service: "a", At: time.Unix(1000, 0).UTC()}},
		Services: map[cluster.Service]fleetplan.Habit{"a": {Mean: 2000, Peak: 9000}},
	}
	h.planner.Restore(evidence)
	value, err := layout.Encode(h.planner.Evidence())
	assert.NilError(t, err)
	s.apply(kv.Txn{Puts: []kv.Put{{Key: layout.FleetEvidenceKey, Value: value}}})
	next := &Holder{Options: h.Options, planner: fleetplan.New(fleetplan.Limits{})}
	assert.NilError(t, next.loadEvidence(t.Context()))
	assert.DeepEqual(t, next.planner.Evidence(), evidence)
}

// A successor waits for a machine only as long as its last order is young.
func TestSuccessorGoesByTheAgesOfOrders(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	assert.Assert(t, h.announce(t.Context(), move("m-1")))
	h.age("m-1", 800*time.Millisecond)
	assert.Assert(t, h.announce(t.Context(), move("m-2")))
	orders, err := layout.Decode[layout.FleetOrders](layout.FleetOrdersKey, s.items[layout.FleetOrdersKey].Value)
	assert.NilError(t, err)
	assert.Assert(t, orders.AgesMs["m-1"] >= 800)
	assert.Assert(t, orders.AgesMs["m-2"] < 800)
}

// Cordons are read while this holder takes one back: what was read is out of date.
func TestCordonsReadBesideAWriteAreReadAgain(t *testing.T) {
	s := &mapStore{}
	h := newTestHolder(s)
	h.cordons = map[cluster.ExecutorID]cluster.Service{"i-1": "a"}
	read := map[cluster.ExecutorID]cluster.Service{"i-1": "a"}
	writes := h.cordonWrites
	h.setCordons(t.Context(), []fleetplan.Action{{Kind: fleetplan.Uncordon, Executor: "i-1", Service: "a"}})
	h.takeCordons(read, writes)
	assert.Equal(t, len(h.cordons), 0)
	assert.Assert(t, h.cordonsAt.IsZero())
	h.takeCordons(read, h.cordonWrites) // a late effect shows later
	assert.Equal(t, len(h.cordons), 1)
}

// A cordon is taken back without an answer: it must not count as in force.
func TestCordonThatMayBeLiftedIsNotInForce(t *testing.T) {
	s := &mapStore{holdBack: true}
	h := newTestHolder(s)
	h.cordons = map[cluster.ExecutorID]cluster.Service{"i-1": "a"}
	h.setCordons(t.Context(), []fleetplan.Action{{Kind: fleetplan.Uncordon, Executor: "i-1", Service: "a"}})
	assert.Equal(t, len(h.cordons), 0)
}

// Two holders follow each other within a moment: the third one still knows of the first
// one's orders.
func TestOrdersAreKnownBeyondTheNextHolder(t *testing.T) {
	s := &mapStore{}
	first := newTestHolder(s)
	assert.Assert(t, first.announce(t.Context(), move("m-1")))
	second := *first
	second.book = orderBook{given: map[cluster.MachineID]time.Time{}, keep: time.Second}
	assert.NilError(t, second.loadOrders(t.Context()))
	assert.Assert(t, second.announce(t.Context(), move("m-2")))
	assert.DeepEqual(t, s.listed(t), []cluster.MachineID{"m-1", "m-2"})
}
