package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Unlimited is the usable amount of a resource without limit. It leaves room for sums.
const Unlimited = math.MaxInt64 / 4

// Use is what a tenant uses of one service.
type Use struct {
	Tenant cluster.TenantName
	// Used is the need of everything that may be running.
	Used job.Resources
	// Blocked is the need of what could start at once but for the tenant's portion.
	Blocked job.Resources
	// Task is the need of what would start next, if something is blocked.
	Task job.Resources
}

// Usable is what a tenant may have running in this owner's service.
type Usable struct {
	Tenant cluster.TenantName
	// Limited is false for a tenant without any limit; the other fields are zero then.
	Limited bool
	// Limit is the tenant's whole limit, Unlimited for resources without one.
	Limit job.Resources
	// Total is what may be running, Unlimited for resources without limit.
	Total job.Resources
	// Alone is what a single task may need if nothing else of the tenant is running.
	Alone job.Resources
}

// Change is a ledger to store under the condition that it still has the given revision.
type Change struct {
	Ledger   Ledger
	Revision int64 // zero: the ledger must not exist
	// Before is the former allotment of the service.
	Before Allotment
}

// Book holds the ledgers as the owner of one service knows them. It is not safe for concurrent use.
type Book struct {
	service  cluster.Service
	services int64
	loaded   bool // the stored ledgers are known
	limits   map[cluster.TenantName]vector
	accounts map[cluster.TenantName]*account
	planned  []Change // whose outcome is not known
	changed  map[cluster.TenantName]bool
}

// account is one tenant's ledger and what this owner knows besides.
type account struct {
	name     cluster.TenantName
	ledger   Ledger
	revision int64 // as a condition; zero if there is no ledger
	seen     int64 // the highest revision of the key
	// unreadable is set while the stored ledger can't be read.
	unreadable bool

	own    Allotment // of this service, as in the ledger
	others vector    // the portions of the other services together
	wanted vector    // what the other services demand beyond their portions

	use, plannedUse Use // now, and when the account was planned last
	// settled is set if the last plan would have the same result, were the use the same.
	settled bool
	pending *Allotment // as in the write in progress
	// bound holds the amounts that this service may use while the demands exceed the limit; they
	// are math.MaxInt64 for the resources of which that is not so.
	bound vector

	oversizedSince time.Time // since when the portion has been far more than needed; zero if it is not
	satisfiedAt    time.Time // since when the published demand is met; zero if it is not
	demandAt       time.Time // when the demand was planned last
	lackedSince    time.Time // since when other services have lacked something; zero if they don't
	changedAt      time.Time // when a change was planned last that was not refused
	usable         Usable    // as reported last
}

var noBound = vector{math.MaxInt64, math.MaxInt64, math.MaxInt64}

// NewBook returns a book without ledgers for the owner of a service.
func NewBook(service cluster.Service) *Book {
	return &Book{
		service: service, services: 1, limits: map[cluster.TenantName]vector{},
		accounts: map[cluster.TenantName]*account{}, changed: map[cluster.TenantName]bool{},
	}
}

// SetTenants applies the configured tenants, and how many services there are. A tenant that is
// missing keeps the limit in its ledger.
func (b *Book) SetTenants(tenants []cluster.Tenant, services int) {
	b.services = max(1, int64(services))
	b.limits = make(map[cluster.TenantName]vector, len(tenants))
	for _, t := range tenants {
		b.limits[t.Name] = vectorOf(t.Limit)
		if t.Limit != (job.Resources{}) {
			b.account(t.Name)
		}
	}
	for _, a := range b.accounts {
		b.refresh(a)
	}
}

// Loaded records that all stored ledgers have been passed to SetLedger. Before that, nothing of a
// limited tenant may be used.
func (b *Book) Loaded() { b.loaded = true }

func (b *Book) account(name cluster.TenantName) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name, bound: noBound, ledger: Ledger{Tenant: name}}
		b.accounts[name] = a
	}
	return a
}

// SetLedger applies a ledger with the revision at which it was read.
func (b *Book) SetLedger(l Ledger, revision int64) {
	a := b.account(l.Tenant)
	if revision < a.seen {
		return // an older event of the store
	}
	a.seen, a.revision, a.unreadable = revision, revision, false
	a.setLedger(l, b.service)
	b.refresh(a)
}

// RemoveLedger records that a tenant's ledger was removed at the given revision.
func (b *Book) RemoveLedger(tenant cluster.TenantName, revision int64) {
	a := b.account(tenant)
	if revision < a.seen {
		return
	}
	a.seen, a.revision, a.unreadable = revision, 0, false
	a.setLedger(Ledger{Tenant: tenant}, b.service)
	b.refresh(a)
}

