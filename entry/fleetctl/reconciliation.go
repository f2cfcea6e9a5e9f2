package fleetctl

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/policy/lifecycle"
)

// poolSpec is a pool with its parsed selector.
type poolSpec struct {
	object.Pool
	selector label.Selector
}

// member is an instance of the controller's zone within one reconciliation.
type member struct {
	instance fleet.Instance // the zero Instance if absent from the list
	record   fleet.Record
	seen     lifecycle.Observation
	eligible []string
	intent   lifecycle.Intent
	refused  []explain.Alternative // pools that the plan rejected
	isNew    bool                  // not in the fleet record yet
}

// reconciliation is the state of one reconciliation of a controller.
type reconciliation struct {
	*Controller
	term     Term
	now      time.Time
	config   *object.Config
	snapshot *fleetview.Snapshot
	listed   map[fleet.InstanceID]fleet.Instance // of the zone
	pools    []poolSpec
	// invalidPools names pools whose selector can't be parsed; they keep their instances.
	invalidPools map[string]bool
	members      []*member // of the zone, ordered by instance ID
	// listSuspect is set if so many instances are absent from the list that it may be wrong.
	listSuspect bool
}

func (c *Controller) newReconciliation(config *object.Config, listed []fleet.Instance, term Term) *reconciliation {
	r := &reconciliation{
		Controller: c, term: term, now: c.Now(), config: config, snapshot: c.View.Snapshot(),
		listed:       make(map[fleet.InstanceID]fleet.Instance),
		invalidPools: make(map[string]bool),
	}
	for _, instance := range listed {
		if instance.Kind != fleet.KindEntry && instance.Zone == c.Zone {
			r.listed[instance.ID] = instance
		}
	}
	r.parsePools()
	return r
}

// parsePools parses the pools' selectors and orders the pools by name.
func (r *reconciliation) parsePools() {
	for name, pool := range r.config.Pools {
		selector, err := label.Parse(pool.Spec.Selector)
		if err != nil {
			r.invalidPools[name] = true
			r.record(explain.Record{
				Subject: explain.Pool(name), Action: explain.ActionSize, Outcome: explain.Refused,
				Reason: explain.ReasonSelectorInvalid, Detail: err.Error(),
			})
			continue
		}
		r.pools = append(r.pools, poolSpec{pool.Spec, selector})
	}
	slices.SortFunc(r.pools, func(a, b poolSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// loadMembers merges the fleet record with the platform's list.
func (r *reconciliation) loadMembers() {
	recorded := make(map[fleet.InstanceID]bool)
	missing := 0
	for _, located := range r.snapshot.Records(r.Zone) {
		recorded[located.ID] = true
		if _, listed := r.listed[located.ID]; !listed && located.State != fleet.StateFailed {
			missing++
		}
		r.addMember(&member{record: located.Record})
	}
	for id, instance := range r.listed {
		if !recorded[id] {
			r.addMember(r.newMember(id, instance, len(recorded) > 0))
		}
	}
	r.listSuspect = missing >= minSuspectAbsences && 2*missing > len(recorded)
	slices.SortFunc(r.members, func(a, b *member) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// minSuspectAbsences is the minimum number of absent instances for a list to be suspect;
// they must also be more than half of the zone's recorded instances.
const minSuspectAbsences = 4

// newMember creates the first record of an instance. An instance that joins a zone
// with records is new, so its first maintenance is due one period from now.
func (r *reconciliation) newMember(id fleet.InstanceID, instance fleet.Instance, joinsKnownZone bool) *member {
	page := r.snapshot.Page(fleet.PageKey(instance.Zone, id))
	record := fleet.Record{
		ID: id, State: fleet.StateReleased, Reason: string(explain.ReasonListed), Since: r.now,
		// The page's revision is above all epochs of its records, so an instance whose
		// record was removed never reuses an epoch when it returns.
		Epoch: int64(page.Revision),
	}
	if joinsKnownZone {
		record.LastMaintained = r.now
	}
	return &member{record: record, isNew: true}
}

func (r *reconciliation) addMember(m *member) {
	instance, listed := r.listed[m.record.ID]
	m.instance = instance
	if listed && instance.Rack != "" {
		m.record.Rack = instance.Rack
	}
	m.seen = r.observe(m.record.ID, instance, listed)
	m.seen.InState = r.states.update(m.record, r.now)
	if listed {
		m.eligible = r.eligible(instance, m.record.Labels)
	}
	m.intent = lifecycle.Intent{Pool: m.record.Pool, Reason: explain.ReasonNotServing}
	r.members = append(r.members, m)
}

// eligible returns the pools whose selectors match an instance.
func (r *reconciliation) eligible(instance fleet.Instance, operatorLabels label.Set) []string {
	labels := fleet.EffectiveLabels(instance, operatorLabels)
	var pools []string
	for _, pool := range r.pools {
		if pool.selector.Matches(labels) {
			pools = append(pools, pool.Name)
		}
	}
	return pools
}

// observe returns the observation of an instance. One known to be healthy counts as
// listed, since the list lags behind.
func (r *reconciliation) observe(id fleet.InstanceID, instance fleet.Instance, listed bool) lifecycle.Observation {
	healthy, known := listed, false
	if r.Health != nil {
		healthy, known = r.Health.Healthy(id)
	}
	if !known {
		healthy = listed
	}
	seen := lifecycle.Observation{
		Listed:  listed || known && healthy,
		Leaving: instance.Leaving,
		Healthy: healthy,
	}
	seen.AbsentFor = r.absences.update(id, seen.Listed, r.now)
	if r.Work != nil {
		seen.Idle = r.Work.Idle(id)
	}
	return seen
}

// pool returns the specification of a pool; for a deleted pool only the name is set.
func (r *reconciliation) pool(name string) object.Pool {
	if pool, found := r.config.Pools[name]; found {
		return pool.Spec
	}
	return object.Pool{Name: name}
}
