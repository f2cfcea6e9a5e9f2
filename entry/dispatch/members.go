package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/health"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// Endpoint is an executor as the directory lists it, with this entry instance's share of
// its slots and connections.
type Endpoint struct {
	ID          fleet.InstanceID
	Address     string
	Zone        fleet.AvailabilityZone
	Slots       int
	Share       int // slots that this entry instance may use
	Connections int // connections that this entry instance may open
}

// SetMembers replaces the executors in routing. It keeps the live state of executors that
// remain. It also keeps that of a removed executor which has requests in flight or is not
// healthy, in case the executor returns. A new executor begins with slow start unless all
// are new. A queueLimit of zero means DefaultQueueLimit. Calls must not overlap.
func (s *Service) SetMembers(endpoints []Endpoint, queueLimit int, now time.Time) {
	known := s.knownExecutors()
	slowStart := len(s.members.Load().all) > 0
	next := &members{}
	for _, endpoint := range endpoints {
		e := known[endpoint.ID]
		if e == nil || e.Address != endpoint.Address {
			e = newExecutor(endpoint, slowStart, now)
		}
		delete(known, endpoint.ID)
		e.setShare(endpoint.Share, now)
		next.add(e, s.zone)
	}
	s.members.Store(next)
	s.retire(known, now)
	s.mu.Lock()
	if queueLimit <= 0 {
		queueLimit = DefaultQueueLimit
	}
	s.queue.SetLimit(queueLimit)
	s.mu.Unlock()
	s.Tick(now)
}

// knownExecutors returns the executors in routing and the retired ones by ID.
func (s *Service) knownExecutors() map[fleet.InstanceID]*Executor {
	known := maps.Clone(s.retired)
	if known == nil {
		known = map[fleet.InstanceID]*Executor{}
	}
	for _, e := range s.members.Load().all {
		known[e.ID] = e
	}
	return known
}

// retire keeps the removed executors that have requests in flight or are not healthy.
func (s *Service) retire(removed map[fleet.InstanceID]*Executor, now time.Time) {
	maps.DeleteFunc(removed, func(_ fleet.InstanceID, e *Executor) bool {
		return e.InFlight() == 0 && e.recoveredBy(now, s.settings.Health.MaxEjection)
	})
	s.retired = removed
}

// recoveredBy reports whether an executor out of routing is healthy or its ejection ended
// more than maxEjection ago, so that its state need not be kept.
func (e *Executor) recoveredBy(now time.Time, maxEjection time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.State == health.Healthy || now.Sub(e.member.Until) > maxEjection
}

func (m *members) add(e *Executor, zone fleet.AvailabilityZone) {
	m.all = append(m.all, e)
	if e.Zone == zone {
		m.ownZone = append(m.ownZone, e)
	} else {
		m.otherZones = append(m.otherZones, e)
	}
}

// recountOnProbation recounts the executors on probation, because one may have been
// removed.
func (s *Service) recountOnProbation(all []*Executor) {
	n := int64(0)
	for _, e := range all {
		if e.State() == health.Probation {
			n++
		}
	}
	s.onProbation.Store(n)
}

func newExecutor(endpoint Endpoint, slowStart bool, now time.Time) *Executor {
	e := &Executor{
		ID:          endpoint.ID,
		Address:     endpoint.Address,
		Zone:        endpoint.Zone,
		Slots:       endpoint.Slots,
		Connections: endpoint.Connections,
		share:       endpoint.Share,
	}
	e.ramp.Store(math.Float64bits(1))
	if slowStart {
		e.slowStart = now
	}
	return e
}

// setShare changes the slots that this entry instance may use. A reduction applies at
// once, an increase after routing.GrowthDelay, when the entry instances that lose the
// slots have stopped using them.
func (e *Executor) setShare(share int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	grows := share > e.share
	if grows && e.nextShare <= e.share {
		e.growAt = now.Add(routing.GrowthDelay)
	}
	e.nextShare = share
	e.share = min(e.share, share)
	e.refreshLimit(now)
}
