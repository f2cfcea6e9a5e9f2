package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/admission"
	"github.com/tarragonreach/tarragonreach/policy/health"
	"github.com/tarragonreach/tarragonreach/policy/retry"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// Bounds of a service's queues.
const (
	// DefaultQueueLimit bounds the queue where the service sets no limit.
	DefaultQueueLimit = 1000
	// maxRetryQueue bounds the retries that wait for a slot.
	maxRetryQueue = 200
)

// Settings tune a Service.
type Settings struct {
	Health health.Settings
	Budget retry.Budget
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{Health: health.DefaultSettings(), Budget: retry.DefaultBudget()}
}

// Service assigns the requests of one service to its executors. While slots are free and
// nothing is queued, Acquire and Release do not take its lock, which guards the queue.
type Service struct {
	Name     string
	zone     fleet.AvailabilityZone
	settings Settings
	rng      *rand.Rand

	members     atomic.Pointer[members]
	waiting     atomic.Int64 // queued requests, including retries
	budget      atomic.Int64 // tokens of the retry budget
	runTime     Average
	classes     classes
	capacity    atomic.Int64 // slots of usable executors
	onProbation atomic.Int64 // executors on probation

	// retired are the executors out of routing whose state is kept; only SetMembers uses it.
	retired map[fleet.InstanceID]*Executor

	mu      sync.Mutex
	queue   *admission.Queue[*Waiter]
	retries []*Waiter // oldest first
}

// members holds the executors in routing: all, those of the own availability zone and
// those of other zones. It is immutable.
type members struct {
	all, ownZone, otherZones []*Executor
}

// New returns a Service without executors. rng must be safe for concurrent use
// if the Service is used concurrently.
func New(name string, zone fleet.AvailabilityZone, settings Settings, rng *rand.Rand) *Service {
	s := &Service{Name: name, zone: zone, settings: settings, rng: rng}
	s.queue = admission.New[*Waiter](DefaultQueueLimit)
	s.budget.Store(settings.Budget.Full())
	s.members.Store(&members{})
	return s
}

// Waiting returns the number of queued requests.
func (s *Service) Waiting() int { return int(s.waiting.Load()) }

// Capacity returns the slots of healthy executors that this entry instance may use.
func (s *Service) Capacity() int { return int(s.capacity.Load()) }

// InFlight returns the number of requests that hold a slot.
func (s *Service) InFlight() int {
	n := 0
	for _, e := range s.members.Load().all {
		n += e.InFlight()
	}
	return n
}

// Load returns the average load offered to this entry instance, in slots, or zero where
// it is below minLoad.
func (s *Service) Load() float64 {
	load := s.classes.load(math.MinInt64)
	if load < minLoad {
		return 0
	}
	return load
}

// Executors returns the executors in routing; the slice must not be changed.
func (s *Service) Executors() []*Executor { return s.members.Load().all }

// pick takes a slot of an executor other than exclude, preferably in the own availability
// zone. It returns nil if none is free.
func (s *Service) pick(exclude *Executor) *Executor {
	m := s.members.Load()
	if e := s.pickOf(m.ownZone, exclude); e != nil {
		return e
	}
	return s.pickOf(m.otherZones, exclude)
}

// pickOf takes a slot of one of the candidates. It chooses again if a concurrent request
// takes the chosen slot first.
func (s *Service) pickOf(candidates []*Executor, exclude *Executor) *Executor {
	for {
		e, found := routing.Choose(candidates, exclude, s.rng)
		if !found {
			return nil
		}
		if e.tryAcquire() {
			return e
		}
	}
}

// pickTrial takes the slot of an executor on probation, or returns nil if none is free.
func (s *Service) pickTrial(exclude *Executor) *Executor {
	if s.onProbation.Load() == 0 {
		return nil
	}
	for _, e := range s.members.Load().all {
		if e != exclude && e.tryTrial() {
			return e
		}
	}
	return nil
}

// Earn credits the retry budget for one request.
func (s *Service) Earn() {
	for {
		tokens := s.budget.Load()
		next := s.settings.Budget.Earn(tokens)
		if next == tokens || s.budget.CompareAndSwap(tokens, next) {
			return
		}
	}
}

// SpendRetry takes one retry from the budget and reports whether there was one.
func (s *Service) SpendRetry() bool {
	for {
		tokens := s.budget.Load()
		next, ok := s.settings.Budget.Spend(tokens)
		if !ok {
			return false
		}
		if s.budget.CompareAndSwap(tokens, next) {
			return true
		}
	}
}

// ClassRunTime returns the average time of a request of the class in a slot, or zero if
// none has completed.
func (s *Service) ClassRunTime(class string) time.Duration {
	return s.classes.get(class).runTime.Value()
}

// RunTime returns the expected time of a request of the class in a slot: the average of
// the class, else of the service, or zero if no request has completed.
func (s *Service) RunTime(class string) time.Duration {
	if classRunTime := s.ClassRunTime(class); classRunTime > 0 {
		return classRunTime
	}
	return s.runTime.Value()
}
