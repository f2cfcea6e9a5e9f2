package mesh

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// startBehindMiddlebox starts two nodes; entry-b is reached through a middlebox.
func startBehindMiddlebox(c *cluster) (a, b runningNode, box *middlebox) {
	port, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(c.t, err)
	address := port.LocalAddr().String()
	port.Close()
	box = newMiddlebox(c.t, address)
	b = c.start("entry-b", "zone-1", func(o *Options) { o.Listen, o.Advertise = address, box.address() })
	c.seeds.Store(&[]string{box.address()})
	a = c.start("entry-a", "zone-0", nil)
	for _, n := range []runningNode{a, b} {
		c.eventually("peers reachable", func() bool { return reachable(n) == 1 })
	}
	return a, b, box
}

func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	c := newCluster(t)
	a, b, box := startBehindMiddlebox(c)
	assert.Assert(t, box.dropFlows() > 0)
	version := a.log.Append("config", []byte("new"))
	a.ReplicaChanged()
	c.eventually("document over a new connection", func() bool { return b.log.Version("config") == version })
	c.eventually("peer reachable again", func() bool { return reachable(a) == 1 && reachable(b) == 1 })
}

func TestCallOnHalfOpenConnectionMayHaveRunAndNextCallSucceeds(t *testing.T) {
	c := newCluster(t)
	a, b, box := startBehindMiddlebox(c)
	b.Handle("echo", func(_ context.Context, _ fleet.InstanceID, p []byte) ([]byte, error) { return p, nil })
	assert.Assert(t, box.dropFlows() > 0)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, "entry-b", "echo", nil)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "%v", err)
	c.eventually("call over a new connection", func() bool {
		_, err := a.Call(t.Context(), "entry-b", "echo", nil)
		return err == nil
	})
}

func TestPeerReplacedUnderTheSameAddress(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	c.seeds.Store(&[]string{a.Addr()})
	old := c.start("entry-old", "zone-1", nil)
	c.eventually("old peer reachable", func() bool { return reachable(a) == 1 })
	old.stop()
	c.start("entry-new", "zone-1", func(o *Options) { o.Listen = old.Addr() })
	c.eventually("only the new peer a member", func() bool {
		return reachable(a) == 1 && len(a.Members()) == 1 && a.Members()[0].ID == "entry-new"
	})
	_, err := a.Call(t.Context(), "entry-old", "echo", nil)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

func TestRestartedPeerIsReachableAgain(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	c.seeds.Store(&[]string{a.Addr()})
	first := c.start("entry-b", "zone-1", nil)
	c.eventually("peer reachable", func() bool { return reachable(a) == 1 })
	first.stop()
	c.eventually("peer unreachable", func() bool { return reachable(a) == 0 })
	second := c.start("entry-b", "zone-1", func(o *Options) { o.Listen = first.Addr() })
	c.eventually("peer reachable again", func() bool { return reachable(a) == 1 && reachable(second) == 1 })
}

func TestUntrustedCertificateIsRefused(t *testing.T) {
	c := newCluster(t)
	foreign := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	foreign.seeds.Store(&[]string{a.Addr()})
	refused := &refusalCounter{}
	untrusted := foreign.start("entry-x", "zone-1", func(o *Options) { o.Metrics = refused })
	c.eventually("handshakes refused", func() bool { return refused.count(reasonHandshake) >= 2 })
	assert.Equal(t, len(a.Members()), 0)
	assert.Equal(t, len(untrusted.Members()), 0)
}

// refusalCounter counts refused messages by reason.
type refusalCounter struct {
	noMetrics
	mu     sync.Mutex
	counts map[string]int
}

func (r *refusalCounter) MessageRefused(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[reason]++
}

func (r *refusalCounter) count(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}

// rawPeer opens a connection with a trusted certificate, on which the test sends raw bytes.
func (c *cluster) rawPeer(id fleet.InstanceID, address string) *quic.Conn {
	config, err := c.authority.Issue(id)
	assert.NilError(c.t, err)
	conn, err := quic.DialAddr(c.t.Context(), address, config, quicConfig())
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { conn.CloseWithError(0, "") })
	return conn
}

func sendRaw(t *testing.T, conn *quic.Conn, data []byte) {
	t.Helper()
	stream, err := conn.OpenUniStreamSync(t.Context())
	assert.NilError(t, err)
	stream.Write(data) // returns an error if the peer refuses the stream
	stream.Close()
}

