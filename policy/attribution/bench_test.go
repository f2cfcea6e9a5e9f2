package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// The fleet of the measurement: 50 workers, four to a rack, 30 jobs, one of each kind
// bad. A good pair fails now and then. Results come every second.
const (
	benchWorkers   = 50
	benchJobs      = 30
	strayFailures  = 0.03 // share of a good pair's results
	benchResults   = 4000
	naiveThreshold = 3 // failures in a row at which a plain counter blames
)

// judge blames workers and jobs by results.
type judge interface {
	add(r Result)
	worker(id fleet.InstanceID, now time.Time) bool
	job(name string, now time.Time) bool
}

// evidenceJudge is this package's way.
type evidenceJudge struct{ *Evidence }

func (e evidenceJudge) add(r Result) { e.Add(r) }

func (e evidenceJudge) worker(id fleet.InstanceID, now time.Time) bool {
	return e.Worker(id, now).Blamed
}

func (e evidenceJudge) job(name string, now time.Time) bool { return e.Job(name, now).Blamed }

// counterJudge blames whoever failed three times in a row.
type counterJudge struct {
	workers map[fleet.InstanceID]int
	jobs    map[string]int
}

func (c counterJudge) add(r Result) {
	if !r.Failed {
		c.workers[r.Worker], c.jobs[r.Job] = 0, 0
		return
	}
	c.workers[r.Worker]++
	c.jobs[r.Job]++
}

func (c counterJudge) worker(id fleet.InstanceID, _ time.Time) bool {
	return c.workers[id] >= naiveThreshold
}

func (c counterJudge) job(name string, _ time.Time) bool { return c.jobs[name] >= naiveThreshold }

// noticed is how a judge did.
type noticed struct {
	worker, job float64 // seconds until the bad one was blamed
	wrongly     int     // good workers and jobs blamed at any time
}

func notice(j judge, seed uint64) noticed {
	rng := rand.New(rand.NewPCG(seed, 1))
	n := noticed{worker: -1, job: -1}
	wronged := map[string]bool{}
	for second := range benchResults {
		w, job := rng.IntN(benchWorkers), fmt.Sprintf("j-%d", rng.IntN(benchJobs))
		failed := w == 0 || job == "j-0" || rng.Float64() < strayFailures
		r := result(w, job, failed, second)
		j.add(r)
		n.note(j, r, second, wronged)
	}
	n.wrongly = len(wronged)
	return n
}

func (n *noticed) note(j judge, r Result, second int, wronged map[string]bool) {
	if j.worker(r.Worker, r.At) {
		if r.Worker != worker(0) {
			wronged[string(r.Worker)] = true
		} else if n.worker < 0 {
			n.worker = float64(second)
		}
	}
	if j.job(r.Job, r.At) {
		if r.Job != "j-0" {
			wronged[r.Job] = true
		} else if n.job < 0 {
			n.job = float64(second)
		}
	}
}

// BenchmarkPlacementNotice reports how long a bad worker and a hopeless job stay
// unnoticed at one result a second, and how many good ones are blamed.
func BenchmarkPlacementNotice(b *testing.B) {
	for name, make := range map[string]func() judge{
		"naive": func() judge { return counterJudge{map[fleet.InstanceID]int{}, map[string]int{}} },
		"split": func() judge { return evidenceJudge{New()} },
	} {
		b.Run(name, func(b *testing.B) {
			var n noticed
			for range b.N {
				n = notice(make(), 1)
			}
			b.ReportMetric(n.worker, "worker-s")
			b.ReportMetric(n.job, "job-s")
			b.ReportMetric(float64(n.wrongly), "wrongly-blamed")
		})
	}
}
