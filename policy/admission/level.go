package admission

import (
	"container/heap"
	"time"
)

// level holds the waiters of one priority.
type level[T any] struct {
	priority     int
	length       int
	slotTime     time.Duration // expected slot time of all waiters
	virtualTime  float64       // in seconds divided by weight: the start of the flow served last
	lastSequence uint64        // last sequence given to a flow
	flows        map[string]*flow[T]
	active       activeFlows[T] // heap of the flows with waiters
}

// flow is the queue of one tenant's waiters at one level.
type flow[T any] struct {
	level       *level[T]
	tenant      string
	weight      float64
	start       float64 // virtual time from which its first waiter may be served
	sequence    uint64  // breaks ties between equal starts
	length      int
	slotTime    time.Duration // expected slot time of its waiters
	index       int           // in level.active
	first, last *Waiter[T]
}

func (l *level[T]) push(w *Waiter[T]) {
	f := l.flows[w.Tenant]
	if f == nil {
		f = &flow[T]{level: l, tenant: w.Tenant}
		l.flows[w.Tenant] = f
	}
	f.weight = float64(max(w.Weight, 1))
	f.append(w)
	l.length++
	l.slotTime += w.slotTime()
	if f.length > 1 {
		return
	}
	f.start = max(f.start, l.virtualTime)
	l.lastSequence++
	f.sequence = l.lastSequence
	heap.Push(&l.active, f)
}

// head returns the next waiter without removing it.
func (l *level[T]) head() *Waiter[T] { return l.active[0].first }

func (l *level[T]) pop() *Waiter[T] {
	f := l.active[0]
	w := f.first
	l.virtualTime = f.start
	f.start += w.slotSeconds() / f.weight
	l.lastSequence++
	f.sequence = l.lastSequence
	l.detach(w)
	if f.length > 0 {
		heap.Fix(&l.active, f.index)
	}
	return w
}

func (l *level[T]) remove(w *Waiter[T]) { l.detach(w) }

// detach unlinks the waiter and removes its flow from the heap if it has no more waiters.
func (l *level[T]) detach(w *Waiter[T]) {
	f := w.flow
	f.unlink(w)
	l.length--
	l.slotTime -= w.slotTime()
	if f.length == 0 {
		heap.Remove(&l.active, f.index)
	}
	if l.length == 0 {
		l.virtualTime = 0
		clear(l.flows)
	}
}

func (l *level[T]) longestFlow() *flow[T] {
	best := l.active[0]
	for _, f := range l.active {
		if f.length > best.length {
			best = f
		}
	}
	return best
}

func (l *level[T]) ahead(w *Waiter[T]) time.Duration {
	own := time.Duration(0)
	if f := l.flows[w.Tenant]; f != nil {
		own = f.slotTime
	}
	ahead := own
	for _, f := range l.active {
		if f.tenant == w.Tenant {
			continue
		}
		servedMeanwhile := float64(own+w.slotTime()) * f.weight / float64(max(w.Weight, 1))
		ahead += min(f.slotTime, time.Duration(servedMeanwhile))
	}
	return ahead
}

func (f *flow[T]) append(w *Waiter[T]) {
	w.flow = f
	w.prev = f.last
	w.next = nil
	if f.last == nil {
		f.first = w
	} else {
		f.last.next = w
	}
	f.last = w
	f.length++
	f.slotTime += w.slotTime()
}

func (f *flow[T]) unlink(w *Waiter[T]) {
	if w.prev == nil {
		f.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.flow, w.prev, w.next = nil, nil, nil
	f.length--
	f.slotTime -= w.slotTime()
}

// activeFlows is a heap.Interface ordered by start, then by sequence.
type activeFlows[T any] []*flow[T]

// Len implements heap.Interface.
func (a activeFlows[T]) Len() int { return len(a) }

// Less implements heap.Interface.
func (a activeFlows[T]) Less(i, j int) bool {
	if a[i].start != a[j].start {
		return a[i].start < a[j].start
	}
	return a[i].sequence < a[j].sequence
}

// Swap implements heap.Interface.
func (a activeFlows[T]) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index = i
	a[j].index = j
}

// Push implements heap.Interface.
func (a *activeFlows[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*a)
	*a = append(*a, f)
}

// Pop implements heap.Interface.
func (a *activeFlows[T]) Pop() any {
	last := len(*a) - 1
	f := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	return f
}
