package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/label"
)

func TestOperatorsCannotOverrideDerivedLabels(t *testing.T) {
	instance := Instance{Kind: KindWorker, Zone: "palermo", Rack: "r1", Labels: label.Set{"service": "terreni", "disk": "ssd"}}
	record := Record{Pool: "workers", Labels: label.Set{"service": "irriguo", "zone": "catania", "rack": "r9", "pool": "other"}}
	assert.DeepEqual(t, ServingLabels(instance, record), label.Set{
		"service": "irriguo", "disk": "ssd", "zone": "palermo", "rack": "r1", "kind": "worker", "pool": "workers",
	})
}
