package budget

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Member is an instance of the pool as the fleet record shows it.
type Member struct {
	ID    fleet.InstanceID
	State fleet.State
	Epoch int64 // of its record
}

// Reconciled is what one availability zone's part of a ledger should be.
type Reconciled struct {
	Ledger fleet.Ledger
	// Stale holds unused grants to take back. They still stand in Ledger: first the
	// epoch of the record is to be raised, so that whoever was granted can no longer
	// use the grant, however late its write arrives.
	Stale []fleet.Outage
	// Changed says that the ledger differs from the one given.
	Changed bool
}

// Reconcile levels the part of one availability zone with the fleet record. Entries
// of instances out of service are added, those of instances that left the pool or
// serve again are removed, and grants that have not been used are reported.
//
// A grant is unused while its instance serves under the record's epoch for which it
// was made. It is stale once it expired or if another holder of the duty wrote it.
func Reconcile(ledger fleet.Ledger, zone fleet.AvailabilityZone, members []Member, epoch int64, now time.Time) Reconciled {
	out := Reconciled{Ledger: ledger}
	if ledger.Members(zone) != len(members) {
		out.Ledger = out.Ledger.WithMembers(zone, len(members))
		out.Changed = true
	}
	for _, member := range members {
		out.level(member, zone, epoch, now)
	}
	for _, outage := range ledger.Outages {
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.ID == outage.ID })
		if outage.Zone == zone && !isMember {
			out.Ledger = out.Ledger.Without(outage.ID)
			out.Changed = true
		}
	}
	return out
}

func (r *Reconciled) level(member Member, zone fleet.AvailabilityZone, epoch int64, now time.Time) {
	outage, counted := r.Ledger.Outage(member.ID)
	serves := member.State == fleet.StateServing
	switch {
	case !serves && !counted:
		r.Ledger = r.Ledger.With(fleet.Outage{ID: member.ID, Zone: zone, Epoch: epoch})
		r.Changed = true
	case !serves && member.State == fleet.StateFailed && outage.Voluntary:
		r.Ledger = r.Ledger.With(fleet.Outage{ID: member.ID, Zone: zone, Epoch: epoch})
		r.Changed = true
	case serves && counted && unused(outage, member):
		if outage.Epoch != epoch || !now.Before(outage.Expires) {
			r.Stale = append(r.Stale, outage)
		}
	case serves && counted:
		r.Ledger = r.Ledger.Without(member.ID)
		r.Changed = true
	}
}

func unused(grant fleet.Outage, member Member) bool {
	return grant.Voluntary && grant.RecordEpoch == member.Epoch
}
