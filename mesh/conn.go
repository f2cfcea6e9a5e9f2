package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// Parameters of a connection; streamTimeout bounds the reading of a message and the writing of
// a response.
const (
	handshakeTimeout     = time.Second
	idleTimeout          = 20 * time.Second
	streamTimeout        = 10 * time.Second
	streamWindowBytes    = 64 << 10
	maxStreamWindowBytes = 256 << 10
	connWindowBytes      = 128 << 10
	maxConnWindowBytes   = 512 << 10
	maxCallsPerPeer      = 64
	maxMessageStreams    = 16
	sendQueueMessages    = 128
	heartbeatKindByte    = byte(wire.KindHeartbeat)
)

// Application error codes with which connections and streams are closed.
const (
	closeLeaving      quic.ApplicationErrorCode = 1
	closeUnresponsive quic.ApplicationErrorCode = 2
	closeDuplicate    quic.ApplicationErrorCode = 3
	closeIdentity     quic.ApplicationErrorCode = 4

	streamRefused quic.StreamErrorCode = 1
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
		MaxIncomingStreams:             maxCallsPerPeer,
		MaxIncomingUniStreams:          maxMessageStreams,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
	}
}

// conn is the connection to one peer.
type conn struct {
	node      *Node
	quic      *quic.Conn
	peer      fleet.InstanceID
	dialed    bool
	opened    time.Time
	sendQueue chan []byte
}

// start serves the connection until it ends.
func (c *conn) start() {
	c.node.goroutines.Go(c.writeMessages)
	c.node.goroutines.Go(c.readMessages)
	c.node.goroutines.Go(c.readHeartbeats)
	c.node.goroutines.Go(c.serveCalls)
}

func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	c.quic.CloseWithError(code, reason)
}

// send passes a message to the transport without blocking. If the queue is full, the
// message is dropped: later heartbeats show what the peer lacks, which is then sent again.
func (c *conn) send(message wire.Message) {
	data, err := wire.Encode(message)
	if err != nil {
		c.node.traffic.countRefused(reasonTooLarge)
		return
	}
	if message.Kind() == wire.KindHeartbeat {
		c.sendHeartbeat(data)
		return
	}
	select {
	case c.sendQueue <- data:
	default:
		c.node.traffic.countRefused(reasonQueueFull)
	}
}

func (c *conn) sendHeartbeat(data []byte) {
	if err := c.quic.SendDatagram(data); err != nil {
		c.node.traffic.countRefused(reasonQueueFull)
		return
	}
	c.node.traffic.countSent(wire.KindHeartbeat, len(data))
}

// writeMessages sends each queued message on its own stream, in order.
func (c *conn) writeMessages() {
	ctx := c.quic.Context()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-c.sendQueue:
			if err := c.writeMessage(ctx, data); err != nil {
				return
			}
		}
	}
}

func (c *conn) writeMessage(ctx context.Context, data []byte) error {
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if _, err := stream.Write(data); err != nil {
		return err
	}
	if err := stream.Close(); err != nil {
		return err
	}
	c.node.traffic.countSent(wire.Kind(data[0]), len(data))
	return nil
}

// readMessages reads the peer's messages one after the other, so that only one message per
// peer is in memory at a time.
func (c *conn) readMessages() {
	ctx := c.quic.Context()
	for {
		stream, err := c.quic.AcceptUniStream(ctx)
		if err != nil {
			c.node.handleDisconnect(c)
			return
		}
		c.readMessage(stream)
	}
}

func (c *conn) readMessage(stream *quic.ReceiveStream) {
	stream.SetReadDeadline(time.Now().Add(streamTimeout))
	data, err := c.node.budget.readMessage(stream)
	defer func() { c.node.budget.release(cap(data)) }()
	if err != nil {
		stream.CancelRead(streamRefused)
		c.node.traffic.countRefused(reasonOf(err))
		return
	}
	c.receive(data)
}

func (c *conn) readHeartbeats() {
	ctx := c.quic.Context()
	for {
		data, err := c.quic.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		if len(data) == 0 || data[0] != heartbeatKindByte || len(data) > wire.MaxHeartbeatBytes {
			c.node.traffic.countRefused(reasonMalformed)
			continue
		}
		c.receive(data)
	}
}

func (c *conn) receive(data []byte) {
	message, err := wire.Decode(data)
	if err != nil {
		c.node.traffic.countRefused(reasonOf(err))
		return
	}
	c.node.traffic.countReceived(message.Kind(), len(data))
	c.node.step(func(now time.Time) []engine.Action {
		if c.node.conns[c.peer] != c {
			return nil
		}
		return c.node.engine.Receive(c.peer, message, now)
	})
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, wire.ErrUnknownKind):
		return reasonUnknownKind
	case errors.Is(err, wire.ErrTooLarge):
		return reasonTooLarge
	case errors.Is(err, errOverBudget):
		return reasonOverBudget
	default:
		return reasonMalformed
	}
}