// SetUnreadable records that a tenant's ledger can't be read. Until it can, the service uses what
// it holds and changes nothing.
func (b *Book) SetUnreadable(tenant cluster.TenantName, revision int64) {
	a := b.account(tenant)
	if revision < a.seen {
		return
	}
	a.seen, a.unreadable = revision, true
	b.refresh(a)
}

func (a *account) setLedger(l Ledger, service cluster.Service) {
	a.ledger, a.own, a.settled = l, l.Services[service], false
	a.others, a.wanted = vector{}, vector{}
	for name, allotment := range l.Services {
		if name == service {
			continue
		}
		portion := vectorOf(allotment.Portion)
		a.others = a.others.add(portion)
		a.wanted = a.wanted.add(vectorOf(allotment.Demand).sub(portion).max(vector{}))
	}
}

// limit returns the tenant's limit, which is zero for resources without one.
func (b *Book) limit(a *account) vector {
	if limit, configured := b.limits[a.name]; configured {
		return limit
	}
	return vectorOf(a.ledger.Limit)
}

// limited reports whether the tenant has a limit. Without one that can be read, a ledger that is not
// readable is taken for a limit of zero.
func (b *Book) limited(a *account) bool {
	_, configured := b.limits[a.name]
	return b.limit(a) != vector{} || a.unreadable && !configured
}

// refresh notes whether what may be used of the tenant's limit has changed.
func (b *Book) refresh(a *account) {
	a.settled = false
	b.noteUsable(a)
}

func (b *Book) noteUsable(a *account) {
	if usable := b.usable(a); usable != a.usable {
		a.usable = usable
		b.changed[a.name] = true
	}
}

func (b *Book) usable(a *account) Usable {
	if !b.limited(a) {
		return Usable{Tenant: a.name}
	}
	limit, portion := b.limit(a), vectorOf(a.own.Portion)
	if a.pending != nil {
		portion = portion.min(vectorOf(a.pending.Portion))
	}
	u := Usable{Tenant: a.name, Limited: true}
	if b.loaded {
		within := portion.min(limit.sub(a.others).max(vector{}))
		u.Total = unlimitedWhere(limit, a, within.min(a.bound))
		if a.others.where(limit) == (vector{}) && limit.fits(a.bound) {
			u.Alone = unlimitedWhere(limit, a, portion)
		}
	}
	u.Limit = unlimitedWhere(limit, a, limit)
	return u
}

// unlimitedWhere returns v with Unlimited for the resources without limit. A limit that is not known
// counts as zero.
func unlimitedWhere(limit vector, a *account, v vector) job.Resources {
	for i := range v {
		if limit[i] == 0 && !(a.unreadable && limit == vector{}) {
			v[i] = Unlimited
		}
	}
	return v.resources()
}

// TakeUsable returns what may be used now of the tenants for which that has changed since the last
// call, by name.
func (b *Book) TakeUsable() []Usable {
	if len(b.changed) == 0 {
		return nil
	}
	list := make([]Usable, 0, len(b.changed))
	for _, name := range slices.Sorted(maps.Keys(b.changed)) {
		list = append(list, b.accounts[name].usable)
	}
	clear(b.changed)
	return list
}

// Applied records that the planned changes were stored at the given revision.
func (b *Book) Applied(revision int64) {
	for _, c := range b.takePlanned() {
		b.SetLedger(c.Ledger, revision)
	}
}

// Refused records that a condition of the planned changes did not hold, so that none of them was or
// will be stored unless what is stored now shows it. The caller passes the present ledgers to
// SetLedger before.
func (b *Book) Refused() {
	for _, c := range b.takePlanned() {
		b.accounts[c.Ledger.Tenant].changedAt = time.Time{}
	}
}

func (b *Book) takePlanned() []Change {
	planned := b.planned
	b.planned = nil
	for _, c := range planned {
		a := b.accounts[c.Ledger.Tenant]
		a.pending = nil
		b.refresh(a)
	}
	return planned
}

// Holding describes a tenant's use of this service, for metrics.
type Holding struct {
	Tenant               cluster.TenantName
	Used, Portion, Limit job.Resources
}

// Holdings returns the tenants with a limit, by name.
func (b *Book) Holdings() []Holding {
	var list []Holding
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		if a := b.accounts[name]; b.limited(a) {
			list = append(list, Holding{Tenant: name, Used: a.use.Used, Portion: a.own.Portion, Limit: b.limit(a).resources()})
		}
	}
	return list
}
