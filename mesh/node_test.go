package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
	"github.com/tarragonreach/tarragonreach/mesh/replicatest"
)

// testTimeout is the time after which a wait fails the test.
const testTimeout = 20 * time.Second

// testTiming returns periods that are mostly shorter than the default, the heartbeat
// interval by a factor of ten.
func testTiming() engine.Timing {
	timing := engine.DefaultTiming()
	timing.HeartbeatInterval = 200 * time.Millisecond
	timing.HeartbeatTimeout = 1500 * time.Millisecond
	timing.SuspicionTimeout = 500 * time.Millisecond
	timing.DialMin = 25 * time.Millisecond
	timing.DialMax = time.Second
	timing.ProbeInterval = 400 * time.Millisecond
	timing.PullTimeout = 500 * time.Millisecond
	return timing
}

// cluster starts nodes on loopback with common seeds and a common certificate authority.
type cluster struct {
	t         *testing.T
	authority *keys.Authority
	seeds     atomic.Pointer[[]string]
}

func newCluster(t *testing.T) *cluster {
	authority, err := keys.NewAuthority()
	assert.NilError(t, err)
	c := &cluster{t: t, authority: authority}
	c.seeds.Store(&[]string{})
	return c
}

type runningNode struct {
	*Node
	stop func()
	log  *replicatest.Log
}

func (c *cluster) start(id fleet.InstanceID, zone fleet.AvailabilityZone, change func(*Options)) runningNode {
	tls, err := c.authority.Issue(id)
	assert.NilError(c.t, err)
	log := replicatest.NewLog("config")
	options := Options{
		ID:       id,
		Zone:     zone,
		Listen:   "127.0.0.1:0",
		TLS:      tls,
		Seeds:    func() []string { return *c.seeds.Load() },
		Replicas: []Replica{log},
		Timing:   testTiming(),
	}
	if change != nil {
		change(&options)
	}
	node, err := New(options)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		assert.Check(c.t, <-done)
	}
	c.t.Cleanup(stop)
	return runningNode{Node: node, stop: stop, log: log}
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func reachable(n runningNode) int {
	count := 0
	for _, m := range n.Members() {
		if m.Reachable {
			count++
		}
	}
	return count
}

func (c *cluster) startZones(zones, perZone int) []runningNode {
	var nodes []runningNode
	for z := range zones {
		for i := range perZone {
			n := c.start(fleet.InstanceID(fmt.Sprintf("entry-%d-%d", z, i)), fleet.AvailabilityZone(fmt.Sprintf("zone-%d", z)), nil)
			nodes = append(nodes, n)
			if len(nodes) == 1 {
				c.seeds.Store(&[]string{n.Addr()})
			}
		}
	}
	for _, n := range nodes {
		c.eventually("all members reachable", func() bool { return reachable(n) == len(nodes)-1 })
	}
	return nodes
}

func TestNodesFindEachOtherAndExchangeDocuments(t *testing.T) {
	c := newCluster(t)
	nodes := c.startZones(3, 2)
	for i := range []int{0, 1} {
		body := make([]byte, 10+i*(200<<10))
		version := nodes[0].log.Append("config", body)
		nodes[0].ReplicaChanged()
		for _, n := range nodes {
			c.eventually("document held", func() bool { return n.log.Version("config") == version })
		}
	}
}

func TestSummaryReachesLinkedMembers(t *testing.T) {
	c := newCluster(t)
	nodes := c.startZones(1, 2)
	assert.NilError(t, nodes[0].SetSummary([]byte("load 3")))
	c.eventually("summary held", func() bool { return string(nodes[1].Members()[0].Summary) == "load 3" })
	assert.ErrorContains(t, nodes[0].SetSummary(make([]byte, 2000)), "exceeds")
}

func TestCallResponsesAndErrorsCarryVerdicts(t *testing.T) {
	c := newCluster(t)
	nodes := c.startZones(2, 2)
	echo := func(_ context.Context, from fleet.InstanceID, payload []byte) ([]byte, error) {
		return append([]byte(from+" "), payload...), nil
	}
	refuse := func(context.Context, fleet.InstanceID, []byte) ([]byte, error) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeQuotaExceeded, "too many")
	}
	fail := func(context.Context, fleet.InstanceID, []byte) ([]byte, error) { return nil, errors.New("broken") }
	hang := func(ctx context.Context, _ fleet.InstanceID, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, n := range nodes {
		n.Handle("echo", echo)
		n.Handle("refuse", refuse)
		n.Handle("fail", fail)
		n.Handle("hang", hang)
	}
	for _, peer := range nodes[1:] {
		response, err := nodes[0].Call(t.Context(), peer.options.ID, "echo", []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, string(response), "entry-0-0 x")
	}
	cases := []struct {
		name    string
		peer    fleet.InstanceID
		method  string
		payload int
		verdict verdict.Verdict
		code    verdict.Code
	}{
		{"refused by the handler", "entry-1-0", "refuse", 1, verdict.NotRun, verdict.CodeQuotaExceeded},
		{"error without verdict", "entry-1-0", "fail", 1, verdict.MayHaveRun, verdict.CodeInternal},
		{"unknown method", "entry-1-0", "nothing", 1, verdict.NotRun, verdict.CodeBadRequest},
		{"unknown peer", "nobody", "echo", 1, verdict.NotRun, verdict.CodeConnectFailed},
		{"oversized", "entry-1-0", "echo", 2 << 20, verdict.NotRun, verdict.CodeBodyTooLarge},
		{"timeout", "entry-1-0", "hang", 1, verdict.MayHaveRun, verdict.CodeTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx := t.Context()
			if tc.code == verdict.CodeTimeout {
				limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
				ctx = limited
			}
			_, err := nodes[0].Call(ctx, tc.peer, tc.method, make([]byte, tc.payload))
			assert.Equal(t, verdict.Of(err), tc.verdict, "%v", err)
			if tc.code != verdict.CodeTimeout {
				assert.Equal(t, verdict.CodeOf(err), tc.code)
			}
		})
	}
}

func TestLeavingMemberIsUnreachableAtOnce(t *testing.T) {
	c := newCluster(t)
	nodes := c.startZones(1, 3)
	nodes[2].stop()
	for _, n := range nodes[:2] {
		c.eventually("only one member reachable", func() bool { return reachable(n) == 1 })
	}
}

func TestOptionsAreValidated(t *testing.T) {
	tls, err := newCluster(t).authority.Issue("entry-a")
	assert.NilError(t, err)
	valid := Options{ID: "entry-a", Zone: "zone-0", Listen: "127.0.0.1:0", TLS: tls}
	cases := []struct {
		name   string
		change func(*Options)
		want   string
	}{
		{"no instance", func(o *Options) { o.ID = "" }, "required"},
		{"no TLS", func(o *Options) { o.TLS = nil }, "required"},
		{"malformed address", func(o *Options) { o.Listen = "nowhere" }, "mesh address"},
		{"wildcard address", func(o *Options) { o.Listen = "0.0.0.0:0" }, "set Advertise"},
		{"port without an address", func(o *Options) { o.Listen = ":0" }, "set Advertise"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			options := valid
			tc.change(&options)
			_, err := New(options)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
