package budget

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Member is an instance of an availability zone according to the fleet record.
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

// Reconciled is a ledger with one availability zone's part reconciled.
type Reconciled struct {
	Ledger fleet.Ledger
	// Changed is set if Ledger differs from the given one.
	Changed bool
	// Stale holds unused grants to revoke. They are still in Ledger: the caller must
	// first raise the epoch of the record, so that the grantee can no longer use the
	// grant, however late its write arrives.
	Stale []fleet.Outage
	// Unknown holds entries of instances that the given records lack. They are still in
	// Ledger: before it removes one, the caller must re-read the page that would hold the
	// instance's record.
	Unknown []fleet.Outage
	// Superseded is set if a later holder of the duty wrote the zone's part; the ledger
	// is then unchanged.
	Superseded bool
}

// Reconcile brings the holder's zone in a pool's ledger in line with the fleet record.
// Entries of instances out of service are added, those of instances that left the pool
// or serve again are removed, and unused grants are reported as stale once they have
// expired or if another holder wrote them.
//
// An entry is removed only if the record is newer than the entry, since the records may
// be older than the ledger.
func Reconcile(pool string, ledger fleet.Ledger, records []Member, holder Holder) Reconciled {
	r := reconciler{Reconciled{Ledger: ledger}, pool, holder}
	if ledger.ZoneEpoch(holder.Zone) > holder.Epoch {
		r.Superseded = true
		return r.Reconciled
	}
	r.countMembers(records)
	for _, outage := range ledger.Outages {
		if outage.Zone == holder.Zone {
			r.reviewEntry(outage, records)
		}
	}
	for _, member := range records {
		if _, counted := r.Ledger.Outage(member.ID); !counted && r.isOut(member) {
			r.putEntry(fleet.Outage{ID: member.ID, Zone: holder.Zone, Epoch: holder.Epoch, RecordEpoch: member.Epoch})
		}
	}
	return r.Reconciled
}

type reconciler struct {
	Reconciled
	pool   string
	holder Holder
}

func (r *reconciler) putEntry(outage fleet.Outage) {
	r.Ledger = r.Ledger.With(outage)
	r.Changed = true
}

func (r *reconciler) isOut(member Member) bool {
	return member.Pool == r.pool && member.State != fleet.StateServing
}

func (r *reconciler) countMembers(records []Member) {
	members := 0
	for _, member := range records {
		if member.Pool == r.pool {
			members++
		}
	}
	if members == 0 && r.Ledger.MemberCount(r.holder.Zone) == 0 {
		return
	}
	next := fleet.ZoneMembers{Zone: r.holder.Zone, Members: members, Epoch: r.holder.Epoch}
	if !slices.Contains(r.Ledger.Zones, next) {
		r.Ledger = r.Ledger.WithMembers(next)
		r.Changed = true
	}
}

// reviewEntry keeps, replaces, removes or reports one entry of the holder's zone.
func (r *reconciler) reviewEntry(outage fleet.Outage, records []Member) {
	i := slices.IndexFunc(records, func(m Member) bool { return m.ID == outage.ID })
	if i < 0 {
		r.Unknown = append(r.Unknown, outage)
		return
	}
	member := records[i]
	switch {
	case r.isOut(member):
		r.reviewFailed(outage, member)
	case member.Epoch > outage.RecordEpoch:
		r.Ledger = r.Ledger.Without(outage.ID)
		r.Changed = true
	case r.isUnused(outage, member):
		expired := !r.holder.Now.Before(outage.Expires)
		if expired || outage.Epoch != r.holder.Epoch {
			r.Stale = append(r.Stale, outage)
		}
	}
}

// reviewFailed replaces a voluntary entry by an involuntary one if its instance has failed
// since.
func (r *reconciler) reviewFailed(outage fleet.Outage, member Member) {
	if member.State == fleet.StateFailed && outage.Voluntary {
		r.putEntry(fleet.Outage{ID: member.ID, Zone: outage.Zone, Epoch: r.holder.Epoch, RecordEpoch: member.Epoch})
	}
}

// isUnused reports whether the instance still serves under the record for which the
// grant was made.
func (r *reconciler) isUnused(outage fleet.Outage, member Member) bool {
	serves := member.Pool == r.pool && member.State == fleet.StateServing
	return serves && outage.Voluntary && member.Epoch == outage.RecordEpoch
}
