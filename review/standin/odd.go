package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["odd"] = odd }

// drawOddJob draws a valid job with numbers and features at their ends.
func drawOddJob(r *rand.Rand, queues []*queue) *job {
	pick := func(list ...int64) int64 { return list[r.IntN(len(list))] }
	j := &job{id: newID(r), queue: queues[r.IntN(len(queues))]}
	j.body.Spec = []string{"", "x", strings.Repeat("é", 2000), strings.Repeat("<", 4000), "a\u2028b\x00\"\\", "\U0001F600"}[r.IntN(6)]
	for n := range 1 + r.IntN(5) {
		st := Step{Count: int(pick(1, 1, 2, 5, 40, 400)), CPU: pick(0, 1, 100, 1000, 16000, 17000, 1_000_000), Memory: pick(0, 1, 100, 65536, 70000)}
		st.EstimatedMs = pick(0, 1, 100, 1000, 100_000)
		for a := range n {
			if r.IntN(2) == 0 {
				st.After = append(st.After, a)
			}
		}
		if r.IntN(4) == 0 && n > 0 {
			st.After = append(st.After, 0, 0)
		}
		st.Gang, st.SameRack = r.IntN(3) == 0, r.IntN(3) == 0
		st.RequiredLabel = []string{"", "", "a", "none"}[r.IntN(4)]
		st.Affinity = []string{"", "", "r1-0", "r9-9"}[r.IntN(4)]
		st.MaxPerServer = int(pick(0, 0, 1, 3, 1000))
		st.Speculative, st.LongRunning, st.Checkpointing = r.IntN(4) == 0, r.IntN(4) == 0, r.IntN(3) == 0
		st.MayMiss = int(pick(0, 0, 1, 50))
		st.Image = []string{"", "img", strings.Repeat("i", 500)}[r.IntN(3)]
		j.body.Steps = append(j.body.Steps, st)
		j.workMs = append(j.workMs, pick(1, 50, 300, 1500))
	}
	if r.IntN(4) == 0 {
		j.body.RepeatCount = int(pick(1, 2, 30))
		j.body.FirstRunMs = time.Now().UnixMilli() + pick(-5000, 0, 1000, 20_000)
		j.body.IntervalMs = pick(0, 1, 100, 3000)
	}
	if r.IntN(3) == 0 {
		j.fails = func(_ string, run int) bool { return run%3 != 0 }
	}
	return j
}

// odd hands odd jobs in, and cancels some, with restarts in between; then sound jobs have to complete.
func odd(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{
		{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 2},
		{name: "r-two", prefix: "/one/two/", service: "alpha", maxAttempts: 1, advice: &adviceTerms{DecisionMs: 5, EachMs: 0.5, ValidityMs: 3000}},
	}
	s.advice = &adviser{w: s.world}
	if err := s.startSite([]string{"alpha"}, 6, 2); err != nil {
		return err
	}
	var jobs []*job
	for n := range 60 {
		j := drawOddJob(r, s.queues)
		status := s.submit(s.nodes[r.IntN(len(s.nodes))], j, 3*time.Second)
		if status != 200 {
			s.note("odd job %s: %d %+v repeat %d", j.id, status, j.body.Steps, j.body.RepeatCount)
		}
		jobs = append(jobs, j)
		time.Sleep(100 * time.Millisecond)
		if trouble && n%15 == 14 {
			node := s.nodes[r.IntN(len(s.nodes))]
			s.trouble(time.Second, "%s is killed", node.name)
			node.signal(syscall.SIGKILL)
			<-node.exited
			if err := s.startNode(node); err != nil {
				return err
			}
			s.awaitReady(10 * time.Second)
		}
	}
	for _, n := range s.nodes {
		select {
		case <-n.exited:
			s.mu.Lock()
			s.breaks("CRASH", "%s has ended by itself", n.name)
			s.mu.Unlock()
		default:
		}
	}
	for _, j := range jobs {
		for range 10 {
			if status := s.cancel(s.nodes[r.IntN(len(s.nodes))], j, 3*time.Second); status == 200 || status == 410 {
				break
			}
		}
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for i := range 10 {
		j := &job{id: newID(r), queue: s.queues[i%2], workMs: []int64{200}}
		j.body = Submission{Spec: fmt.Sprint("sound ", i), Steps: []Step{{Count: 2, CPU: 1000, Memory: 100, EstimatedMs: 200}}}
		own := rand.New(rand.NewPCG(r.Uint64(), 7))
		clients.Go(func() { s.deliver(own, j, 10) })
	}
	clients.Wait()
	s.settle(r, 15*time.Second)
	return nil
}
