package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/quota"
)

const (
	// ledgerWriteInterval is the minimum time between two writes of ledgers, unless the last one
	// was refused: then its answer has shown the present ledgers. See refusedRetry.
	ledgerWriteInterval = 30 * time.Millisecond
	// ledgerPlanInterval is the minimum time between two plans.
	ledgerPlanInterval = 10 * time.Millisecond
	// ledgerPauseFactor is the pause after a plan, as a multiple of the time that it took: with
	// thousands of tenants, plans must leave the processor to starts.
	ledgerPauseFactor = 16
	// ledgerPause lets changes of several owners accumulate between two watches.
	ledgerPause = 10 * time.Millisecond
	// A watch without events is followed by a listing of all ledgers. The time before that grows with
	// their number, so that listings take a bounded part of the store's reads.
	ledgerWaitEach = 5 * time.Millisecond
	minLedgerWait  = 1 * time.Second
	maxLedgerWait  = 10 * time.Second
	// maxLedgerLines bounds the log lines about portions between two reports.
	maxLedgerLines = 20
)

// refusedRetry spaces plans after writes that were refused in a row, of which the first is followed at
// once: owners that write the same ledger would go on refusing each other.
var refusedRetry = backoff.Policy{Base: 10 * time.Millisecond, Cap: 200 * time.Millisecond}

// ledgers are the tenants' ledgers as an owner knows them, and the write in progress.
type ledgers struct {
	book       *quota.Book // nil until a configured tenant has a limit
	tenants    map[string]cluster.TenantName
	unreadable map[string]kv.Revision // ledgers that can't be read, by key
	uses       []quota.Use
	writing    bool
	refused    int // writes refused in a row
	nextWrite  time.Time
	nextPlan   time.Time
	logLines   int // since the last report
	dropped    int // log lines left out since the last report
}

// limitsTenants reports whether a configured tenant has a limit.
func limitsTenants(c *cluster.Config) bool {
	if c == nil {
		return false
	}
	for _, t := range c.Tenants {
		if t.Limit != (job.Resources{}) {
			return true
		}
	}
	return false
}

// applyTenants passes the configured limits to the ledgers. Until a configuration with limits is in
// force, the ledgers are neither read nor followed; from then on they are for the rest of the term,
// since jobs of tenants that are no longer configured keep their limits.
func (o *Owner) applyTenants(c *cluster.Config) {
	if o.ledgers.book == nil {
		if !limitsTenants(c) {
			return
		}
		o.ledgers.book = quota.NewBook(o.Service)
		o.ledgers.tenants = map[string]cluster.TenantName{}
		o.ledgers.unreadable = map[string]kv.Revision{}
		go o.followLedgers(len(c.Tenants))
	}
	services := 0
	for _, pool := range c.Pools {
		if !pool.Spare {
			services++
		}
	}
	for _, t := range c.Tenants {
		o.knowTenant(t.Name)
	}
	o.ledgers.book.SetTenants(c.Tenants, services)
	o.passUsable()
}

// knowTenant notes the key of a tenant's ledger.
func (o *Owner) knowTenant(tenant cluster.TenantName) {
	l := &o.ledgers
	key := layout.QuotaKey(tenant)
	if _, known := l.tenants[key]; known {
		return
	}
	l.tenants[key] = tenant
	if revision, unreadable := l.unreadable[key]; unreadable {
		l.book.SetUnreadable(tenant, int64(revision))
	}
}

// followLedgers applies changes of the ledgers until the term ends. Its first listing is read after the
// term began, so that no write of an earlier owner of this service follows it.
func (o *Owner) followLedgers(tenants int) {
	f := follow.Follower{
		Store: o.Store, Prefix: layout.QuotaPrefix, Pause: ledgerPause, Logger: o.Logger,
		Wait:  min(maxLedgerWait, max(minLedgerWait, time.Duration(tenants)*ledgerWaitEach)),
		Apply: func(c follow.Change) { o.send(func(time.Time) { o.applyLedgers(c) }) },
	}
	f.Run(o.ctx)
}

// applyLedgers applies changes of the ledgers. A listing that lacks a ledger may be older than the ledger:
// only an event removes one.
func (o *Owner) applyLedgers(c follow.Change) {
	for _, event := range c.Events {
		if event.Removed {
			o.removeLedger(event)
			continue
		}
		o.applyLedger(event.Item)
	}
	if c.Reset {
		o.ledgers.book.Loaded()
	}
	o.passUsable()
}

