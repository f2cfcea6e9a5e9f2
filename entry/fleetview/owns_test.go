package fleetview

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/mesh"
)

func TestEmptyViewOwnsItsStreams(t *testing.T) {
	var owner mesh.StreamOwner = New()
	assert.Assert(t, owner.Owns(streamName("palermo")))
	assert.Assert(t, !owner.Owns("config"))
}
