package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// serveCalls serves the peer's calls, up to maxCallsPerPeer at a time.
func (c *conn) serveCalls() {
	ctx := c.quic.Context()
	for {
		stream, err := c.quic.AcceptStream(ctx)
		if err != nil {
			return
		}
		c.node.goroutines.Go(func() { c.serveCall(ctx, stream) })
	}
}

func (c *conn) serveCall(ctx context.Context, stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(streamTimeout))
	data, err := c.node.budget.readMessage(stream)
	defer func() { c.node.budget.release(cap(data)) }()
	if errors.Is(err, errOverBudget) {
		c.node.traffic.countRefused(reasonOverBudget)
		c.respond(stream, refusedResponse(verdict.CodeQueueFull, "the messages in memory exceed the instance's limit"))
		return
	}
	if err != nil {
		c.node.traffic.countRefused(reasonOf(err))
		abort(stream)
		return
	}
	c.respond(stream, c.runCall(ctx, data))
}

// runCall runs one call and returns its response. It responds with the verdict not-run if no
// handler was started. An error of the handler keeps its own verdict.
func (c *conn) runCall(ctx context.Context, data []byte) *wire.Response {
	message, err := wire.Decode(data)
	if err != nil {
		c.node.traffic.countRefused(reasonOf(err))
		return refusedResponse(verdict.CodeBadRequest, "the call could not be decoded")
	}
	request, ok := message.(*wire.Request)
	if !ok {
		c.node.traffic.countRefused(reasonMalformed)
		return refusedResponse(verdict.CodeBadRequest, "the message is not a call")
	}
	c.node.traffic.countReceived(wire.KindRequest, len(data))
	handler, ok := c.node.handlers.Load(request.Method)
	if !ok {
		return refusedResponse(verdict.CodeBadRequest, "no such method: "+request.Method)
	}
	if request.TimeoutMillis > 0 {
		timeout := time.Duration(request.TimeoutMillis) * time.Millisecond
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	payload, err := handler.(Handler)(ctx, c.peer, request.Payload)
	if err != nil {
		return responseOf(err)
	}
	return &wire.Response{Payload: payload}
}

func (c *conn) respond(stream *quic.Stream, response *wire.Response) {
	data, err := wire.Encode(response)
	if err != nil {
		c.node.traffic.countRefused(reasonTooLarge)
		data, err = wire.Encode(responseOf(&verdict.Error{
			Verdict: verdict.Ran,
			Code:    verdict.CodeResponseTooLarge,
			Detail:  "the response exceeds the size limit",
		}))
	}
	if err != nil {
		abort(stream)
		return
	}
	stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := stream.Write(data); err != nil {
		abort(stream)
		return
	}
	stream.Close()
	c.node.traffic.countSent(wire.KindResponse, len(data))
}

func refusedResponse(code verdict.Code, detail string) *wire.Response {
	return &wire.Response{Code: string(code), Verdict: verdict.NotRun.String(), Detail: detail}
}

func responseOf(err error) *wire.Response {
	response := &wire.Response{
		Code:    string(verdict.CodeOf(err)),
		Verdict: verdict.Of(err).String(),
		Detail:  err.Error(),
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		response.Detail = e.Detail
		response.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	return response
}
