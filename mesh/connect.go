package mesh

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
)

// simultaneousDialWindow is the time within which two connections between the same pair of
// instances count as dialed by both ends at once.
const simultaneousDialWindow = 2 * time.Second

// dialAttempt is an attempt to open a connection; done is closed at its end.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// startDial opens a connection in the background, with one attempt per address at a time.
// The caller holds the lock.
func (n *Node) startDial(address string) *dialAttempt {
	if d := n.dials[address]; d != nil {
		return d
	}
	d := &dialAttempt{done: make(chan struct{})}
	if n.isStopped() {
		d.err = ErrStopped
		close(d.done)
		return d
	}
	n.dials[address] = d
	n.goroutines.Go(func() { n.dial(address, d) })
	return d
}

func (n *Node) dial(address string, d *dialAttempt) {
	c, err := n.openConn(address)
	n.mu.Lock()
	delete(n.dials, address)
	if err != nil {
		n.engine.DialFailed(address, time.Now())
	} else {
		c, err = n.register(c, address)
	}
	d.conn, d.err = c, err
	n.mu.Unlock()
	close(d.done)
}

// openConn dials from a new socket, and so from a new port: a middlebox that drops the
// packets of an earlier connection identifies it by its addresses and ports.
func (n *Node) openConn(address string) (*conn, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("mesh address %q: %w", address, err)
	}
	socket, err := n.listenUDP(&net.UDPAddr{IP: n.localIP})
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(n.running, 2*handshakeTimeout)
	defer cancel()
	q, err := transport.Dial(ctx, remote, n.options.TLS, quicConfig())
	if err != nil {
		closeTransport(transport)
		n.traffic.countRefused(reasonHandshake)
		return nil, fmt.Errorf("mesh dial %s: %w", address, err)
	}
	context.AfterFunc(q.Context(), func() { closeTransport(transport) })
	return n.newConn(q, true)
}

func (n *Node) newConn(q *quic.Conn, dialed bool) (*conn, error) {
	peer, err := keys.Identity(q.ConnectionState().TLS)
	if err != nil {
		n.traffic.countRefused(reasonNoIdentity)
		q.CloseWithError(closeIdentity, "no identity")
		return nil, err
	}
	return &conn{
		node:      n,
		quic:      q,
		peer:      peer,
		dialed:    dialed,
		opened:    time.Now(),
		sendQueue: make(chan []byte, sendQueueMessages),
	}, nil
}

func (n *Node) acceptConns(ctx context.Context) {
	for {
		q, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		c, err := n.newConn(q, false)
		if err != nil {
			continue
		}
		n.mu.Lock()
		n.register(c, "")
		n.mu.Unlock()
	}
}

// register makes a connection the current one of its peer. If an older connection is to be
// kept instead, register closes the new one and returns the older. The caller holds the lock.
func (n *Node) register(c *conn, address string) (*conn, error) {
	if n.isStopped() {
		c.close(closeLeaving, "leaving")
		return nil, ErrStopped
	}
	if c.peer == n.options.ID {
		n.refuseConn(c, address, reasonSelf)
		return nil, fmt.Errorf("mesh dial %s: the address is that of this instance", address)
	}
	kept := n.conns[c.peer]
	if kept != nil && n.keepsOlder(kept, c) {
		n.refuseConn(c, address, reasonSecondConn)
		return kept, nil
	}
	n.conns[c.peer] = c
	if kept != nil {
		kept.close(closeDuplicate, "replaced")
	}
	n.options.Logger.Info("mesh connection opened", "peer", c.peer, "address", c.quic.RemoteAddr().String())
	c.start()
	n.perform(n.engine.Connected(c.peer, address, c.dialed, c.opened))
	return c, nil
}

func (n *Node) refuseConn(c *conn, address, reason string) {
	n.traffic.countRefused(reason)
	if c.dialed {
		n.engine.PeerReached(address, c.peer, time.Now())
	}
	c.close(closeDuplicate, reason)
}

// keepsOlder reports whether to keep the older of two connections to a peer. If both ends
// dialed at once, the one dialed by the lower ID is kept; otherwise the newer one, since
// the end that dialed it has given up the older one.
func (n *Node) keepsOlder(older, newer *conn) bool {
	if older.dialed == newer.dialed || newer.opened.Sub(older.opened) > simultaneousDialWindow {
		return false
	}
	return older.dialed == (n.options.ID < older.peer)
}

// handleDisconnect reports the end of a connection to the engine, unless another connection
// has replaced it.
func (n *Node) handleDisconnect(c *conn) {
	n.step(func(now time.Time) []engine.Action {
		if n.conns[c.peer] != c {
			return nil
		}
		delete(n.conns, c.peer)
		n.options.Logger.Info("mesh connection closed", "peer", c.peer)
		return n.engine.Disconnected(c.peer, now)
	})
}

// dropConn closes the connection to a peer whose link the engine has dropped. The caller
// holds the lock.
func (n *Node) dropConn(peer fleet.InstanceID) {
	c := n.conns[peer]
	if c == nil {
		return
	}
	delete(n.conns, peer)
	n.options.Logger.Info("mesh connection dropped by this instance", "peer", peer)
	c.close(closeUnresponsive, "silent")
}

// send passes a message to a peer's connection. The caller holds the lock.
func (n *Node) send(s engine.Send) {
	if c := n.conns[s.To]; c != nil {
		c.send(s.Message)
	}
}
