package fleet

import (
	"fmt"
	"hash/fnv"
	"maps"
	"time"

	"github.com/tarragonreach/tarragonreach/api/label"
)

// PagePrefix is the prefix of the keys of all pages of the fleet record.
const PagePrefix = "fleet/"

// PagesPerZone is the number of pages that hold the records of one availability zone.
const PagesPerZone = 32

// ZonePrefix returns the prefix of the keys of one availability zone's pages.
func ZonePrefix(zone AvailabilityZone) string { return PagePrefix + string(zone) + "/" }

// PageKey returns the key of the only page that may hold the record of id. Since an
// instance never changes its availability zone, it has at most one record.
func PageKey(zone AvailabilityZone, id InstanceID) string {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return fmt.Sprintf("%s%02d", ZonePrefix(zone), hash.Sum32()%PagesPerZone)
}

// Find returns the record of id and whether the page holds it.
func (p Page) Find(id InstanceID) (Record, bool) {
	for _, record := range p.Records {
		if record.ID == id {
			return record, true
		}
	}
	return Record{}, false
}

// With returns a copy of the page in which record replaces any earlier record of the
// same instance.
func (p Page) With(record Record) Page {
	next := p.Without(record.ID)
	next.Records = append(next.Records, record)
	return next
}

// Without returns a copy of the page without the record of id.
func (p Page) Without(id InstanceID) Page {
	next := Page{Epoch: p.Epoch, Records: make([]Record, 0, len(p.Records)+1)}
	for _, record := range p.Records {
		if record.ID != id {
			next.Records = append(next.Records, record)
		}
	}
	return next
}

// DrainRequest is an operator's request to take an instance out of its pool.
type DrainRequest struct {
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// EffectiveLabels returns the labels that selectors match: the platform's labels,
// overridden by the operators' labels, and both overridden by the labels derived from
// the instance itself, which no operator can change.
func EffectiveLabels(instance Instance, operatorLabels label.Set) label.Set {
	labels := make(label.Set, len(instance.Labels)+len(operatorLabels)+derivedLabels)
	maps.Copy(labels, instance.Labels)
	maps.Copy(labels, operatorLabels)
	labels[LabelKind] = string(instance.Kind)
	labels[LabelZone] = string(instance.Zone)
	if instance.Rack != "" {
		labels[LabelRack] = instance.Rack
	}
	return labels
}

// ServingLabels returns the effective labels and the pool label from the instance's
// record.
func ServingLabels(instance Instance, record Record) label.Set {
	labels := EffectiveLabels(instance, record.Labels)
	if record.Pool != "" {
		labels[LabelPool] = record.Pool
	}
	return labels
}

// derivedLabels is the number of labels derived from an instance and its record.
const derivedLabels = 4
