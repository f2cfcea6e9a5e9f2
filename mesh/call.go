package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// defaultCallTimeout applies if the caller's context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Handler serves the calls of one method. Its errors should wrap a verdict.Error; the
// caller treats other errors as may-have-run.
type Handler func(ctx context.Context, from fleet.InstanceID, payload []byte) ([]byte, error)

// Handle sets the handler of a method.
func (n *Node) Handle(method string, handler func(ctx context.Context, from fleet.InstanceID, payload []byte) ([]byte, error)) {
	n.handlers.Store(method, Handler(handler))
}

// Call runs a method on another entry instance and returns its response. Its errors are of
// type *verdict.Error and say whether the method may have run: NotRun if the request never
// reached the peer completely or the peer refused it.
func (n *Node) Call(ctx context.Context, peer fleet.InstanceID, method string, payload []byte) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	request, err := encodeRequest(ctx, method, payload)
	if err != nil {
		return nil, err
	}
	c, err := n.connTo(ctx, peer)
	if err != nil {
		return nil, callError(ctx, verdict.NotRun, verdict.CodeConnectFailed, "no connection to "+string(peer), err)
	}
	return c.call(ctx, request)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

func encodeRequest(ctx context.Context, method string, payload []byte) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, callError(ctx, verdict.NotRun, verdict.CodeTimeout, "no time left for the call", ctx.Err())
	}
	request := &wire.Request{Method: method, TimeoutMillis: max(remaining.Milliseconds(), 1), Payload: payload}
	data, err := wire.Encode(request)
	if err != nil {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun,
			Code:    verdict.CodeBodyTooLarge,
			Detail:  "the call could not be encoded",
			Err:     err,
		}
	}
	return data, nil
}

// connTo returns the open connection to a peer or opens one.
func (n *Node) connTo(ctx context.Context, peer fleet.InstanceID) (*conn, error) {
	n.mu.Lock()
	c := n.conns[peer]
	if c != nil {
		n.mu.Unlock()
		return c, nil
	}
	address, known := n.engine.AddressOf(peer)
	if !known || n.isStopped() {
		n.mu.Unlock()
		return nil, fmt.Errorf("instance %s is not a member, or this mesh node has stopped", peer)
	}
	d := n.startDial(address)
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
	}
	if d.err != nil {
		return nil, d.err
	}
	if d.conn.peer != peer {
		return nil, fmt.Errorf("another instance, %s, responds at %s", d.conn.peer, address)
	}
	return d.conn, nil
}

// call sends a request on its own stream. The peer runs it only after the end of the
// stream, so a request whose stream broke before Close has not run.
func (c *conn) call(ctx context.Context, request []byte) ([]byte, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, callError(ctx, verdict.NotRun, verdict.CodeConnectionLost, "the call was not sent", err)
	}
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if _, err := stream.Write(request); err != nil {
		abort(stream)
		c.suspect(ctx)
		return nil, callError(ctx, verdict.NotRun, verdict.CodeConnectionLost, "the call was interrupted while it was sent", err)
	}
	if err := stream.Close(); err != nil {
		abort(stream)
		return nil, callError(ctx, verdict.MayHaveRun, verdict.CodeConnectionLost, "the call was interrupted while its stream was being closed", err)
	}
	c.node.traffic.countSent(wire.KindRequest, len(request))
	data, err := c.node.budget.readMessage(stream)
	defer func() { c.node.budget.release(cap(data)) }()
	if err != nil {
		abort(stream)
		c.suspect(ctx)
		return nil, callError(ctx, verdict.MayHaveRun, verdict.CodeConnectionLost, "no response to the call", err)
	}
	return c.readResponse(data)
}

func abort(stream *quic.Stream) {
	stream.CancelRead(streamRefused)
	stream.CancelWrite(streamRefused)
}

// suspect notifies the engine if the call has timed out. The engine then checks the connection.
func (c *conn) suspect(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	c.node.step(func(now time.Time) []engine.Action { return c.node.engine.Suspect(c.peer, now) })
}

func (c *conn) readResponse(data []byte) ([]byte, error) {
	message, err := wire.Decode(data)
	response, ok := message.(*wire.Response)
	if err != nil || !ok {
		c.node.traffic.countRefused(reasonMalformed)
		return nil, &verdict.Error{
			Verdict: verdict.MayHaveRun,
			Code:    verdict.CodeResponseMismatched,
			Detail:  "the response to the call could not be decoded",
			Err:     err,
		}
	}
	c.node.traffic.countReceived(wire.KindResponse, len(data))
	if response.Code == "" {
		return response.Payload, nil
	}
	return nil, errorOf(response)
}

func errorOf(response *wire.Response) error {
	v, err := verdict.Parse(response.Verdict)
	if err != nil {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{
		Verdict:    v,
		Code:       verdict.Code(response.Code),
		Detail:     response.Detail,
		RetryAfter: time.Duration(response.RetryAfterMillis) * time.Millisecond,
	}
}

// callError returns the error of a call. If the caller's context has ended, the error has the
// code of the timeout or cancellation instead of the given one.
func callError(ctx context.Context, v verdict.Verdict, code verdict.Code, detail string, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = verdict.CodeTimeout
	case errors.Is(ctx.Err(), context.Canceled):
		code = verdict.CodeCanceled
	}
	return &verdict.Error{Verdict: v, Code: code, Detail: detail, Err: err}
}
