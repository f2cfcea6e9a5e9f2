package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

const (
	testTenant = cluster.TenantName("tenant")
	// storeTime is how long the store takes for a response, and watchTime for an event.
	storeTime = 4 * time.Millisecond
	watchTime = 10 * time.Millisecond
	testTick  = 4 * time.Millisecond
	// writeInterval is the minimum time between two writes of an owner.
	writeInterval = 30 * time.Millisecond
)

// world simulates a store with one tenant's ledger, and one owner at a time for each service, in
// virtual time. Attempts of writes may be lost, be applied late or have no response; owners are
// replaced, paused, and learn late of a changed limit.
type world struct {
	t        *rapid.T
	now      time.Time
	faults   bool
	revision int64
	ledger   Ledger
	stored   int64 // revision of the ledger; zero if there is none
	writes   int
	refused  int
	limit    job.Resources
	services []*serviceSim
	timers   []timer
}

type timer struct {
	at  time.Time
	run func()
}

type serviceSim struct {
	name    cluster.Service
	term    int
	owner   *ownerSim
	running []runSim
	ready   []job.Resources
}

type runSim struct {
	need job.Resources
	ends time.Time
}

type ownerSim struct {
	service     *serviceSim
	term        int
	book        *Book
	usable      Usable
	blocked     job.Resources
	limit       job.Resources
	pausedUntil time.Time
	nextWrite   time.Time
	attempt     int // increases with each planned write
	refused     int // in a row
}

func newWorld(t *rapid.T, limit job.Resources, services ...cluster.Service) *world {
	w := &world{t: t, now: time.Unix(1000, 0), limit: limit, ledger: Ledger{Tenant: testTenant}}
	for _, name := range services {
		s := &serviceSim{name: name}
		w.services = append(w.services, s)
		w.takeOver(s)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.timers = append(w.timers, timer{w.now.Add(d), run})
}

// takeOver replaces the owner of a service; the earlier one may go on as long as it is not aware.
func (w *world) takeOver(s *serviceSim) {
	s.term++
	o := &ownerSim{service: s, term: s.term, book: NewBook(s.name)}
	s.owner = o
	o.setLimit(w.limit, len(w.services))
	if w.stored > 0 {
		o.book.SetLedger(w.ledger, w.stored)
	}
	o.book.Loaded()
}

func (o *ownerSim) setLimit(limit job.Resources, services int) {
	o.limit = limit
	o.book.SetTenants([]cluster.Tenant{{Name: testTenant, Limit: limit}}, services)
}

func (s *serviceSim) used() job.Resources {
	var sum job.Resources
	for _, r := range s.running {
		sum = sum.Add(r.need)
	}
	return sum
}

func (w *world) used() job.Resources {
	var sum job.Resources
	for _, s := range w.services {
		sum = sum.Add(s.used())
	}
	return sum
}

func (w *world) step(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testTick) {
		due := w.timers
		w.timers = nil
		for _, t := range due {
			if t.at.After(w.now) {
				w.timers = append(w.timers, t)
				continue
			}
			t.run()
		}
		for _, s := range w.services {
			s.running = slices.DeleteFunc(s.running, func(r runSim) bool { return !w.now.Before(r.ends) })
			w.runOwner(s.owner)
		}
	}
}

func (w *world) runOwner(o *ownerSim) {
	if w.now.Before(o.pausedUntil) {
		return
	}
	o.takeUsable()
	w.start(o)
	if w.now.Before(o.nextWrite) {
		return
	}
	use := Use{Tenant: testTenant, Used: o.service.used(), Blocked: o.blocked}
	if o.blocked != (job.Resources{}) {
		use.Task = o.service.ready[0]
	}
	changes := o.book.Plan([]Use{use}, w.now)
	o.takeUsable()
	if len(changes) == 0 {
		return
	}
	o.nextWrite = w.now.Add(writeInterval)
	o.attempt++
	w.send(o, changes[0], o.attempt)
}

func (o *ownerSim) takeUsable() {
	for _, u := range o.book.TakeUsable() {
		o.usable = u
	}
}

// start starts the ready tasks in order, as far as the owner may.
func (w *world) start(o *ownerSim) {
	s := o.service
	o.blocked = job.Resources{}
	for len(s.ready) > 0 {
		need, used := s.ready[0], s.used()
		within := !o.usable.Limited || used.Add(need).Fits(o.usable.Total)
		alone := used == job.Resources{} && need.Fits(o.usable.Alone)
		if !within && !alone {
			for _, r := range s.ready[:min(len(s.ready), maxBlocked)] {
				o.blocked = o.blocked.Add(r)
			}
			return
		}
		w.checkStart(need)
		s.ready = s.ready[1:]
		s.running = append(s.running, runSim{need, w.now.Add(time.Duration(100+len(s.running)*37%400) * time.Millisecond)})
	}
}

