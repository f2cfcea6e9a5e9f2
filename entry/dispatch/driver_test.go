package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/retry"
)

// driver simulates entry instances and executors in virtual time. An executor runs as
// many requests at once as it has slots and queues the rest.
type driver struct {
	now       time.Duration
	events    eventHeap
	sequence  int
	rng       *rand.Rand
	executors []*fakeExecutor
	stats     *stats
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var epoch = time.Unix(1_000_000, 0)

func newDriver(seed uint64) *driver {
	return &driver{rng: rand.New(rand.NewPCG(seed, seed)), stats: newStats()}
}

// clock returns the virtual time.
func (d *driver) clock() time.Time { return epoch.Add(d.now) }

// after schedules a call of do after the delay.
func (d *driver) after(delay time.Duration, do func()) {
	d.sequence++
	heap.Push(&d.events, event{d.now + delay, d.sequence, do})
}

// every calls do now and then once per interval.
func (d *driver) every(interval time.Duration, do func()) {
	do()
	d.after(interval, func() { d.every(interval, do) })
}

// run processes the events up to end and advances the time to it.
func (d *driver) run(end time.Duration) {
	for len(d.events) > 0 && d.events[0].at <= end {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.do()
	}
	d.now = end
}

// lognormalDuration returns a random duration of a lognormal distribution with the mean
// and sigma 0.5.
func (d *driver) lognormalDuration(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(d.rng.NormFloat64()*sigma-sigma*sigma/2))
}

// workload describes a stream of requests of one class.
type workload struct {
	class      string
	priority   int
	rate       float64 // requests per second
	runTime    time.Duration
	timeout    time.Duration
	repeatable bool
}

// offer calls submit with the workload's calls, at exponentially distributed intervals,
// until end.
func (d *driver) offer(w workload, end time.Duration, submit func(*call)) {
	gap := time.Duration(d.rng.ExpFloat64() / w.rate * float64(time.Second))
	d.after(gap, func() {
		if d.now >= end {
			return
		}
		c := &call{driver: d, workload: w, runTime: d.lognormalDuration(w.runTime), createdAt: d.now}
		d.stats.offered(c)
		d.after(w.timeout, func() { c.end(timedOut) })
		submit(c)
		d.offer(w, end, submit)
	})
}

// call is one caller's request. Only the first invocation of end sets its result.
type call struct {
	driver    *driver
	workload  workload
	runTime   time.Duration
	createdAt time.Duration
	attempts  int
	verdict   verdict.Verdict
	result    result
	onEnd     func()
}

func (c *call) end(r result) {
	if c.result != pending {
		return
	}
	c.result = r
	c.driver.stats.ended(c)
	if c.onEnd != nil {
		c.onEnd()
	}
}

// fakeExecutor is a simulated executor.
type fakeExecutor struct {
	driver          *driver
	id              fleet.InstanceID
	zone            fleet.AvailabilityZone
	slots           int
	running         int
	waiting         []func()
	down            bool // refuses connections
	broken          bool // fails every request after fastFailure
	unresponsive    bool // never responds
	rejectsWhenFull bool // responds busy instead of queueing
	busyResponses   int
	sends           int
	runs            int
	maxRequests     int // the most that ran or were queued at once
}

func (d *driver) addExecutors(n, slots int, zone fleet.AvailabilityZone) {
	for range n {
		id := fleet.InstanceID(rune('a' + len(d.executors)))
		d.executors = append(d.executors, &fakeExecutor{driver: d, id: id, zone: zone, slots: slots})
	}
}

// fastFailure is how long it takes until a request to a broken, down or full executor
// fails.
const fastFailure = time.Millisecond

// send starts or queues one attempt of the call; report is called when it ends.
func (e *fakeExecutor) send(c *call, report func(verdict.Verdict, verdict.Code)) {
	e.sends++
	c.attempts++
	c.driver.stats.sent(c)
	switch {
	case e.down:
		e.driver.after(fastFailure, func() { report(verdict.NotRun, verdict.CodeConnectFailed) })
		return
	case e.broken:
		e.driver.after(fastFailure, func() { report(verdict.MayHaveRun, verdict.CodeConnectionLost) })
		return
	}
	if e.unresponsive {
		return
	}
	start := func() { e.start(c, report) }
	switch {
	case e.running >= e.slots && e.rejectsWhenFull:
		e.busyResponses++
		e.driver.after(fastFailure, func() { report(verdict.NotRun, verdict.CodeBackendServerBusy) })
		return
	case e.running >= e.slots:
		e.waiting = append(e.waiting, start)
	default:
		start()
	}
	e.maxRequests = max(e.maxRequests, e.running+len(e.waiting))
}

func (e *fakeExecutor) start(c *call, report func(verdict.Verdict, verdict.Code)) {
	e.running++
	e.runs++
	e.driver.after(c.runTime, func() {
		e.running--
		if e.unresponsive {
			return
		}
		if len(e.waiting) > 0 && e.running < e.slots {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		if e.down {
			report(verdict.MayHaveRun, verdict.CodeConnectionLost)
		} else {
			report(verdict.Ran, "")
		}
	})
}

// mayRetry decides whether to make another attempt, as the gateway does.
func mayRetry(s *Service, c *call, code verdict.Code) bool {
	left := c.createdAt + c.workload.timeout - c.driver.now
	return c.result == pending && retry.Decide(retry.Attempt{
		Number:     c.attempts,
		Repeatable: c.workload.repeatable,
		Replayable: true,
		Verdict:    c.verdict,
		Code:       code,
		TimeLeft:   left,
		RunTime:    s.RunTime(c.workload.class),
	}) == retry.None && s.SpendRetry()
}

// TestFakeExecutorServesItsQueueInOrder guards against a fake executor that gives a freed
// slot to a request sent at that moment, ahead of the requests in its queue.
func TestFakeExecutorServesItsQueueInOrder(t *testing.T) {
	d := newDriver(seed)
	d.addExecutors(1, 1, "z1")
	var order []string
	send := func(name string, then func()) {
		c := &call{driver: d, runTime: time.Second}
		d.executors[0].send(c, func(verdict.Verdict, verdict.Code) {
			order = append(order, name)
			then()
		})
	}
	send("first", func() { send("newcomer", func() {}) })
	send("waiting", func() {})
	d.run(time.Minute)
	assert.DeepEqual(t, order, []string{"first", "waiting", "newcomer"})
}
