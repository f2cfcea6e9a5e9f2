package submission

import (
	"context"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// beginTicket handles a submission identified by a ticket.
func (d *Deduplicator) beginTicket(ctx context.Context, key Key, attempt int) (Permit, error) {
	t, err := decodeTicket(key.Value)
	if err != nil {
		return nil, invalidTicket()
	}
	if t.minter != d.mint.self {
		return d.beginAtMinter(ctx, key, t.minter, attempt)
	}
	grant := newGrant()
	if refusal := d.grantTicket(key, t, grant, nil, attempt); refusal != nil {
		return nil, refusal
	}
	return d.newPermit(key, grant, nil), nil
}

// grantTicket grants a ticket minted by this entry instance, once. Records outlive
// their tickets, so an unexpired genuine ticket without a record was never granted.
func (d *Deduplicator) grantTicket(key Key, t ticket, grant grantID, notRun []grantID, attempt int) *verdict.Error {
	now := d.now()
	seen, known := d.memory.lookup(key, now)
	if t.minter != d.mint.self || t.incarnation != d.mint.incarnation {
		return minterReplaced(verdictByAttempt(attempt, known))
	}
	if !d.mint.genuine(t, key.Tenant) {
		return invalidTicket()
	}
	if !now.Before(t.expires()) {
		return d.refuseExpired(seen, known, attempt)
	}
	params := beginParams{key: key, grant: grant, notRun: notRun, expires: t.expires().Add(ticketMemoryMargin)}
	switch result, before := d.memory.begin(params, now); result {
	case beginDuplicate:
		return duplicate(before)
	case beginRefusedFull:
		return memoryFull(verdict.NotRun)
	}
	return nil
}

func (d *Deduplicator) refuseExpired(seen view, known bool, attempt int) *verdict.Error {
	if !known {
		return expiredTicket(verdictByAttempt(attempt, known))
	}
	if seen.phase == PhaseReleased {
		return expiredTicket(verdict.NotRun)
	}
	return duplicate(seen)
}

// beginAtMinter requests the grant from the entry instance that minted the ticket.
// Meanwhile the record in this entry instance's memory refuses further copies.
func (d *Deduplicator) beginAtMinter(ctx context.Context, key Key, minter fleet.InstanceID, attempt int) (Permit, error) {
	pending, refusal := d.recordPending(key, attempt)
	if refusal != nil {
		return nil, refusal
	}
	reply, err := callPeer[beginReply](ctx, d, minter, MethodBegin, beginRequest{
		Tenant:  key.Tenant,
		Ticket:  key.Value,
		Grant:   pending.grant,
		NotRun:  pending.before.notRun,
		Attempt: pending.attempt,
	})
	if err != nil {
		d.releaseGrant(key, pending.grant)
		if verdict.Of(err) != verdict.NotRun {
			d.notifyMinter(key, minter, pending.grant, outcomeNotRun) // it may have granted the ticket
		}
		return nil, withContextCause(ctx, minterUnreachable(verdictByAttempt(pending.attempt, false), err))
	}
	if refusal := reply.err(); refusal != nil {
		d.adoptOutcome(key, pending.grant, reply.State.view())
		return nil, refusal
	}
	return d.newPermit(key, pending.grant, func(outcome Outcome) {
		d.notifyMinter(key, minter, pending.grant, outcome)
	}), nil
}

// notifyMinter sends the outcome of a grant to the ticket's minter in the background.
func (d *Deduplicator) notifyMinter(key Key, minter fleet.InstanceID, grant grantID, outcome Outcome) {
	message := finishRequest{Tenant: key.Tenant, Ticket: key.Value, Grant: grant, Outcome: toWire(outcome)}
	d.background.add(func(ctx context.Context) bool {
		_, err := callPeer[finishReply](ctx, d, minter, MethodFinish, message)
		return err == nil
	})
}
