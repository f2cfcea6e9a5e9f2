package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveQueue is a reference implementation that sorts a list before each pop.
type naiveQueue struct {
	items        []*Waiter[int]
	start        map[string]float64 // next start by flow name
	flowSequence map[string]int     // sequence at which the flow last became active or was served
	virtualTime  map[int]float64
	sequence     int
	credit       float64
}

func flowName(w *Waiter[int]) string { return fmt.Sprint(w.Priority, w.Tenant) }

func (n *naiveQueue) countFlow(name string) (count int) {
	for _, w := range n.items {
		if flowName(w) == name {
			count++
		}
	}
	return count
}

func (n *naiveQueue) countLevel(priority int) (count int) {
	for _, w := range n.items {
		if w.Priority == priority {
			count++
		}
	}
	return count
}

func (n *naiveQueue) push(w *Waiter[int]) {
	name := flowName(w)
	if n.countFlow(name) == 0 {
		n.start[name] = max(n.start[name], n.virtualTime[w.Priority])
		n.sequence++
		n.flowSequence[name] = n.sequence
	}
	n.items = append(n.items, w)
}

func (n *naiveQueue) remove(w *Waiter[int]) {
	n.items = slices.DeleteFunc(n.items, func(o *Waiter[int]) bool { return o == w })
	if n.countLevel(w.Priority) > 0 {
		return
	}
	n.virtualTime[w.Priority] = 0
	for name := range n.start {
		if name[:1] == fmt.Sprint(w.Priority) {
			delete(n.start, name)
		}
	}
}

func (n *naiveQueue) pop() *Waiter[int] {
	if len(n.items) == 0 {
		n.credit = 0
		return nil
	}
	order := slices.Clone(n.items)
	slices.SortStableFunc(order, func(a, b *Waiter[int]) int {
		switch {
		case a.Priority != b.Priority:
			return b.Priority - a.Priority
		case n.start[flowName(a)] < n.start[flowName(b)]:
			return -1
		case n.start[flowName(a)] > n.start[flowName(b)]:
			return 1
		default:
			return n.flowSequence[flowName(a)] - n.flowSequence[flowName(b)]
		}
	})
	w := order[0]
	lowest := order[len(order)-1].Priority
	lowestHead := order[slices.IndexFunc(order, func(o *Waiter[int]) bool { return o.Priority == lowest })]
	switch {
	case lowestHead == w:
		n.credit = 0
	case n.credit >= lowestHead.Cost.Seconds():
		n.credit -= lowestHead.Cost.Seconds()
		w = lowestHead
	default:
		n.credit += LowestLevelShare * w.Cost.Seconds()
	}
	name := flowName(w)
	n.virtualTime[w.Priority] = n.start[name]
	n.start[name] += w.Cost.Seconds() / float64(w.Weight)
	n.sequence++
	n.flowSequence[name] = n.sequence
	n.remove(w)
	return w
}

func TestQueueMatchesSortedListReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](1 << 20)
		n := &naiveQueue{start: map[string]float64{}, flowSequence: map[string]int{}, virtualTime: map[int]float64{}}
		weights := map[string]int{"a": 1, "b": 2, "c": 4}
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				tenant := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")
				w := &Waiter[int]{Value: id, Priority: rapid.IntRange(1, 3).Draw(t, "priority"), Tenant: tenant, Weight: weights[tenant],
					Cost: time.Duration(rapid.IntRange(1, 500).Draw(t, "cost")) * time.Millisecond}
				_, accepted := q.Push(w)
				assert.Assert(t, accepted)
				n.push(w)
			},
			"pop": func(t *rapid.T) {
				want := n.pop()
				assert.Equal(t, q.Pop(), want)
			},
			"cancel": func(t *rapid.T) {
				if len(n.items) == 0 {
					t.Skip("no waiters")
				}
				w := rapid.SampledFrom(n.items).Draw(t, "waiter")
				n.remove(w)
				assert.Assert(t, q.Remove(w))
				assert.Assert(t, !q.Remove(w))
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(n.items)) },
		})
	})
}

func TestTenantsShareByWeight(t *testing.T) {
	q := New[int](1000)
	for i := range 300 {
		q.Push(&Waiter[int]{Value: i, Tenant: "light", Weight: 1})
		q.Push(&Waiter[int]{Value: i, Tenant: "heavy", Weight: 3})
	}
	served := map[string]int{}
	for range 200 {
		served[q.Pop().Tenant]++
	}
	assert.Equal(t, served["heavy"], 150)
}

