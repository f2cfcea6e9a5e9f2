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

// LOST: a record of a job was taken for a cordon of another service, since the names of services may hold slashes, and removed
// as one that nobody needs any more. Each key must be an entry of its own service only, and found there.
func TestEntriesBelongToOneService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := drawService(t, "y")
		suffix := rapid.SampledFrom([]cluster.Service{"", "/a", "/job", "/cancel", "/cordon", "/exhausted"}).Draw(t, "suffix")
		x := y + suffix
		executor := rapid.SampledFrom([]string{"e-1", "job/0123456789abcdef", "fleet", "a/b", "%2F"}).Draw(t, "executor")
		for key, want := range map[string]struct {
			kind ShardItem
			name string
		}{
			RecordKey(x, goldenJob):                    {ItemRecord, string(goldenJob)},
			CancelKey(x, goldenJob):                    {ItemCancel, string(goldenJob)},
			CordonKey(x, cluster.ExecutorID(executor)): {ItemCordon, executor},
			ExhaustedKey(x):                            {ItemExhausted, "fleet"},
		} {
			kind, name := ParseShardKey(x, key)
			assert.Assert(t, kind == want.kind && name == want.name, "%q", key)
			if strings.HasPrefix(key, ShardPrefix(y)) && x != y {
				kind, _ := ParseShardKey(y, key)
				assert.Equal(t, kind, ItemUnknown, "%q is taken for an entry of %q", key, y)
			}
		}
		if key := ProgressKey(x, goldenJob); strings.HasPrefix(key, ProgressPrefix(y)) {
			_, found := ParseProgressKey(y, key)
			assert.Equal(t, found, x == y, "%q", key)
		}
	})
}
