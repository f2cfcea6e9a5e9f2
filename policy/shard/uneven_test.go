package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

func unevenLoads() map[string]unevenLoad {
	base := unevenLoad{
		executors: 24, capacity: bigExecutor, racks: 3, load: 0.9, largeShare: 0.3,
		small: smallTasks, large: largeTasks, duration: 80 * time.Second,
	}
	wrong := base
	wrong.misestimate = true
	images := wrong
	images.images = 8
	racks := base
	racks.affinity = true
	racks.load = 0.5
	memory := base
	memory.small = memoryTasks
	memory.large = func(r *rand.Rand) job.Step { return stepOf(r, 2, 8_000, 150_000) }
	return map[string]unevenLoad{"stream": base, "wrong estimates": wrong, "images": images, "racks": racks, "memory": memory}
}

func TestTrial(t *testing.T) {
	for name, l := range unevenLoads() {
		for seed := range uint64(3) {
			before, after := l.play(t, seed+1, formerRule), l.play(t, seed+1, largeFactor)
			bs, bl := before.outcomes()
			as, al := after.outcomes()
			t.Logf("%s %d\n small %v -> %v\n large %v -> %v %+v", name, seed, bs, as, bl, al, after.counts)
		}
	}
}
