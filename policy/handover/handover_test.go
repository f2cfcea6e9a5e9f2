package handover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// second is one second of an owner's log.
type second struct{ cpuMs, batches, full, schedulable, oldestMs int }

// detect returns after how many seconds an owner hands over; 0 if it doesn't.
func detect(cores float64, seconds []second) int {
	var d Detector
	start := time.Unix(0, 0)
	for i, s := range seconds {
		load := Load{
			At: start.Add(time.Duration(i+1) * time.Second), Period: time.Second,
			CPUTime: time.Duration(s.cpuMs) * time.Millisecond, Cores: cores,
			Batches: s.batches, Full: s.full, Schedulable: s.schedulable,
			SchedulableOldest: time.Duration(s.oldestMs) * time.Millisecond,
		}
		if d.Overloaded(load) {
			return i + 1
		}
	}
	return 0
}

// Guards against jobs that never start on idle executors since their owner, an instance with 0.192
// cores, stores a third of the batches that the service needs. Recorded after a restart of all instances: 375
// jobs were left when the last ones were due.
func TestOwnerShortOfCPUTimeKeepsItsDuty(t *testing.T) {
	recorded := []second{
		{63, 6, 0, 0, 0}, {162, 18, 10, 9, 0}, {164, 16, 11, 120, 0}, {166, 4, 4, 791, 1002}, {154, 11, 11, 1224, 2004}, {163, 8, 8, 1195, 2107},
	}
	assert.Equal(t, detect(0.192, recorded), 4)
}

// Guards against handovers that cost the service a second and gain nothing.
func TestOwnerHandsOverWithoutNeed(t *testing.T) {
	for name, test := range map[string]struct {
		cores   float64
		seconds []second
	}{
		"no tasks that could start":  {0.192, []second{{163, 10, 3, 0, 0}, {155, 14, 9, 0, 0}, {144, 12, 8, 0, 0}, {147, 20, 11, 0, 0}}},
		"batches are not full":       {0.192, []second{{163, 12, 2, 5, 2000}, {165, 14, 0, 5, 2000}, {154, 12, 0, 3, 2000}, {147, 20, 0, 4, 2000}}},
		"enough CPU time":            {0.8, []second{{314, 31, 20, 30, 2000}, {406, 34, 20, 30, 2000}, {341, 34, 20, 9, 2000}, {345, 31, 18, 2, 2000}}},
		"store limits the batches":   {0.192, []second{{105, 8, 8, 1011, 2000}, {105, 8, 8, 1011, 2000}, {90, 2, 2, 1011, 2000}, {100, 3, 3, 1011, 2000}}},
		"interrupted":                {0.192, []second{{163, 9, 9, 99, 2000}, {165, 9, 9, 99, 2000}, {40, 9, 9, 99, 2000}, {163, 9, 9, 99, 2000}, {163, 9, 9, 99, 2000}}},
		"unknown capacity":           {0, []second{{163, 9, 9, 99, 2000}, {165, 9, 9, 99, 2000}, {163, 9, 9, 99, 2000}, {163, 9, 9, 99, 2000}}},
		"no batch, the store is out": {0.192, []second{{163, 0, 0, 99, 2000}, {165, 0, 0, 99, 2000}, {163, 0, 0, 99, 2000}, {163, 0, 0, 99, 2000}}},
		// Recorded on a day of high load: the executors are full, and the next batch starts what fits.
		"nearly full executors": {0.8, []second{{619, 50, 44, 71, 0}, {646, 49, 49, 9, 0}, {634, 47, 47, 3, 0}, {674, 46, 46, 118, 0}}},
	} {
		assert.Equal(t, detect(test.cores, test.seconds), 0, name)
	}
}

func TestSuccessorNeedsMoreCapacity(t *testing.T) {
	assert.Assert(t, Sufficient(0.8, 0.192, 1))
	assert.Assert(t, !Sufficient(0.192, 0.192, 1))
	assert.Assert(t, Sufficient(0.192, 0.192, 2), "each of two duties has half of the capacity")
	assert.Assert(t, !Sufficient(0.192, 0.8, 2))
	assert.Assert(t, !Sufficient(0.8, 0.8, 1))
	assert.Assert(t, !Sufficient(0, 0.192, 1), "unknown capacity of the candidate")
	assert.Assert(t, !Sufficient(0.8, 0, 1), "unknown capacity of the owner")
}
