package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

var testNow = time.Unix(1000, 0)

// at returns a time long enough after that of smaller numbers for another change of a ledger.
func at(n int) time.Time { return testNow.Add(time.Duration(n) * time.Second) }

// newBook returns the loaded book of service "a", one of four, for a tenant with a limit of 120 cores.
func newBook() *Book {
	b := NewBook("a")
	setLimit(b, cores(120))
	b.Loaded()
	return b
}

func setLimit(b *Book, limit job.Resources) {
	b.SetTenants([]cluster.Tenant{{Name: testTenant, Limit: limit}}, 4)
}

func usableCores(b *Book) int64 { return b.accounts[testTenant].usable.Total.MilliCPU / 1000 }

// ledgerOf returns a ledger with the portions of "a", "b" and so on, in cores.
func ledgerOf(portions ...int64) Ledger {
	l := Ledger{Tenant: testTenant, Limit: cores(120), Services: map[cluster.Service]Allotment{}}
	for i, portion := range portions {
		l.Services[cluster.Service(rune('a'+i))] = Allotment{Portion: cores(portion)}
	}
	return l
}

func use(used, blocked, task int64) []Use {
	return []Use{{Tenant: testTenant, Used: cores(used), Blocked: cores(blocked), Task: cores(task)}}
}

// No service gets more than it demands, or less than it demands while another one has more; the limit is
// used up unless all demands are met; resources without limit are not divided.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := job.Resources{MilliCPU: rapid.Int64Range(1, 1000).Draw(t, "limit")}
		demands := map[cluster.Service]job.Resources{}
		var sum job.Resources
		for i := range rapid.IntRange(1, 6).Draw(t, "services") {
			d := job.Resources{MilliCPU: rapid.Int64Range(0, 600).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 600).Draw(t, "memory")}
			demands[cluster.Service(fmt.Sprint(i))] = d
			sum = sum.Add(d)
		}
		var total int64
		parts := Divide(limit, demands)
		for service, part := range parts {
			total += part.MilliCPU
			assert.Equal(t, part.MemoryMB, demands[service].MemoryMB)
			assert.Assert(t, part.MilliCPU <= demands[service].MilliCPU)
			for _, other := range parts {
				unfair := part.MilliCPU < demands[service].MilliCPU && other.MilliCPU > part.MilliCPU+1
				assert.Assert(t, !unfair, "%+v of %+v", parts, demands)
			}
		}
		assert.Equal(t, total, min(limit.MilliCPU, sum.MilliCPU))
	})
}

