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

// Defaults of Settings.
const (
	DefaultQueueLimit = 1000
	// maxRetryQueue bounds the retries that wait for a slot.
	maxRetryQueue = 200
)

// Settings tune a Service.
type Settings struct {
	Health health.Settings
	Budget retry.Budget
}

// DefaultSettings returns the settings of production.
func DefaultSettings() Settings {
	return Settings{Health: health.DefaultSettings(), Budget: retry.DefaultBudget()}
}

// Service matches the requests of one service with its executors. While nothing
// waits, Acquire and Release use atomics only; the lock guards the queue.
type Service struct {
	Name     string
	zone     fleet.AvailabilityZone
	settings Settings
	rng      *rand.Rand

	members     atomic.Pointer[members]
	waiting     atomic.Int64
	budget      atomic.Int64
	runTime     Average
	classes     classes
	capacity    atomic.Int64 // slots of usable executors
	onProbation atomic.Int64 // executors on probation

	// retired are executors out of routing whose state is kept; SetMembers alone uses it.
	retired map[fleet.InstanceID]*Executor

	mu      sync.Mutex
	queue   *admission.Queue[*Waiter]
	retries []*Waiter // oldest first
}

// members are the executors in routing. It is immutable.
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

// Capacity returns the slots that this entry instance may use at once.
func (s *Service) Capacity() int { return int(s.capacity.Load()) }

// InFlight returns the requests that hold a slot.
func (s *Service) InFlight() int {
	n := 0
	for _, e := range s.members.Load().all {
		n += e.InFlight()
	}
	return n
}

// Load returns the slots that the load offered here takes on average, or zero where it
// has faded away.
func (s *Service) Load() float64 {
	load := s.classes.load(math.MinInt64)
	if load < minLoad {
		return 0
	}
	return load
}

// Executors returns the executors in routing; the slice must not be changed.
func (s *Service) Executors() []*Executor { return s.members.Load().all }

// pick takes a slot of an executor, in the own availability zone first. It
// returns nil if none is free.
func (s *Service) pick(exclude *Executor) *Executor {
	m := s.members.Load()
	if e := s.pickOf(m.ownZone, exclude); e != nil {
		return e
	}
	return s.pickOf(m.otherZones, exclude)
}

// pickOf chooses again while others take the chosen slot first.
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

// pickTrial takes the slot of an executor on probation.
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

// Earn credits the retry budget with one request.
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

// RunTime returns the expected time of a request of the class in a slot.
func (s *Service) RunTime(class string) time.Duration {
	if classRunTime := s.classes.get(class).runTime.Value(); classRunTime > 0 {
		return classRunTime
	}
	return s.runTime.Value()
}
