package layout

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

// drawService draws the name of a service, often one that looks like a part of a key.
func drawService(t *rapid.T, label string) cluster.Service {
	parts := rapid.SliceOfN(rapid.SampledFrom([]string{"fleet", "service:", "a", "/", "job", "cordon", "exhausted", "%66", "#"}), 1, 4).Draw(t, label)
	return cluster.Service(strings.Join(parts, ""))
}

// LOST: a service had the key of the duty to plan the fleet, since it was called like it.
func TestDutiesHaveDifferentKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := drawService(t, "x"), drawService(t, "y")
		assert.Assert(t, OwnerKey(ServiceDuty(x)) != OwnerKey(FleetDuty), "%q", x)
		assert.Equal(t, OwnerKey(ServiceDuty(x)) == OwnerKey(ServiceDuty(y)), x == y, "%q and %q", x, y)
		if former, changed := FormerOwnerKey(ServiceDuty(x)); changed {
			assert.Assert(t, former != OwnerKey(ServiceDuty(x)))
		}
	})
}

// Instances of two versions must not both lead a service: the key of a service with an ordinary name is that of commit 81f8b51.
func TestServicesKeepTheirKeys(t *testing.T) {
	for _, s := range []cluster.Service{"terreni", "fleets", "a/b", "città", "50%"} {
		assert.Equal(t, OwnerKey(ServiceDuty(s)), "owners/"+string(s))
	}
}