// checkStart checks that a start stays within the highest limit that an owner may know, or is the
// only run of the tenant.
func (w *world) checkStart(need job.Resources) {
	highest := vectorOf(w.limit)
	for _, s := range w.services {
		highest = highest.max(vectorOf(s.owner.limit))
	}
	if used := w.used(); !used.Add(need).Fits(highest.resources()) && used != (job.Resources{}) {
		w.t.Fatalf("a start of %+v raises the use of %+v above the limit of %+v: %+v", need, used, highest, w.ledger)
	}
}

// send makes one attempt of a write, and repeats it until one is answered.
func (w *world) send(o *ownerSim, c Change, attempt int) {
	if o.attempt != attempt || o.service.owner != o {
		return
	}
	outcome := 9
	if w.faults {
		outcome = rapid.IntRange(0, 9).Draw(w.t, "outcome")
	}
	retry := func() { w.send(o, c, attempt) }
	switch outcome {
	case 0: // lost before it was applied
		w.after(200*time.Millisecond, retry)
	case 1: // applied, and the response lost
		w.after(storeTime, func() { w.apply(o, c) })
		w.after(200*time.Millisecond, retry)
	case 2: // applied late
		w.after(time.Duration(rapid.IntRange(100, 2000).Draw(w.t, "late"))*time.Millisecond, func() { w.apply(o, c) })
		w.after(200*time.Millisecond, retry)
	default:
		w.after(storeTime, func() { w.respond(o, attempt, w.apply(o, c)) })
	}
}

// apply applies a write if its conditions hold.
func (w *world) apply(o *ownerSim, c Change) bool {
	if o.term != o.service.term || c.Revision != w.stored {
		w.refused++
		return false
	}
	w.checkWrite(o, c)
	w.revision++
	w.writes++
	w.ledger, w.stored = c.Ledger, w.revision
	revision, ledger := w.revision, c.Ledger
	for _, s := range w.services {
		w.after(watchTime, func() { s.owner.book.SetLedger(ledger, revision) })
	}
	return true
}

// checkWrite checks that a portion is raised only within the limit, and never below the use.
func (w *world) checkWrite(o *ownerSim, c Change) {
	var sum vector
	for _, a := range c.Ledger.Services {
		sum = sum.add(vectorOf(a.Portion))
	}
	own := c.Ledger.Services[o.service.name].Portion
	if used := o.service.used(); !used.Fits(own) {
		w.t.Fatalf("%s lowers its portion to %+v, below its use of %+v", o.service.name, own, used)
	}
	raised := !own.Fits(w.ledger.Services[o.service.name].Portion)
	if raised && !sum.fits(vectorOf(c.Ledger.Limit)) && len(c.Ledger.Services) > 1 && sum != vectorOf(own) {
		w.t.Fatalf("%s raises its portion beyond the limit: %+v", o.service.name, c.Ledger)
	}
}

func (w *world) respond(o *ownerSim, attempt int, applied bool) {
	if o.attempt != attempt || o.service.owner != o {
		return
	}
	o.attempt++ // further attempts are not needed
	if applied {
		o.refused = 0
		o.book.Applied(w.stored)
		return
	}
	if w.stored > 0 {
		o.book.SetLedger(w.ledger, w.stored)
	}
	o.book.Refused()
	o.nextWrite = w.now.Add(time.Duration(o.refused*(3+7*int(o.service.name[0]&3))) * time.Millisecond)
	o.refused++
}

func cores(n int64) job.Resources { return job.Resources{MilliCPU: 1000 * n} }

func (s *serviceSim) submit(count int, need job.Resources) {
	for range count {
		s.ready = append(s.ready, need)
	}
}

func (w *world) injectFault() {
	s := rapid.SampledFrom(w.services).Draw(w.t, "service")
	switch rapid.IntRange(0, 7).Draw(w.t, "fault") {
	case 0, 1, 2, 3:
		s.submit(rapid.IntRange(1, 12).Draw(w.t, "tasks"), cores(rapid.Int64Range(1, 40).Draw(w.t, "cores")))
	case 4:
		s.owner.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(w.t, "pause")) * time.Millisecond)
	case 5:
		w.takeOver(s)
	case 6:
		w.limit = cores(rapid.Int64Range(20, 200).Draw(w.t, "limit"))
		for _, other := range w.services {
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "delay")) * time.Millisecond
			w.after(delay, func() { other.owner.setLimit(w.limit, len(w.services)) })
		}
	case 7:
		s.ready = nil // its jobs are cancelled
	}
}

// The tenant's runs and the portions stay within the limit whatever happens to writes and owners, and
// after the faults every unit of the limit can be used by the service that needs it.
func TestLimitHoldsUnderFaultsAndIsUsableAfterwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, cores(120), "a", "b", "c", "d")
		w.faults = true
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			w.injectFault()
			w.step(time.Duration(rapid.IntRange(0, 1500).Draw(t, "time")) * time.Millisecond)
		}
		w.faults = false
		w.step(10 * time.Second) // owners resume, and late writes arrive
		for _, s := range w.services {
			s.ready = nil
		}
		w.step(2 * time.Second)
		s := rapid.SampledFrom(w.services).Draw(t, "needy")
		for range 100 {
			s.submit(200-len(s.ready), cores(1))
			w.step(10 * time.Millisecond)
		}
		for range 400 {
			if s.used() == w.limit {
				return
			}
			s.submit(max(0, 500-len(s.ready)), cores(1))
			w.step(testTick)
		}
		t.Fatalf("%s uses %+v of the limit of %+v: %+v, usable %+v", s.name, s.used(), w.limit, w.ledger, s.owner.usable)
	})
}

