package budget

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Member is an instance of an availability zone as the fleet record shows it.
type Member struct {
	ID    fleet.InstanceID
	Pool  string
	State fleet.State
	Epoch int64 // of its record
}

// Holder is the holder of an availability zone's duty.
type Holder struct {
	Zone  fleet.AvailabilityZone
	Epoch int64
	Now   time.Time
}

// Reconciled is what one availability zone's part of a ledger should be.
type Reconciled struct {
	Ledger fleet.Ledger
	// Changed says that the ledger differs from the one given.
	Changed bool
	// Stale holds unused grants to take back. They still stand in Ledger: first the
	// epoch of the record is to be raised, so that whoever was granted can no longer
	// use the grant, however late its write arrives.
	Stale []fleet.Outage
	// Unknown holds entries of instances that the given records lack. They still
	// stand in Ledger until the page that would hold the record was read again.
	Unknown []fleet.Outage
	// Superseded says that a later holder of the duty wrote the zone's part.
	Superseded bool
}

// Reconcile levels the zone's part of a pool's ledger with the fleet record. Entries
// of instances out of service are added, those of instances that left the pool or
// serve again are removed, and unused grants are reported once they expired or if
// another holder wrote them.
//
// An entry is only removed on a record that is newer than the entry: the records
// may be older than the ledger.
func Reconcile(pool string, ledger fleet.Ledger, records []Member, holder Holder) Reconciled {
	r := reconciler{Reconciled{Ledger: ledger}, pool, holder}
	if ledger.ZoneEpoch(holder.Zone) > holder.Epoch {
		r.Superseded = true
		return r.Reconciled
	}
	r.count(records)
	for _, outage := range ledger.Outages {
		if outage.Zone == holder.Zone {
			r.review(outage, records)
		}
	}
	for _, member := range records {
		if _, counted := r.Ledger.Outage(member.ID); !counted && r.isOut(member) {
			r.put(fleet.Outage{ID: member.ID, Zone: holder.Zone, Epoch: holder.Epoch, RecordEpoch: member.Epoch})
		}
	}
	return r.Reconciled
}

type reconciler struct {
	Reconciled
	pool   string
	holder Holder
}

func (r *reconciler) put(outage fleet.Outage) {
	r.Ledger = r.Ledger.With(outage)
	r.Changed = true
}

func (r *reconciler) isOut(member Member) bool {
	return member.Pool == r.pool && member.State != fleet.StateServing
}

func (r *reconciler) count(records []Member) {
	members := 0
	for _, member := range records {
		if member.Pool == r.pool {
			members++
		}
	}
	if members == 0 && r.Ledger.Members(r.holder.Zone) == 0 {
		return
	}
	next := fleet.ZoneMembers{Zone: r.holder.Zone, Members: members, Epoch: r.holder.Epoch}
	if !slices.Contains(r.Ledger.Zones, next) {
		r.Ledger = r.Ledger.WithMembers(next)
		r.Changed = true
	}
}

// review judges one entry of the holder's zone.
func (r *reconciler) review(outage fleet.Outage, records []Member) {
	place := slices.IndexFunc(records, func(m Member) bool { return m.ID == outage.ID })
	if place < 0 {
		r.Unknown = append(r.Unknown, outage)
		return
	}
	member := records[place]
	switch {
	case r.isOut(member):
		r.reviewFailed(outage, member)
	case member.Epoch > outage.RecordEpoch:
		r.Ledger = r.Ledger.Without(outage.ID)
		r.Changed = true
	case r.unused(outage, member):
		expired := !r.holder.Now.Before(outage.Expires)
		if expired || outage.Epoch != r.holder.Epoch {
			r.Stale = append(r.Stale, outage)
		}
	}
}

// reviewFailed notes that an instance that was taken out by choice has failed since.
func (r *reconciler) reviewFailed(outage fleet.Outage, member Member) {
	if member.State == fleet.StateFailed && outage.Voluntary {
		r.put(fleet.Outage{ID: member.ID, Zone: outage.Zone, Epoch: r.holder.Epoch, RecordEpoch: member.Epoch})
	}
}

// unused says that the record is still the one for which the grant was made.
func (r *reconciler) unused(outage fleet.Outage, member Member) bool {
	serves := member.Pool == r.pool && member.State == fleet.StateServing
	return serves && outage.Voluntary && member.Epoch == outage.RecordEpoch
}