func (o *Owner) applyLedger(item kv.Item) {
	l := &o.ledgers
	ledger, err := quota.Decode(item.Value)
	if err == nil && layout.QuotaKey(ledger.Tenant) != item.Key {
		err = fmt.Errorf("ledger of %s: stored under another key", ledger.Tenant)
	}
	if err == nil {
		delete(l.unreadable, item.Key)
		l.tenants[item.Key] = ledger.Tenant
		l.book.SetLedger(ledger, int64(item.Revision))
		return
	}
	if l.unreadable[item.Key] != item.Revision {
		o.Logger.Error("ledger not readable: the tenant starts nothing beyond what is held here", "key", item.Key, "error", err)
	}
	l.unreadable[item.Key] = item.Revision
	if tenant, known := l.tenants[item.Key]; known {
		l.book.SetUnreadable(tenant, int64(item.Revision))
	}
}

func (o *Owner) removeLedger(event kv.Event) {
	delete(o.ledgers.unreadable, event.Key)
	if tenant, known := o.ledgers.tenants[event.Key]; known {
		o.ledgers.book.RemoveLedger(tenant, int64(event.Revision))
	}
}

// passUsable passes to the shard what tenants may use, where that has changed.
func (o *Owner) passUsable() {
	for _, u := range o.ledgers.book.TakeUsable() {
		o.shard.SetUsable(u)
	}
}

// storeLedgers starts the write of the ledgers that are to change, if none is in progress.
func (o *Owner) storeLedgers(now time.Time) {
	l := &o.ledgers
	if l.book == nil || now.Before(l.nextPlan) || !l.writing && now.Before(l.nextWrite) {
		return
	}
	start := time.Now()
	l.uses = o.shard.TenantUses(l.uses[:0])
	if len(l.unreadable) > 0 {
		for _, u := range l.uses {
			o.knowTenant(u.Tenant)
		}
	}
	changes := l.book.Plan(l.uses, now)
	l.nextPlan = now.Add(max(ledgerPlanInterval, ledgerPauseFactor*time.Since(start)))
	o.passUsable() // before the write is sent, so that a lowered portion is not used any more
	if len(changes) == 0 {
		return
	}
	txn, err := o.encodeLedgers(changes)
	if err != nil {
		o.Logger.Error("ledgers can't be stored; stepping down", "error", err)
		o.stepDown()
		return
	}
	l.writing, l.nextWrite = true, now.Add(ledgerWriteInterval)
	go o.writeLedgers(txn, changes)
}

func (o *Owner) encodeLedgers(changes []quota.Change) (kv.Txn, error) {
	txn := kv.Txn{Conditions: []kv.Condition{o.term.Condition()}}
	for _, c := range changes {
		key := layout.QuotaKey(c.Ledger.Tenant)
		value, err := layout.Encode(c.Ledger)
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, Revision: kv.Revision(c.Revision)})
		txn.Puts = append(txn.Puts, kv.Put{Key: key, Value: value})
	}
	return txn, nil
}

// writeLedgers repeats the same write until it is answered. A refusal of any attempt settles all of
// them: an earlier one either took effect, which the present ledgers show, or never will, since
// revisions do not return.
func (o *Owner) writeLedgers(txn kv.Txn, changes []quota.Change) {
	random := backoff.NewRandom()
	for attempt := 1; o.ctx.Err() == nil; attempt++ {
		result, err := o.attemptLedgers(txn, attempt)
		if err == nil {
			o.send(func(now time.Time) { o.settleLedgers(txn, result, changes, now) })
			return
		}
		if attempt == 1 {
			o.Logger.Warn("store did not take ledgers; retrying", "ledgers", len(changes), "error", err)
		}
		_ = backoff.Sleep(o.ctx, writeRetry.Delay(attempt, random)) // the loop checks ctx
	}
}

func (o *Owner) attemptLedgers(txn kv.Txn, number int) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(o.ctx, o.Store.Timeout(number))
	defer cancel()
	return o.Store.Txn(ctx, txn)
}

// errTermOver is why an owner whose condition on its term failed steps down.
var errTermOver = errors.New("another term has begun")

