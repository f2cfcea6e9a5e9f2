package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// The benchmark's fleet has 50 workers, four in a rack, and 30 jobs, with one bad worker
// and one always-failing job. Other pairs fail at random. There is one result a second.
const (
	benchWorkers       = 50
	benchJobs          = 30
	randomFailureShare = 0.03 // of the results of pairs without the bad worker or job
	benchResults       = 4000
	naiveThreshold     = 3 // consecutive failures at which counterBlamer blames
)

// blamer blames workers and jobs by their results.
type blamer interface {
	add(r Result)
	worker(id fleet.InstanceID, now time.Time) bool
	job(name string, now time.Time) bool
}

// evidenceBlamer blames by this package's Evidence.
type evidenceBlamer struct{ *Evidence }

func (e evidenceBlamer) add(r Result) { e.Add(r) }

func (e evidenceBlamer) worker(id fleet.InstanceID, now time.Time) bool {
	return e.Worker(id, now).Blamed
}

func (e evidenceBlamer) job(name string, now time.Time) bool { return e.Job(name, now).Blamed }

// counterBlamer blames workers and jobs after naiveThreshold consecutive failures.
type counterBlamer struct {
	workers map[fleet.InstanceID]int
	jobs    map[string]int
}

func (c counterBlamer) add(r Result) {
	if !r.Failed {
		c.workers[r.Worker], c.jobs[r.Job] = 0, 0
		return
	}
	c.workers[r.Worker]++
	c.jobs[r.Job]++
}

func (c counterBlamer) worker(id fleet.InstanceID, _ time.Time) bool {
	return c.workers[id] >= naiveThreshold
}

func (c counterBlamer) job(name string, _ time.Time) bool { return c.jobs[name] >= naiveThreshold }

// detection is the result of a blamer.
type detection struct {
	worker, job   float64 // seconds until the bad one is blamed, -1 if never
	wronglyBlamed int     // number of good workers and jobs blamed at any time
}

func detect(b blamer, seed uint64) detection {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := detection{worker: -1, job: -1}
	wronglyBlamed := map[string]bool{}
	for second := range benchResults {
		w, job := rng.IntN(benchWorkers), fmt.Sprintf("j-%d", rng.IntN(benchJobs))
		failed := w == 0 || job == "j-0" || rng.Float64() < randomFailureShare
		r := result(w, job, failed, second)
		b.add(r)
		d.record(b, r, second, wronglyBlamed)
	}
	d.wronglyBlamed = len(wronglyBlamed)
	return d
}

func (d *detection) record(b blamer, r Result, second int, wronglyBlamed map[string]bool) {
	if b.worker(r.Worker, r.At) {
		if r.Worker != worker(0) {
			wronglyBlamed[string(r.Worker)] = true
		} else if d.worker < 0 {
			d.worker = float64(second)
		}
	}
	if b.job(r.Job, r.At) {
		if r.Job != "j-0" {
			wronglyBlamed[r.Job] = true
		} else if d.job < 0 {
			d.job = float64(second)
		}
	}
}

// BenchmarkPlacementBlame reports the time until a bad worker and an always-failing job
// are blamed, at one result a second, and how many good ones are blamed.
func BenchmarkPlacementBlame(b *testing.B) {
	for name, newBlamer := range map[string]func() blamer{
		"naive":    func() blamer { return counterBlamer{map[fleet.InstanceID]int{}, map[string]int{}} },
		"evidence": func() blamer { return evidenceBlamer{New()} },
	} {
		b.Run(name, func(b *testing.B) {
			var d detection
			for range b.N {
				d = detect(newBlamer(), 1)
			}
			b.ReportMetric(d.worker, "worker-s")
			b.ReportMetric(d.job, "job-s")
			b.ReportMetric(float64(d.wronglyBlamed), "wrongly-blamed")
		})
	}
}
