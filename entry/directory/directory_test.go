package directory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"gotest.tools/v3/assert"
)

// fakeList is the platform's instance list; it fails if err is set.
type fakeList struct {
	instances []fleet.Instance
	err       error
}

func (l *fakeList) Instances(context.Context) ([]fleet.Instance, error) { return l.instances, l.err }

func server(id string, labels label.Set) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(id), Kind: fleet.KindBackendServer, Zone: "z1", Address: id, Labels: labels}
}

func configOf(services ...object.Service) *object.Config {
	return (&object.Config{}).Apply(object.Change{Put: object.Document{Services: services}})
}

func endpointIDs(d *Directory, service string) (found []string) {
	for _, e := range d.Snapshot().Services[service].Endpoints {
		found = append(found, string(e.ID))
	}
	return found
}

func TestEndpointsFollowEachSource(t *testing.T) {
	svc := label.Set{fleet.LabelService: "svc"}
	leaving := server("d", svc)
	leaving.Leaving = true
	list := &fakeList{instances: []fleet.Instance{
		server("c", svc), server("a", svc), server("b", label.Set{fleet.LabelService: "other"}), leaving,
		{ID: "e", Kind: fleet.KindEntry, Labels: svc},
	}}
	d := New(Options{List: list})
	d.SetConfig(configOf(object.Service{Name: "svc", Pool: "p"}))
	d.poll(t.Context())
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a", "c"})
	assert.Equal(t, len(d.Snapshot().EntryInstances), 1)

	d.SetRecords([]fleet.Record{{ID: "a", Pool: "p", State: fleet.StateServing}, {ID: "c", Pool: "other", State: fleet.StateServing}})
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a"})
	for _, state := range []fleet.State{fleet.StateDraining, fleet.StateMaintenance, fleet.StateReleased} {
		d.SetRecords([]fleet.Record{{ID: "a", Pool: "p", State: state}, {ID: "c", Pool: "p", State: fleet.StateServing}})
		assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"c"})
	}
	// A failed executor stays: the request path ejects it and detects when it has recovered.
	d.SetRecords([]fleet.Record{{ID: "a", Pool: "p", State: fleet.StateFailed}, {ID: "c", Pool: "p", State: fleet.StateServing}})
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a", "c"})
	d.SetRecords([]fleet.Record{{ID: "b", Pool: "p", State: fleet.StateServing, Labels: svc}})
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a", "b", "c"}) // Labels set by operators override those of the platform.
}

// TestSnapshotIsVisibleOnceSubscribersHaveIt holds a subscriber up and reads the snapshot
// meanwhile: whoever reads that a service has endpoints must be able to send requests to
// it through the subscribers.
func TestSnapshotIsVisibleOnceSubscribersHaveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{List: &fakeList{}})
		release := make(chan struct{})
		d.Subscribe(func(s *Snapshot) {
			if s.Services["svc"] != nil {
				<-release
			}
		})
		go d.SetConfig(configOf(object.Service{Name: "svc"}))
		synctest.Wait()
		assert.Assert(t, d.Snapshot().Services["svc"] == nil)
		close(release)
		synctest.Wait()
		assert.Assert(t, d.Snapshot().Services["svc"] != nil)
	})
}

func TestUnavailableListKeepsTheLastList(t *testing.T) {
	list := &fakeList{instances: []fleet.Instance{server("a", label.Set{fleet.LabelService: "svc"})}}
	d := New(Options{List: list})
	d.SetConfig(configOf(object.Service{Name: "svc"}))
	d.poll(t.Context())
	list.err = errors.New("down")
	d.poll(t.Context())
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a"})
	list.err, list.instances = nil, nil
	d.poll(t.Context())
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a"}) // An empty list counts as an outage.
}

func TestNoticeHoldsUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{List: &fakeList{instances: []fleet.Instance{server("a", label.Set{fleet.LabelService: "svc"})}}})
		d.SetConfig(configOf(object.Service{Name: "svc"}))
		d.poll(t.Context())
		published := 0
		d.Subscribe(func(*Snapshot) { published++ })
		d.NoteReadiness("a", true)
		assert.Equal(t, published, 1, "nothing changed")
		d.NoteLeaving("a")
		d.NoteReadiness("a", true)
		assert.Equal(t, len(endpointIDs(d, "svc")), 0, "a ready probe alone does not end the notice")
		assert.Equal(t, len(d.Snapshot().Services["svc"].Noticed), 1)
		d.NoteReadiness("a", false)
		d.NoteReadiness("a", true)
		assert.Equal(t, len(endpointIDs(d, "svc")), 1, "the executor has restarted")
		d.NoteLeaving("a")
		time.Sleep(DefaultNoticeTTL)
		d.poll(t.Context())
		assert.Equal(t, len(endpointIDs(d, "svc")), 1)
	})
}

// BenchmarkRequestPathSnapshot builds a snapshot of 500 executors in 5 services.
func BenchmarkRequestPathSnapshot(b *testing.B) {
	in := inputs{records: map[fleet.InstanceID]fleet.Record{}, notices: map[fleet.InstanceID]notice{}}
	var services []object.Service
	for s := range 5 {
		services = append(services, object.Service{Name: fmt.Sprint("svc", s), Slots: 8})
	}
	in.config = configOf(services...)
	for i := range 500 {
		in.instances = append(in.instances, server(fmt.Sprint(i), label.Set{fleet.LabelService: fmt.Sprint("svc", i%5)}))
	}
	for b.Loop() {
		build(in, time.Time{})
	}
}