// settleLedgers applies the outcome of a write. A refused one shows the present ledgers, with which the
// next plan follows at once.
func (o *Owner) settleLedgers(txn kv.Txn, result kv.TxnResult, changes []quota.Change, now time.Time) {
	l := &o.ledgers
	l.writing = false
	o.Scope.Tagged(map[string]string{"outcome": ledgerOutcome(result)}).Counter("ledger_writes").Inc(1)
	o.logPortions(changes, result)
	if result.Applied {
		l.book.Applied(int64(result.Revision))
		o.passUsable()
		l.nextPlan, l.refused = now, 0
		return
	}
	current := map[string]kv.Item{}
	for _, item := range result.Current {
		current[item.Key] = item
	}
	for i, condition := range txn.Conditions {
		item, found := current[condition.Key]
		switch {
		case i == 0 && item.Revision != condition.Revision:
			o.Logger.Warn("ledgers refused; stepping down", "error", errTermOver)
			o.stepDown()
		case i == 0:
		case found:
			o.applyLedger(item)
		case condition.Revision != 0:
			// It is missing: its removal is newer than the revision on which the write was based.
			o.removeLedger(kv.Event{Item: kv.Item{Key: condition.Key, Revision: condition.Revision}, Removed: true})
		}
	}
	l.book.Refused()
	o.passUsable()
	l.nextWrite, l.nextPlan = now, now
	if l.refused > 0 {
		l.nextWrite = now.Add(refusedRetry.Delay(l.refused, backoff.NewRandom()))
	}
	l.refused++
}

func ledgerOutcome(result kv.TxnResult) string {
	if result.Applied {
		return "stored"
	}
	return "conflict"
}

// logPortions logs what became of changes of portions, up to maxLedgerLines between two reports.
func (o *Owner) logPortions(changes []quota.Change, result kv.TxnResult) {
	for _, c := range changes {
		after := c.Ledger.Services[o.Service]
		if after.Portion == c.Before.Portion {
			continue
		}
		if o.ledgers.logLines == maxLedgerLines {
			o.ledgers.dropped++
			continue
		}
		o.ledgers.logLines++
		message := "portion granted"
		switch {
		case !result.Applied:
			message = "portion not changed: another owner was first"
		case after.Portion.Fits(c.Before.Portion):
			message = "portion returned"
		}
		o.Logger.Info(message, "tenant", string(c.Ledger.Tenant), "before", c.Before.Portion, "after", after.Portion,
			"demand", after.Demand, "limit", c.Ledger.Limit, "revision", int64(result.Revision))
	}
}

// reportLedgers sets the gauges of the limited tenants, and logs how many lines were left out.
func (o *Owner) reportLedgers() {
	l := &o.ledgers
	if l.book == nil {
		return
	}
	if l.dropped > 0 {
		o.Logger.Info("further portions changed", "changes", l.dropped)
	}
	l.logLines, l.dropped = 0, 0
	for _, h := range l.book.Holdings() {
		o.measureTenant(h, 1)
	}
}

// measureTenant sets the gauges of one tenant, for each resource with a limit, to multiples of their
// values.
func (o *Owner) measureTenant(h quota.Holding, by float64) {
	scope := o.Scope.Tagged(map[string]string{"tenant": string(h.Tenant)})
	for _, r := range []struct {
		name                 string
		used, portion, limit int64
	}{
		{"cpu", h.Used.MilliCPU, h.Portion.MilliCPU, h.Limit.MilliCPU},
		{"mem", h.Used.MemoryMB, h.Portion.MemoryMB, h.Limit.MemoryMB},
		{"gpu", h.Used.GPU, h.Portion.GPU, h.Limit.GPU},
	} {
		if r.limit == 0 {
			continue
		}
		scope.Gauge("tenant_used_" + r.name).Update(by * float64(r.used))
		scope.Gauge("tenant_portion_" + r.name).Update(by * float64(r.portion))
		scope.Gauge("tenant_limit_" + r.name).Update(by * float64(r.limit))
	}
}

// resetLedgerGauges sets the gauges of the tenants to zero: another instance reports after this term.
func (o *Owner) resetLedgerGauges() {
	if o.ledgers.book == nil {
		return
	}
	for _, h := range o.ledgers.book.Holdings() {
		o.measureTenant(h, 0)
	}
}
