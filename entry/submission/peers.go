package submission

import (
	"context"
	"errors"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

var errNoPeers = verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "calls to other entry instances are not configured")

// callPeer calls a method on a peer and decodes its reply.
func callPeer[Reply, Request any](ctx context.Context, d *Deduplicator, peer fleet.InstanceID, method string, request Request) (Reply, error) {
	var zero Reply
	if d.options.Peers == nil {
		return zero, errNoPeers
	}
	payload, err := encodeMessage(request)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.PeerTimeout)
	defer cancel()
	response, err := d.options.Peers.Call(ctx, peer, method, payload)
	if err != nil {
		return zero, err
	}
	return decodeMessage[Reply](response)
}

// typedHandler returns a Handler that decodes the request and encodes the reply of
// handle.
func typedHandler[Request, Reply any](handle func(from fleet.InstanceID, request Request) Reply) Handler {
	return func(_ context.Context, from fleet.InstanceID, payload []byte) ([]byte, error) {
		request, err := decodeMessage[Request](payload)
		if err != nil {
			e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the message cannot be decoded")
			e.Err = err
			return nil, e
		}
		return encodeMessage(handle(from, request))
	}
}

// Register registers the handlers for calls from other entry instances.
func (d *Deduplicator) Register(peers HandlerRegistry) {
	peers.Handle(MethodBegin, typedHandler(d.serveBegin))
	peers.Handle(MethodFinish, typedHandler(d.serveFinish))
	peers.Handle(MethodState, typedHandler(d.serveState))
}

// serveBegin grants a ticket minted by this entry instance to another one.
func (d *Deduplicator) serveBegin(_ fleet.InstanceID, r beginRequest) beginReply {
	key := Key{Tenant: r.Tenant, Value: r.Ticket}
	t, err := decodeTicket(r.Ticket)
	if err != nil {
		return refusedReply(invalidTicket())
	}
	if refusal := d.grantTicket(key, t, r.Grant, r.NotRun, r.Attempt); refusal != nil {
		return refusedReply(refusal)
	}
	return beginReply{}
}

func refusedReply(e *verdict.Error) beginReply {
	reply := beginReply{Code: e.Code, Verdict: e.Verdict, Detail: e.Detail}
	var d *DuplicateError
	if errors.As(e, &d) {
		reply.State = stateOf(view{phase: d.Phase, outcome: d.Outcome})
	}
	return reply
}

// err returns the refusal that a reply carries, or nil.
func (r beginReply) err() *verdict.Error {
	switch r.Code {
	case "":
		return nil
	case verdict.CodeDuplicate:
		return duplicate(r.State.view())
	default:
		return verdict.New(r.Verdict, r.Code, r.Detail)
	}
}

// serveFinish records the outcome of a ticket's submission at another entry instance.
func (d *Deduplicator) serveFinish(_ fleet.InstanceID, r finishRequest) finishReply {
	key := Key{Tenant: r.Tenant, Value: r.Ticket}
	d.memory.end(key, r.Grant, r.Outcome.outcome().trimmed(d.options.KeepBodyBytes), d.now())
	return finishReply{}
}

// serveState returns the state of the submission behind a claim of this entry
// instance.
func (d *Deduplicator) serveState(_ fleet.InstanceID, r stateRequest) stateReply {
	return stateOf(d.localState(Key{Tenant: r.Tenant, Value: r.Value}, r.Grant))
}

// localState returns the state of a grant made in this run of this entry instance;
// PhaseUnknown if its memory has no record of the grant.
func (d *Deduplicator) localState(key Key, grant grantID) view {
	seen, known := d.memory.lookup(key, d.now())
	if !known {
		return view{}
	}
	phase := seen.phaseOfGrant(grant)
	if phase != PhaseEnded {
		return view{phase: phase}
	}
	return view{phase: phase, outcome: seen.outcome}
}

// claimState requests the state of a claim from its holder. If the holder does not
// respond or has no record of the grant, the state stored in the claim applies.
func (d *Deduplicator) claimState(ctx context.Context, key Key, c claim) view {
	state := d.holderState(ctx, key, c)
	if state.phase == PhaseUnknown {
		return c.view()
	}
	return state
}

func (d *Deduplicator) holderState(ctx context.Context, key Key, c claim) view {
	if c.Owner == d.mint.self {
		return d.localState(key, c.Grant)
	}
	if c.Owner == "" {
		return view{}
	}
	request := stateRequest{Tenant: key.Tenant, Value: key.Value, Grant: c.Grant}
	reply, err := callPeer[stateReply](ctx, d, c.Owner, MethodState, request)
	if err != nil {
		return view{}
	}
	return reply.view()
}
