package submission

import (
	"context"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// beginTicket decides about a submission that is named by a ticket.
func (k *Deduplicator) beginTicket(ctx context.Context, key Key, attempt int) (Permit, error) {
	t, err := decodeTicket(key.Value)
	if err != nil {
		return nil, invalidTicket()
	}
	if t.minter != k.mint.self {
		return k.beginAtMinter(ctx, key, t.minter, attempt)
	}
	grant := newGrant()
	if refusal := k.grantTicket(key, t, grant, nil, attempt); refusal != nil {
		return nil, refusal
	}
	return k.newPass(key, grant, nil), nil
}

// grantTicket grants a ticket minted here, once. No record of a ticket that is
// genuine and has not expired proves that it was never granted.
func (k *Deduplicator) grantTicket(key Key, t ticket, grant grantID, notRun []grantID, attempt int) *verdict.Error {
	now := k.now()
	seen, known := k.memory.look(key, now)
	if t.minter != k.mint.self || t.incarnation != k.mint.incarnation {
		return minterReplaced(vouched(attempt, known))
	}
	if !k.mint.genuine(t, key.Tenant) {
		return invalidTicket()
	}
	if !now.Before(t.expires()) {
		return k.refuseExpired(seen, known, attempt)
	}
	o := opening{key: key, grant: grant, notRun: notRun, expires: t.expires().Add(ticketMemoryMargin)}
	switch how, before := k.memory.begin(o, now); how {
	case startedBefore:
		return duplicate(before)
	case startRefusedFull:
		return memoryFull(verdict.NotRun)
	}
	return nil
}

func (k *Deduplicator) refuseExpired(seen view, known bool, attempt int) *verdict.Error {
	if !known {
		return expiredTicket(vouched(attempt, known))
	}
	if seen.phase == PhaseReleased {
		return expiredTicket(verdict.NotRun)
	}
	return duplicate(seen)
}

// beginAtMinter asks the entry instance that minted the ticket. The record made
// here holds back further copies meanwhile.
func (k *Deduplicator) beginAtMinter(ctx context.Context, key Key, minter fleet.InstanceID, attempt int) (Permit, error) {
	opened, refusal := k.open(key, attempt)
	if refusal != nil {
		return nil, refusal
	}
	reply, err := ask[beginReply](ctx, k, minter, MethodBegin, beginRequest{
		Tenant:  key.Tenant,
		Ticket:  key.Value,
		Grant:   opened.grant,
		NotRun:  opened.before.notRun,
		Attempt: opened.attempt,
	})
	if err != nil {
		k.giveUp(key, opened.grant)
		if verdict.Of(err) != verdict.NotRun {
			k.tellMinter(key, minter, opened.grant, notRun) // it may have granted the ticket
		}
		return nil, ended(ctx, minterUnreachable(vouched(opened.attempt, false), err))
	}
	if refusal := reply.err(); refusal != nil {
		k.adopt(key, opened.grant, reply.State.view())
		return nil, refusal
	}
	return k.newPass(key, opened.grant, func(outcome Outcome) {
		k.tellMinter(key, minter, opened.grant, outcome)
	}), nil
}

// tellMinter passes on how a grant ended.
func (k *Deduplicator) tellMinter(key Key, minter fleet.InstanceID, grant grantID, outcome Outcome) {
	message := finishRequest{Tenant: key.Tenant, Ticket: key.Value, Grant: grant, Outcome: toWire(outcome)}
	k.background.add(func(ctx context.Context) bool {
		_, err := ask[finishReply](ctx, k, minter, MethodFinish, message)
		return err == nil
	})
}