// A tenant under half of its limit does not wait for it, whoever holds the rest without using it.
func TestTenantUnderHalfOfItsLimitGetsWhatItNeedsWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(120, 400).Draw(t, "limit")
		w := newWorld(t, cores(limit), serviceNames(rapid.SampledFrom([]int{4, 10, 40}).Draw(t, "services"))...)
		for range rapid.IntRange(0, 6).Draw(t, "earlier bursts") {
			s := rapid.SampledFrom(w.services).Draw(t, "earlier")
			s.submit(rapid.IntRange(1, 100).Draw(t, "tasks"), cores(rapid.Int64Range(1, 13).Draw(t, "earlier cores")))
			w.step(time.Duration(rapid.IntRange(1, 3000).Draw(t, "time")) * time.Millisecond)
		}
		for slices.ContainsFunc(w.services, func(s *serviceSim) bool { return len(s.ready) > 0 }) {
			w.step(testTick)
		}
		w.step(500 * time.Millisecond)
		need := rapid.Int64Range(1, 40).Draw(t, "cores")
		s := rapid.SampledFrom(w.services).Draw(t, "service")
		s.submit(int(limit/2/need), cores(need))
		w.step(time.Second)
		if len(s.ready) > 0 {
			t.Fatalf("%d tasks of %d cores have waited for a second: %+v", len(s.ready), need, w.ledger)
		}
	})
}

// Whatever each service has to start, none waits for long while the others go on, even if a fair part
// is smaller than a task or a task needs more than the limit.
func TestServicesWithLargeTasksTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, cores(rapid.Int64Range(30, 130).Draw(t, "limit")), "a", "b", "c", "d")
		needs := map[*serviceSim]job.Resources{}
		for _, s := range w.services {
			needs[s] = cores(rapid.Int64Range(1, 40).Draw(t, "cores"))
			s.submit(backlog, needs[s])
		}
		for range 2 {
			w.step(5 * time.Second)
			for _, s := range w.services {
				if len(s.ready) == backlog {
					t.Fatalf("%s has started nothing for 5 s: needs %+v of %+v, %+v", s.name, needs[s], w.limit, w.ledger)
				}
				s.submit(backlog-len(s.ready), needs[s])
			}
		}
	})
}

// maxBlocked bounds the tasks that an owner counts as blocked.
const maxBlocked = 100

// backlog is how many tasks are ready in a service with more work than it can start.
const backlog = 1000

// BenchmarkLedgerWritesAtRotatingPeaks reports how many writes of one tenant's ledger the owners make a
// second, and how many of them are refused, while each service in turn needs 15 times as much as the
// others for 4.5 s, and how large the ledger is. "share" is the part of the limit that is needed.
func BenchmarkLedgerWritesAtRotatingPeaks(b *testing.B) {
	for _, services := range []int{4, 10, 40} {
		for _, share := range []float64{0.4, 1.5} {
			b.Run(fmt.Sprintf("services=%d/share=%.1f", services, share), func(b *testing.B) {
				var w *world
				for b.Loop() {
					w = rotatePeaks(services, share)
				}
				seconds := 2 * 4.5 * float64(min(services, 8))
				b.ReportMetric(float64(w.writes)/seconds, "writes/s")
				b.ReportMetric(float64(w.refused)/seconds, "refused/s")
				value, _ := json.Marshal(w.ledger)
				b.ReportMetric(float64(len(value)), "B/ledger")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func serviceNames(n int) []cluster.Service {
	var names []cluster.Service
	for i := range n {
		names = append(names, cluster.Service(fmt.Sprintf("service-%d", i)))
	}
	return names
}

// rotatePeaks lets up to eight of the services have a peak twice.
func rotatePeaks(services int, share float64) *world {
	const limit, peak, base = 400, 15, 1
	w := newWorld(nil, cores(limit), serviceNames(services)...)
	random := rand.New(rand.NewPCG(1, 2))
	const tick = 50 * time.Millisecond
	// Runs take 0.3 s in the mean and 5 cores.
	perTick := share * limit / 5 / 0.3 * tick.Seconds() / float64(peak+base*(services-1))
	for i := range 2 * min(services, 8) {
		for range int(4500 * time.Millisecond / tick) {
			for n, s := range w.services {
				rate := base * perTick
				if n == i%min(services, 8) {
					rate = peak * perTick
				}
				count := int(rate)
				if random.Float64() < rate-float64(count) {
					count++
				}
				if len(s.ready) < backlog {
					s.submit(count, cores(5))
				}
			}
			w.step(tick)
		}
	}
	return w
}