func hello(t *testing.T, id fleet.InstanceID) []byte {
	data, err := wire.Encode(&wire.Hello{Record: wire.Record{ID: id, Zone: "zone-1", Address: "127.0.0.1:9", Incarnation: 1}})
	assert.NilError(t, err)
	return data
}

func TestMalformedMessagesAreRefusedAndTheLinkStays(t *testing.T) {
	c := newCluster(t)
	refused := &refusalCounter{}
	a := c.start("entry-a", "zone-0", func(o *Options) { o.Metrics = refused })

	outside, err := net.Dial("udp", a.Addr())
	assert.NilError(t, err)
	defer outside.Close()
	for _, size := range []int{0, 1, 21, 1200, 60_000} {
		outside.Write(make([]byte, size))
	}

	conn := c.rawPeer("entry-raw", a.Addr())
	sendRaw(t, conn, hello(t, "entry-raw"))
	sendRaw(t, conn, []byte{200, 0xa0})
	sendRaw(t, conn, []byte{byte(wire.KindDocuments), 0xff})
	sendRaw(t, conn, nil)
	sendRaw(t, conn, make([]byte, wire.MaxMessageBytes+2))
	assert.NilError(t, conn.SendDatagram([]byte{byte(wire.KindHeartbeat), 0xff}))
	assert.NilError(t, conn.SendDatagram([]byte("nonsense")))
	c.eventually("all refused", func() bool {
		return refused.count(reasonUnknownKind) == 1 && refused.count(reasonMalformed) == 4 && refused.count(reasonTooLarge) == 1
	})
	heartbeat, err := wire.Encode(&wire.Heartbeat{Sequence: 1})
	assert.NilError(t, err)
	assert.NilError(t, conn.SendDatagram(heartbeat))
	c.eventually("raw peer reachable", func() bool { return reachable(a) == 1 })
	assert.NilError(t, conn.Context().Err())
}

func TestHelloOfAnotherInstanceEndsTheConnection(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	conn := c.rawPeer("entry-raw", a.Addr())
	sendRaw(t, conn, hello(t, "entry-else"))
	<-conn.Context().Done()
	assert.Equal(t, len(a.Members()), 0)
}

func TestIncompleteRequestDoesNotRun(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	ran := make(chan string, 2)
	a.Handle("note", func(_ context.Context, _ fleet.InstanceID, p []byte) ([]byte, error) {
		ran <- string(p)
		return nil, nil
	})
	conn := c.rawPeer("entry-raw", a.Addr())
	for _, payload := range []string{"incomplete", "complete"} {
		data, err := wire.Encode(&wire.Request{Method: "note", Payload: []byte(payload)})
		assert.NilError(t, err)
		stream, err := conn.OpenStreamSync(t.Context())
		assert.NilError(t, err)
		_, err = stream.Write(data)
		assert.NilError(t, err)
		if payload == "incomplete" {
			stream.CancelWrite(streamRefused)
			continue
		}
		assert.NilError(t, stream.Close())
	}
	assert.Equal(t, <-ran, "complete")
}

func TestPairKeepsOneConnection(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a", "zone-0", nil)
	b := c.start("entry-b", "zone-0", nil)
	c.seeds.Store(&[]string{a.Addr(), b.Addr()}) // both dial at once
	for _, n := range []runningNode{a, b} {
		c.eventually("peer reachable", func() bool { return reachable(n) == 1 })
	}
	c.eventually("the same connection at both ends", func() bool {
		return sameConnection(a.connOf("entry-b"), b.connOf("entry-a"))
	})
}

func sameConnection(x, y *conn) bool {
	if x == nil || y == nil || x.dialed == y.dialed {
		return false
	}
	return x.quic.LocalAddr().String() == y.quic.RemoteAddr().String()
}

func (n *Node) connOf(peer fleet.InstanceID) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[peer]
}

func TestBudgetBoundsMessagesInMemory(t *testing.T) {
	b := newBudget(3 * initialBufferBytes)
	data, err := b.readMessage(zeros{})
	assert.ErrorIs(t, err, errOverBudget)
	b.release(cap(data))
	assert.Equal(t, b.used.Load(), int64(0))
}

// zeros is a reader that never ends.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
