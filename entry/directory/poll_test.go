package directory

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// BenchmarkRequestPathDirectoryPoll measures a poll of a list of 6,400 executors, the fleet
// size that the design targets: one that returns a new list, and one that returns the same
// list as before.
func BenchmarkRequestPathDirectoryPoll(b *testing.B) {
	list := &fakeList{}
	for i := range 6400 {
		list.instances = append(list.instances, server(fmt.Sprintf("s-%d", i), label.Set{fleet.LabelService: fmt.Sprintf("svc-%d", i%28)}))
	}
	var services []object.Service
	for i := range 28 {
		services = append(services, object.Service{Name: fmt.Sprintf("svc-%d", i)})
	}
	d := New(Options{List: list})
	d.SetConfig((&object.Config{}).Apply(object.Change{Put: object.Document{Services: services}}))
	b.Run("changed", func(b *testing.B) {
		for b.Loop() {
			list.instances = slices.Clone(list.instances)
			d.poll(b.Context())
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			d.poll(b.Context())
		}
	})
}

func TestUnchangedListKeepsTheSnapshotUntilANoticeExpires(t *testing.T) {
	list := &fakeList{instances: []fleet.Instance{server("a", label.Set{fleet.LabelService: "svc"})}}
	d := New(Options{List: list, NoticeTTL: 1})
	d.SetConfig(configOf(object.Service{Name: "svc"}))
	d.poll(t.Context())
	before := d.Snapshot()
	d.poll(t.Context())
	assert.Equal(t, d.Snapshot(), before)
	d.NoteLeaving("a")
	d.poll(t.Context())
	assert.DeepEqual(t, endpointIDs(d, "svc"), []string{"a"})
}