func TestFullQueueDisplacesTheLowestLevel(t *testing.T) {
	q := New[int](2)
	low := []*Waiter[int]{{Value: 1, Priority: 1}, {Value: 2, Priority: 1}}
	q.Push(low[0])
	q.Push(low[1])
	displaced, accepted := q.Push(&Waiter[int]{Value: 3, Priority: 9})
	assert.Assert(t, accepted)
	assert.Equal(t, displaced, low[1])
	_, accepted = q.Push(&Waiter[int]{Value: 4, Priority: 1})
	assert.Assert(t, !accepted)
	assert.Equal(t, q.Len(), 2)
}

func TestAheadCountsWaitersServedFirst(t *testing.T) {
	q := New[int](100)
	for range 10 {
		q.Push(&Waiter[int]{Priority: 5, Tenant: "many", Cost: time.Second})
		q.Push(&Waiter[int]{Priority: 9, Tenant: "many", Cost: time.Second})
	}
	ahead := func(priority int, tenant string) time.Duration {
		return q.Ahead(&Waiter[int]{Priority: priority, Tenant: tenant, Cost: time.Second})
	}
	assert.Equal(t, ahead(9, "new"), time.Second, "at most one waiter of the other tenant")
	assert.Equal(t, ahead(9, "many"), 10*time.Second)
	assert.Equal(t, ahead(5, "new"), 11*time.Second)
	assert.Equal(t, ahead(1, "many"), 20*time.Second)
	for q.Pop() != nil {
	}
	assert.Equal(t, ahead(1, "many"), time.Duration(0))
}

func TestHigherPrioritiesLengthenTheWait(t *testing.T) {
	load := Load{Ahead: 10 * time.Second, Slots: 10, MeanRunTime: 0}
	assert.Equal(t, load.Wait(), time.Second)
	load.HigherPrioritySlots = 5
	assert.Equal(t, load.Wait(), 2*time.Second)
	load.HigherPrioritySlots = 50
	assert.Equal(t, load.Wait(), 20*time.Second, "at least LowestLevelShare of the slots remains")
}

func TestEarlyRefusalIsNotRunAndSetsRetryAfter(t *testing.T) {
	load := Load{Ahead: 79 * time.Second, Slots: 8, MeanRunTime: time.Second, ExpectedRunTime: time.Second, TimeLeft: 30 * time.Second}
	assert.Assert(t, load.Check() == nil)
	load.TimeLeft -= time.Millisecond
	refusal := load.Check()
	assert.Equal(t, refusal.Verdict, verdict.NotRun)
	assert.Equal(t, refusal.Code, verdict.CodeWaitExceedsTimeout)
	assert.Equal(t, refusal.RetryAfter, 10*time.Second)
}

// BenchmarkRequestPathCancel removes all waiters of a queue; the time for each must
// not grow with the length of the queue. The naive queue searches a list.
func BenchmarkRequestPathCancel(b *testing.B) {
	for _, size := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("queue/%d", size), func(b *testing.B) { benchmarkCancel(b, size) })
	}
	b.Run("naive/10000", func(b *testing.B) {
		for range b.N {
			n := &naiveQueue{start: map[string]float64{}, flowSequence: map[string]int{}, virtualTime: map[int]float64{}}
			n.items = newWaiters(10_000)
			started := time.Now()
			for _, w := range slices.Backward(slices.Clone(n.items)) {
				n.items = slices.Delete(n.items, slices.Index(n.items, w), slices.Index(n.items, w)+1)
			}
			b.ReportMetric(float64(time.Since(started).Nanoseconds())/10_000, "ns/cancel")
		}
	})
}

func newWaiters(size int) []*Waiter[int] {
	waiters := make([]*Waiter[int], size)
	for i := range waiters {
		waiters[i] = &Waiter[int]{Value: i, Priority: i % 3, Tenant: fmt.Sprint(i % 210), Weight: 1}
	}
	return waiters
}

func benchmarkCancel(b *testing.B, size int) {
	for range b.N {
		q := New[int](size)
		waiters := newWaiters(size)
		for _, w := range waiters {
			q.Push(w)
		}
		started := time.Now()
		for _, w := range slices.Backward(waiters) {
			q.Remove(w)
		}
		b.ReportMetric(float64(time.Since(started).Nanoseconds())/float64(size), "ns/cancel")
	}
}
