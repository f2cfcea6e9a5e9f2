package fleet

import "time"

// LedgerPrefix starts the key of every pool's ledger.
const LedgerPrefix = "budgets/"

// LedgerKey returns the key of a pool's ledger.
func LedgerKey(pool string) string { return LedgerPrefix + pool }

// Outage is one instance of a pool that is out of service, or that holds a grant
// to be taken out of service.
type Outage struct {
	ID   InstanceID       `json:"id"`
	Zone AvailabilityZone `json:"zone"`
	// Voluntary is set on grants; a failure is not voluntary.
	Voluntary bool `json:"voluntary,omitempty"`
	// Epoch is the epoch of the duty that wrote the entry.
	Epoch int64 `json:"epoch"`
	// RecordEpoch is the epoch of the instance's record when the entry was made. A
	// grant holds for this epoch only: once the record has changed it is used or void.
	RecordEpoch int64 `json:"recordEpoch,omitempty"`
	// Expires is when a grant that was not used may be taken back; zero on failures.
	Expires time.Time `json:"expires,omitzero"`
}

// ZoneMembers counts the instances of a pool in one availability zone.
type ZoneMembers struct {
	Zone    AvailabilityZone `json:"zone"`
	Members int              `json:"members"`
	// Epoch is the epoch of the duty that counted.
	Epoch int64 `json:"epoch,omitempty"`
}

// Ledger is the value of a budgets/<pool> key. Every instance of the pool that is
// out of service by choice has an entry before it leaves service.
type Ledger struct {
	Zones   []ZoneMembers `json:"zones,omitempty"`
	Outages []Outage      `json:"outages,omitempty"`
}

// Outage returns the entry of id and whether there is one.
func (l Ledger) Outage(id InstanceID) (Outage, bool) {
	for _, outage := range l.Outages {
		if outage.ID == id {
			return outage, true
		}
	}
	return Outage{}, false
}

// MemberCount returns the instances in one availability zone, or in all if zone is empty.
func (l Ledger) MemberCount(zone AvailabilityZone) int {
	total := 0
	for _, z := range l.Zones {
		if zone == "" || z.Zone == zone {
			total += z.Members
		}
	}
	return total
}

// OutageCount returns the entries in one availability zone, or in all if zone is empty.
func (l Ledger) OutageCount(zone AvailabilityZone) int {
	total := 0
	for _, outage := range l.Outages {
		if zone == "" || outage.Zone == zone {
			total++
		}
	}
	return total
}

// With returns a copy of the ledger that holds outage in place of any earlier one
// of the same instance.
func (l Ledger) With(outage Outage) Ledger {
	next := l.Without(outage.ID)
	next.Outages = append(next.Outages, outage)
	return next
}

// Without returns a copy of the ledger without the entry of id.
func (l Ledger) Without(id InstanceID) Ledger {
	next := Ledger{Zones: l.Zones, Outages: make([]Outage, 0, len(l.Outages)+1)}
	for _, outage := range l.Outages {
		if outage.ID != id {
			next.Outages = append(next.Outages, outage)
		}
	}
	return next
}

// ZoneEpoch returns the highest duty epoch that counted an availability zone.
func (l Ledger) ZoneEpoch(zone AvailabilityZone) int64 {
	var epoch int64
	for _, z := range l.Zones {
		if z.Zone == zone {
			epoch = max(epoch, z.Epoch)
		}
	}
	return epoch
}

// WithMembers returns a copy of the ledger with the count of one availability zone.
func (l Ledger) WithMembers(count ZoneMembers) Ledger {
	next := Ledger{Outages: l.Outages, Zones: make([]ZoneMembers, 0, len(l.Zones)+1)}
	for _, z := range l.Zones {
		if z.Zone != count.Zone {
			next.Zones = append(next.Zones, z)
		}
	}
	next.Zones = append(next.Zones, count)
	return next
}
