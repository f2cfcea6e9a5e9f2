package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// defaultSelectorKey is the label that selects the executors of a service without a
// selector.
const defaultSelectorKey = fleet.LabelService

// inputs holds all data from which a snapshot is built.
type inputs struct {
	config    *object.Config
	instances []fleet.Instance
	records   map[fleet.InstanceID]fleet.Record
	notices   map[fleet.InstanceID]notice
}

// build merges the inputs into a snapshot.
func build(in inputs, now time.Time) *Snapshot {
	snapshot := &Snapshot{Config: in.config, Services: map[string]*Service{}}
	for _, instance := range in.instances {
		if instance.Kind == fleet.KindEntry && !instance.Leaving {
			snapshot.EntryInstances = append(snapshot.EntryInstances, instance)
		}
	}
	if in.config == nil {
		return snapshot
	}
	servers := in.servers(now)
	for name, versioned := range in.config.Services {
		snapshot.Services[name] = buildService(servers, versioned.Spec)
	}
	return snapshot
}

// backendServer is a backend server with the data that decides which services it serves.
type backendServer struct {
	fleet.Instance
	record   fleet.Record
	recorded bool
	noticed  bool // it has given notice that it is leaving
	labels   label.Set
}

// servers joins the backend servers with their records and notices, once for all services.
func (in inputs) servers(now time.Time) []backendServer {
	var out []backendServer
	for _, instance := range in.instances {
		if instance.Kind != fleet.KindBackendServer {
			continue
		}
		record, recorded := in.records[instance.ID]
		out = append(out, backendServer{
			Instance: instance, record: record, recorded: recorded,
			noticed: now.Before(in.notices[instance.ID].until), labels: fleet.ServingLabels(instance, record),
		})
	}
	return out
}

func buildService(servers []backendServer, spec object.Service) *Service {
	service := &Service{Spec: spec}
	selector, err := selectorOf(spec)
	if err != nil {
		return service // Validation refuses such a selector; having no endpoints is the safe fallback.
	}
	for i := range servers {
		server := &servers[i]
		endpoint := Endpoint{ID: server.ID, Address: server.Address, Zone: server.Zone}
		switch server.exclusion(spec, selector) {
		case Included:
			service.Endpoints = append(service.Endpoints, endpoint)
		case OwnNotice:
			service.Noticed = append(service.Noticed, endpoint)
		}
	}
	slices.SortFunc(service.Endpoints, byID)
	slices.SortFunc(service.Noticed, byID)
	return service
}

func byID(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }

func selectorOf(spec object.Service) (label.Selector, error) {
	if spec.Selector == "" {
		return label.Parse(defaultSelectorKey + "=" + spec.Name)
	}
	return label.Parse(spec.Selector)
}

// exclusion returns why the server is not an endpoint of the service, or Included.
func (s *backendServer) exclusion(spec object.Service, selector label.Selector) Exclusion {
	if !selector.Matches(s.labels) {
		return NoMatch
	}
	if s.Leaving {
		return PlatformLeaving
	}
	if s.recorded {
		if reason := recordExclusion(s.record, spec); reason != Included {
			return reason
		}
	}
	if s.noticed {
		return OwnNotice
	}
	return Included
}

// recordExclusion returns why the fleet record excludes the instance from the service, or
// Included. A released instance is in no pool, so it serves only services that require
// none.
func recordExclusion(record fleet.Record, spec object.Service) Exclusion {
	if spec.Pool != "" && record.State != fleet.StateReleased && record.Pool != spec.Pool {
		return OtherPool
	}
	if !routable(record.State) && !(record.State == fleet.StateReleased && spec.Pool == "") {
		return Drained
	}
	return Included
}

// routable reports whether an instance of a pool in the state receives requests. A failed
// one does as long as the platform lists it: the request path ejects it and detects when
// it has recovered.
func routable(state fleet.State) bool {
	return state == fleet.StateServing || state == fleet.StateFailed
}