// A stored ledger that can't be trusted must not be used; one of a later version can.
func TestDecodeChecksWhatWasStored(t *testing.T) {
	l, err := Decode([]byte(`{"tenant":"t","limit":{"cpu":5},"later":1,"services":{"a":{"portion":{"cpu":3},"later":{}}}}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Services["a"], Allotment{Portion: job.Resources{MilliCPU: 3}})
	for _, value := range []string{
		`{not JSON`, `{"limit":{"cpu":5}}`, `{"tenant":"t","limit":{"cpu":-1}}`,
		`{"tenant":"t","services":{"a":{"portion":{"gpu":-1}}}}`, `{"tenant":"t","services":{"a":{"portion":{},"demand":{"mem":-1}}}}`,
	} {
		_, err := Decode([]byte(value))
		assert.Assert(t, err != nil, value)
	}
}

// A tenant without limits has no ledger, and a resource without limit is never a constraint.
func TestOnlyLimitedResourcesAreDivided(t *testing.T) {
	b := NewBook("a")
	b.SetTenants([]cluster.Tenant{{Name: "free"}, {Name: testTenant, Limit: job.Resources{MemoryMB: 100}}}, 4)
	b.Loaded()
	changes := b.Plan([]Use{
		{Tenant: "free", Used: cores(1000)},
		{Tenant: testTenant, Used: cores(1000), Blocked: job.Resources{MilliCPU: 1, MemoryMB: 30}, Task: job.Resources{MilliCPU: 1, MemoryMB: 30}},
	}, testNow)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0].Ledger.Services, map[cluster.Service]Allotment{"a": {Portion: job.Resources{MemoryMB: 37}}})
	b.Applied(1)
	assert.Equal(t, b.accounts[testTenant].usable.Total, job.Resources{MilliCPU: Unlimited, MemoryMB: 37, GPU: Unlimited})
}

// A portion is claimed once; while its use stays within it, nothing more is written.
func TestTenantFarBelowItsLimitCostsOneWrite(t *testing.T) {
	b := newBook()
	writes := 0
	for i := range 1000 {
		uses := use(int64(i%30), 0, 0)
		if writes == 0 {
			uses = use(0, 8, 8)
		}
		if len(b.Plan(uses, testNow.Add(time.Duration(i)*100*time.Millisecond))) > 0 {
			writes++
			b.Applied(int64(writes))
		}
	}
	assert.Equal(t, writes, 1)
	assert.Equal(t, usableCores(b), int64(30))
}

// A raised portion is not used before its write is acknowledged, and a lowered one not after the write
// was planned, whatever becomes of the write.
func TestTheSmallerPortionCountsWhileAWriteIsOpen(t *testing.T) {
	b := newBook()
	assert.Equal(t, len(b.Plan(use(0, 60, 10), at(1))), 1)
	assert.Equal(t, usableCores(b), int64(0))
	b.Refused() // nothing is stored
	assert.Equal(t, usableCores(b), int64(0))
	assert.Equal(t, len(b.Plan(use(0, 60, 10), at(2))), 1)
	b.Applied(1)
	assert.Equal(t, usableCores(b), int64(75))

	l := b.accounts[testTenant].ledger.with("b", Allotment{Portion: cores(45), Demand: cores(90), Task: cores(10), Turn: 1})
	b.SetLedger(l, 2)
	assert.Equal(t, len(b.Plan(use(20, 0, 0), at(3))), 1)
	lowered := usableCores(b)
	assert.Equal(t, lowered, int64(30))
	assert.Equal(t, len(b.Plan(use(lowered, 40, 10), at(4))), 0) // one write at a time
	b.SetLedger(l, 2)                                            // repeated by a listing
	assert.Equal(t, usableCores(b), lowered)
	b.Refused()
}

// The limit is lowered between a plan and its commit: the new limit counts at once, and what is above
// it is returned as runs end.
func TestLimitLoweredBetweenPlanAndCommit(t *testing.T) {
	b := newBook()
	b.SetLedger(ledgerOf(0, 40), 1)
	assert.Equal(t, len(b.Plan(use(0, 80, 10), at(1))), 1)
	setLimit(b, cores(60))
	b.Applied(2)
	assert.Equal(t, usableCores(b), int64(20))
	changes := b.Plan(use(5, 0, 0), at(2))
	assert.Equal(t, changes[0].Ledger.Services["a"].Portion, cores(20))
	assert.Equal(t, changes[0].Ledger.Limit, cores(60))
	b.Applied(3)
	setLimit(b, cores(30))
	assert.Equal(t, usableCores(b), int64(0))
	assert.Equal(t, b.Plan(use(5, 0, 0), at(3))[0].Ledger.Services["a"].Portion, cores(5))
}

// While a ledger can't be read, its tenant uses what is held here, and nothing is written. A tenant of
// which nothing else is known uses nothing.
func TestUnreadableLedgerIsNeitherChangedNorExceeded(t *testing.T) {
	b := newBook()
	b.SetLedger(ledgerOf(30, 40), 1)
	b.SetUnreadable(testTenant, 2)
	b.SetUnreadable("unknown", 2)
	assert.Equal(t, len(b.Plan(use(30, 50, 10), at(1))), 0)
	assert.Equal(t, usableCores(b), int64(30))
	assert.Equal(t, b.accounts["unknown"].usable, Usable{Tenant: "unknown", Limited: true})
	b.SetLedger(ledgerOf(30, 40), 3)
	assert.Equal(t, len(b.Plan(use(30, 50, 10), at(2))), 1)
}

// A task that needs more than the limit is alone: its portion is granted only while nothing is allotted
// to other services.
func TestTaskAboveTheLimitStartsOnlyAlone(t *testing.T) {
	b := newBook()
	b.SetLedger(ledgerOf(30, 40), 1)
	changes := b.Plan(use(0, 200, 200), at(1))
	assert.Equal(t, changes[0].Ledger.Services["a"].Portion, cores(30))
	assert.Equal(t, changes[0].Ledger.Services["a"].Demand, cores(120)) // the others return all
	b.Applied(2)
	assert.Equal(t, b.accounts[testTenant].usable.Alone, job.Resources{MemoryMB: 0})
	b.SetLedger(ledgerOf(30), 3)
	assert.Equal(t, b.Plan(use(0, 200, 200), at(2))[0].Ledger.Services["a"].Portion, cores(200))
	b.Applied(4)
	assert.Equal(t, usableCores(b), int64(120))
	assert.Equal(t, b.accounts[testTenant].usable.Alone.MilliCPU, cores(200).MilliCPU)
}

// One transaction has room for 14 ledgers: those of the tenants that lack most go first.
func TestNeediestTenantsGoFirst(t *testing.T) {
	b := NewBook("a")
	var tenants []cluster.Tenant
	var uses []Use
	for i := range 20 {
		name := cluster.TenantName(strings.Repeat("t", i+1))
		tenants = append(tenants, cluster.Tenant{Name: name, Limit: cores(100)})
		uses = append(uses, Use{Tenant: name, Blocked: cores(int64(1 + i)), Task: cores(1)})
	}
	b.SetTenants(tenants, 4)
	b.Loaded()
	changes := b.Plan(uses, testNow)
	assert.Equal(t, len(changes), MaxChanges)
	for i, c := range changes {
		assert.Equal(t, len(c.Ledger.Tenant), 20-i)
	}
}

// BenchmarkPlan measures a plan of an owner of one of n services with tenants that use something of it
// and don't reach their limits. The use of every fourth has changed since the last plan.
func BenchmarkPlan(b *testing.B) {
	for _, tenants := range []int{20, 200, 2000} {
		for _, services := range []int{4, 10, 40} {
			b.Run(fmt.Sprintf("tenants=%d/services=%d", tenants, services), func(b *testing.B) {
				book, uses := benchBook(tenants, services)
				for n := 0; b.Loop(); n++ {
					for i := n % 4; i < len(uses); i += 4 {
						uses[i].Used = cores(int64(5 + n%3))
					}
					if len(book.Plan(uses, testNow)) > 0 {
						b.Fatal("a change is planned")
					}
				}
			})
		}
	}
}

func benchBook(tenants, services int) (*Book, []Use) {
	book := NewBook("s0")
	var list []cluster.Tenant
	var uses []Use
	for i := range tenants {
		name := cluster.TenantName(fmt.Sprintf("tenant-%d", i))
		limit := cores(int64(10 * services))
		list = append(list, cluster.Tenant{Name: name, Limit: limit})
		uses = append(uses, Use{Tenant: name, Used: cores(5)})
		l := Ledger{Tenant: name, Limit: limit, Services: map[cluster.Service]Allotment{}}
		for s := range services {
			l.Services[cluster.Service(fmt.Sprintf("s%d", s))] = Allotment{Portion: cores(10)}
		}
		book.SetLedger(l, 1)
	}
	book.SetTenants(list, services)
	book.Loaded()
	return book, uses
}
