package quota

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Ledger is the stored division of one tenant's limit.
type Ledger struct {
	// Tenant is the tenant's name; the key of a ledger need not hold it.
	Tenant cluster.TenantName `json:"tenant"`
	// Limit is the tenant's limit as the owner knew it that wrote the ledger last. It applies to a
	// tenant that is no longer configured.
	Limit    job.Resources                 `json:"limit"`
	Services map[cluster.Service]Allotment `json:"services,omitempty"`
}

// Allotment is the part of a tenant's limit that one service has, and what it asks for.
type Allotment struct {
	// Portion is what the service may use. It is zero for resources without limit.
	Portion job.Resources `json:"portion"`
	// Demand is what the service uses and could use besides, if that is more than the portion, so
	// that other services release what they don't use.
	Demand job.Resources `json:"demand,omitzero"`
	// Task is the need of what starts next in the service, if there is a demand: a smaller share
	// of the limit is of no use to it.
	Task job.Resources `json:"task,omitzero"`
	// Turn orders the demands for which the limit is too small: it is above those of the other
	// services when the demand is published, and again when the portion is lowered.
	Turn int64 `json:"turn,omitempty"`
}

// Decode reads a stored ledger. Unknown fields are ignored; a ledger without a tenant or with a
// negative number is an error.
func Decode(value []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, fmt.Errorf("ledger: %w", err)
	}
	if l.Tenant == "" {
		return Ledger{}, fmt.Errorf("ledger: no tenant")
	}
	none := job.Resources{}
	if !none.Fits(l.Limit) {
		return Ledger{}, fmt.Errorf("ledger of %s: negative limit", l.Tenant)
	}
	for service, a := range l.Services {
		if !none.Fits(a.Portion) || !none.Fits(a.Demand) || !none.Fits(a.Task) || a.Turn < 0 {
			return Ledger{}, fmt.Errorf("ledger of %s: negative number of service %s", l.Tenant, service)
		}
	}
	return l, nil
}

// with returns a copy of the ledger with another allotment of one service.
func (l Ledger) with(service cluster.Service, a Allotment) Ledger {
	l.Services = maps.Clone(l.Services)
	if l.Services == nil {
		l.Services = map[cluster.Service]Allotment{}
	}
	l.Services[service] = a
	if a == (Allotment{}) {
		delete(l.Services, service)
	}
	return l
}

// nextTurn returns a turn above all others.
func (l Ledger) nextTurn() int64 {
	last := int64(0)
	for _, a := range l.Services {
		last = max(last, a.Turn)
	}
	return last + 1
}

// vector holds the amounts of job.Resources, so that rules for each resource can be loops.
type vector [3]int64

func vectorOf(r job.Resources) vector { return vector{r.MilliCPU, r.MemoryMB, r.GPU} }

func (v vector) resources() job.Resources {
	return job.Resources{MilliCPU: v[0], MemoryMB: v[1], GPU: v[2]}
}

func (v vector) add(o vector) vector {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

func (v vector) sub(o vector) vector {
	for i := range v {
		v[i] -= o[i]
	}
	return v
}

func (v vector) min(o vector) vector {
	for i := range v {
		v[i] = min(v[i], o[i])
	}
	return v
}

func (v vector) max(o vector) vector {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
	return v
}

// fits reports whether v is at most o in each resource.
func (v vector) fits(o vector) bool { return v[0] <= o[0] && v[1] <= o[1] && v[2] <= o[2] }

// where returns v with zero for the resources that have no limit.
func (v vector) where(limit vector) vector {
	for i := range v {
		if limit[i] == 0 {
			v[i] = 0
		}
	}
	return v
}
