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
	p := &linkedEngine{now: time.Unix(1000, 0)}
	p.Engine = New(Options{
		Self:   wire.Record{ID: "a", Zone: "z", Address: "a:1", Incarnation: 5},
		Timing: DefaultTiming(),
		Rand:   rand.New(rand.NewPCG(1, 1)),
	})
	p.Connected("b", "b:1", true, p.now)
	p.Receive("b", &wire.Hello{Record: wire.Record{ID: "b", Zone: "z", Address: "b:1", Incarnation: 1}}, p.now)
	return p
}

func (p *linkedEngine) advance(d time.Duration) []Action {
	p.now = p.now.Add(d)
	return p.Tick(p.now)
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
	p := newLinkedEngine()
	for range 10 {
		assert.Assert(t, !closesLink(p.advance(2*time.Second)))
		p.Receive("b", &wire.Heartbeat{Reply: true}, p.now)
	}
	assert.Assert(t, !closesLink(p.advance(DefaultTiming().HeartbeatTimeout)))
	assert.Assert(t, closesLink(p.advance(time.Millisecond)))
}

func TestSuspectedLinkIsClosedUnlessAHeartbeatArrives(t *testing.T) {
	p := newLinkedEngine()
	p.Suspect("b", p.now)
	p.Receive("b", &wire.Heartbeat{Reply: true}, p.now)
	assert.Assert(t, !closesLink(p.advance(DefaultTiming().SuspicionTimeout+time.Millisecond)))
	p.Suspect("b", p.now)
	assert.Assert(t, closesLink(p.advance(DefaultTiming().SuspicionTimeout+time.Millisecond)))
}

func TestOwnRecordSupersedesThatOfAnEarlierProcess(t *testing.T) {
	p := newLinkedEngine()
	p.Receive("b", &wire.Members{Records: []wire.Record{{ID: "a", Zone: "z", Address: "a:1", Incarnation: 9, Sequence: 40}}}, p.now)
	var published []wire.Record
	for _, a := range p.advance(time.Second) {
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
	p := newLinkedEngine()
	p.Receive("b", &wire.Heartbeat{Reply: true}, p.now)
	actions := p.Receive("b", &wire.Leave{Record: wire.Record{ID: "b", Zone: "z", Address: "b:1", Incarnation: 1, Sequence: 9, Left: true}}, p.now)
	assert.Assert(t, closesLink(actions))
	assert.Equal(t, p.Reachable(), 0)
	for range 100 {
		for _, a := range p.advance(time.Second) {
			_, isDial := a.(Dial)
			assert.Assert(t, !isDial)
		}
	}
}
