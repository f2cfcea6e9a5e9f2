package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// linkedEngine is an engine "a" with one link to a peer "b", whose messages the test sends.
type linkedEngine struct {
	*Engine
	now time.Time
}

func newLinkedEngine() *linkedEngine {
	e := &linkedEngine{now: time.Unix(1000, 0)}
	e.Engine = New(Options{
		Self:   wire.Record{ID: "a", Zone: "z", Address: "a:1", Incarnation: 5},
		Timing: DefaultTiming(),
		Rand:   rand.New(rand.NewPCG(1, 1)),
	})
	e.Connected("b", "b:1", true, e.now)
	e.Receive("b", &wire.Hello{Record: wire.Record{ID: "b", Zone: "z", Address: "b:1", Incarnation: 1}}, e.now)
	return e
}

func (e *linkedEngine) advance(d time.Duration) []Action {
	e.now = e.now.Add(d)
	return e.Tick(e.now)
}

func closesLink(actions []Action) bool {
	for _, a := range actions {
		if c, ok := a.(Close); ok && c.Peer == "b" {
			return true
		}
	}
	return false
}

func TestLinkIsClosedAfterHeartbeatTimeout(t *testing.T) {
	e := newLinkedEngine()
	for range 10 {
		assert.Assert(t, !closesLink(e.advance(2*time.Second)))
		e.Receive("b", &wire.Heartbeat{Reply: true}, e.now)
	}
	assert.Assert(t, !closesLink(e.advance(DefaultTiming().HeartbeatTimeout)))
	assert.Assert(t, closesLink(e.advance(time.Millisecond)))
}

func TestSuspectedLinkIsClosedUnlessAHeartbeatArrives(t *testing.T) {
	e := newLinkedEngine()
	e.Suspect("b", e.now)
	e.Receive("b", &wire.Heartbeat{Reply: true}, e.now)
	assert.Assert(t, !closesLink(e.advance(DefaultTiming().SuspicionTimeout+time.Millisecond)))
	e.Suspect("b", e.now)
	assert.Assert(t, closesLink(e.advance(DefaultTiming().SuspicionTimeout+time.Millisecond)))
}

func TestOwnRecordSupersedesThatOfAnEarlierProcess(t *testing.T) {
	e := newLinkedEngine()
	e.Receive("b", &wire.Members{Records: []wire.Record{{ID: "a", Zone: "z", Address: "a:1", Incarnation: 9, Sequence: 40}}}, e.now)
	var published []wire.Record
	for _, a := range e.advance(time.Second) {
		if s, ok := a.(Send); ok {
			if m, ok := s.Message.(*wire.Members); ok {
				published = append(published, m.Records...)
			}
		}
	}
	assert.Equal(t, len(published), 1)
	assert.Assert(t, published[0].NewerThan(wire.Record{Incarnation: 9, Sequence: 40}), "%v", published[0])
}

func TestLeavingPeerIsNotDialedAgain(t *testing.T) {
	e := newLinkedEngine()
	e.Receive("b", &wire.Heartbeat{Reply: true}, e.now)
	actions := e.Receive("b", &wire.Leave{Record: wire.Record{ID: "b", Zone: "z", Address: "b:1", Incarnation: 1, Sequence: 9, Left: true}}, e.now)
	assert.Assert(t, closesLink(actions))
	assert.Equal(t, e.Reachable(), 0)
	for range 100 {
		for _, a := range e.advance(time.Second) {
			_, isDial := a.(Dial)
			assert.Assert(t, !isDial)
		}
	}
}
