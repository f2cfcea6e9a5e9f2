package object

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestApplyDoesNotModifyEarlierConfigurations(t *testing.T) {
	empty := &Config{}
	first := empty.Apply(Change{ID: "a", Put: Document{Services: []Service{{Name: "terreni", Slots: 8}}}})
	second := first.Apply(Change{ID: "b", Delete: []Key{{KindService, "terreni"}}})

	assert.Equal(t, first.Revision, Revision(1))
	assert.Equal(t, first.RevisionOf(Key{KindService, "terreni"}), Revision(1))
	assert.Equal(t, second.RevisionOf(Key{KindService, "terreni"}), Revision(0))
	assert.Equal(t, len(empty.Services), 0)
}
