package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["mixed"] = mixed }

const workerCPU = 16000

func newID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

// startSite starts executors of each service and the nodes.
func (s *site) startSite(services []string, executors, nodes int) error {
	s.services = services
	s.configure()
	for _, service := range services {
		for i := range executors {
			labels := []string{string(rune('a' + i%2)), fmt.Sprintf("r1-%d", i/2)}
			if _, err := s.addExecutor(service, "127.0.0.1:0", labels, workerCPU); err != nil {
				return err
			}
		}
	}
	s.run()
	for i := range nodes {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	if !s.awaitReady(20 * time.Second) {
		return fmt.Errorf("the processes did not get ready")
	}
	time.Sleep(1500 * time.Millisecond) // duties are claimed
	return nil
}

// drawJob draws a job with features that the sites of the bench leave out.
func drawJob(r *rand.Rand, queues []*queue, longest int64) *job {
	j := &job{id: newID(r), queue: queues[r.IntN(len(queues))]}
	j.body.Spec = "spec of " + j.id
	for n := range 1 + r.IntN(3) {
		st := Step{Count: 1 + r.IntN(4), CPU: 500 + int64(r.IntN(2500)), Memory: 256}
		work := 200 + int64(r.IntN(int(longest)))
		st.EstimatedMs = work
		if n > 0 && r.IntN(4) > 0 {
			st.After = []int{r.IntN(n)}
		}
		switch r.IntN(6) {
		case 0, 1:
			st.Gang = true
			st.SameRack = r.IntN(3) == 0
		case 2:
			st.MaxPerServer = 1
		case 3:
			st.RequiredLabel = []string{"a", "b"}[r.IntN(2)]
		}
		st.Checkpointing = r.IntN(2) == 0
		j.body.Steps = append(j.body.Steps, st)
		j.workMs = append(j.workMs, work)
	}
	if r.IntN(5) == 0 {
		j.body.RepeatCount = 2 + r.IntN(4)
		j.body.FirstRunMs = time.Now().Add(time.Duration(r.IntN(2000)) * time.Millisecond).UnixMilli()
		j.body.IntervalMs = 300 + int64(r.IntN(1500))
	}
	if r.IntN(12) == 0 {
		// Many small tasks: more ends than an executor lists at a time.
		j.body = Submission{Spec: "spec of " + j.id, Steps: []Step{{Count: 1500, CPU: 1, EstimatedMs: 200}}}
		j.workMs = []int64{200}
	}
	if r.IntN(6) == 0 {
		share := uint64(1 + r.IntN(3))
		j.fails = func(task string, run int) bool {
			h := uint64(run) * 2654435761
			for _, c := range task {
				h = h*31 + uint64(c)
			}
			return h%8 < share
		}
	}
	return j
}

// deliver sends a job until it is accepted, at one node after the other.
func (s *site) deliver(r *rand.Rand, j *job, tries int) bool {
	for range tries {
		if s.submit(s.nodes[r.IntN(len(s.nodes))], j, 3*time.Second) == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func mixed(s *site, trouble bool, r *rand.Rand) error {
	s.queues = []*queue{
		{name: "r-one", prefix: "/one/", service: "alpha", maxAttempts: 4},
		{name: "r-two", prefix: "/two/", service: "alpha", maxAttempts: 2},
		{name: "r-three", prefix: "/three/", service: "beta", maxAttempts: 3},
		{name: "r-four", prefix: "/three/four/", service: "beta", maxAttempts: 3, advice: &adviceTerms{DecisionMs: 20, EachMs: 1, ValidityMs: 3000}},
	}
	s.advice = &adviser{w: s.world}
	if err := s.startSite([]string{"alpha", "beta"}, 5, 3); err != nil {
		return err
	}
	const traffic = 24 * time.Second
	end := time.Now().Add(traffic)
	var clients sync.WaitGroup
	pause := time.Duration(120+r.IntN(200)) * time.Millisecond
	clients.Go(func() {
		cr := rand.New(rand.NewPCG(r.Uint64(), 1))
		for time.Now().Before(end) {
			j := drawJob(cr, s.queues, 1500)
			seed, cancelled, after := cr.Uint64(), cr.IntN(8) == 0, time.Duration(cr.IntN(2500))*time.Millisecond
			clients.Go(func() {
				own := rand.New(rand.NewPCG(seed, 2))
				if s.deliver(own, j, 25) && cancelled {
					time.Sleep(after)
					for range 20 {
						if status := s.cancel(s.nodes[own.IntN(len(s.nodes))], j, 3*time.Second); status == 200 || status == 410 {
							break
						}
					}
				}
			})
			time.Sleep(pause)
		}
	})
	if trouble {
		for time.Until(end) > 3*time.Second {
			time.Sleep(time.Duration(500+r.IntN(3000)) * time.Millisecond)
			if err := s.drawTrouble(r); err != nil {
				return err
			}
		}
	}
	clients.Wait()
	s.heal()
	s.settle(r, 40*time.Second)
	return nil
}

// drawTrouble brings about one disruption.
func (s *site) drawTrouble(r *rand.Rand) error {
	n := s.nodes[r.IntN(len(s.nodes))]
	s.mu.Lock()
	x := s.executors[r.IntN(len(s.executors))]
	s.mu.Unlock()
	long := time.Duration(1000+r.IntN(4000)) * time.Millisecond
	switch r.IntN(14) {
	case 0:
		s.trouble(long, "%s is killed", n.name)
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(300 * time.Millisecond)
		return s.startNode(n)
	case 1:
		s.trouble(long, "%s stands still", n.name)
		n.signal(syscall.SIGSTOP)
		time.AfterFunc(long, func() { n.signal(syscall.SIGCONT) })
	case 2:
		s.trouble(7*time.Second, "%s gets SIGTERM", n.name)
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(6 * time.Second):
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		return s.startNode(n)
	case 3:
		s.trouble(long, "%s is cut off", x.id)
		s.mu.Lock()
		x.cutUntil = time.Now().Add(long)
		s.mu.Unlock()
	case 4:
		s.trouble(2*time.Second, "%s crashes", x.id)
		s.crash(x)
		time.Sleep(time.Second)
		address := "127.0.0.1:0"
		if r.IntN(2) == 0 {
			address = x.address
		}
		if _, err := s.addExecutor(x.service, address, x.labels, x.cpu); err != nil {
			_, err = s.addExecutor(x.service, "127.0.0.1:0", x.labels, x.cpu)
			return err
		}
	case 5:
		s.trouble(long, "the store is down")
		s.store.SetDown(true)
		time.AfterFunc(long, func() {
			s.store.ExtendLeases(long)
			s.store.SetDown(false)
		})
	case 6:
		s.trouble(long, "writes of %s are carried out late", n.name)
		own := rand.New(rand.NewPCG(r.Uint64(), 3))
		var mu sync.Mutex
		n.store.setFault(func(path string, _ []byte) (string, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if path != "/kv-txn" || own.IntN(10) >= 3 {
				return "", 0
			}
			return "late", time.Second + time.Duration(own.IntN(5000))*time.Millisecond
		})
		time.AfterFunc(long, func() { n.store.setFault(nil) })
	case 7:
		s.trouble(long+12*time.Second, "calls to %s are carried out late", x.id)
		until := time.Now().Add(long)
		own := rand.New(rand.NewPCG(r.Uint64(), 4))
		s.mu.Lock()
		x.fault = func(path, _ string) (string, bool) {
			return "late", time.Now().Before(until) && path != "/hold" && own.IntN(2) == 0
		}
		s.mu.Unlock()
	case 8:
		s.trouble(long, "%s is cut off from the store", n.name)
		n.store.setFault(func(string, []byte) (string, time.Duration) { return "silent", 0 })
		time.AfterFunc(long, func() { n.store.setFault(nil) })
	case 9:
		s.trouble(long+12*time.Second, "all calls to %s may be carried out late", x.id)
		s.faulty(r, x, long, "late", 3)
	case 10:
		s.trouble(long, "answers of %s are lost", x.id)
		s.faulty(r, x, long, "lost", 3)
	case 11:
		s.trouble(long, "%s is not healthy", x.id)
		s.faulty(r, x, long, "busy", 5)
	case 12:
		s.trouble(long+4*time.Second, "answers of %s come late", x.id)
		s.faulty(r, x, long, "slow", 6)
	case 13:
		s.trouble(7*time.Second, "%s drains and leaves", x.id)
		s.drain(x)
		time.AfterFunc(2500*time.Millisecond, func() {
			s.mu.Lock()
			x.crash()
			s.mu.Unlock()
			s.store.Delete("servers/" + x.id)
		})
		_, err := s.addExecutor(x.service, "127.0.0.1:0", x.labels, x.cpu)
		return err
	}
	return nil
}

// faulty lets a number of tenths of the calls to an executor meet a fault for a time.
func (s *site) faulty(r *rand.Rand, x *executor, d time.Duration, kind string, tenths int) {
	until := time.Now().Add(d)
	own := rand.New(rand.NewPCG(r.Uint64(), 6))
	s.mu.Lock()
	defer s.mu.Unlock()
	x.fault = func(string, string) (string, bool) { return kind, time.Now().Before(until) && own.IntN(10) < tenths }
}

// heal ends disruptions that last.
func (s *site) heal() {
	s.store.SetDown(false)
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.store.setFault(nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.executors {
		x.cutUntil, x.fault = time.Time{}, nil
	}
	s.log("all disruptions have ended")
}

// settle waits until all jobs are final, and checks them.
func (s *site) settle(r *rand.Rand, limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		open := s.open(r, false)
		if len(open) == 0 {
			return
		}
		if time.Now().After(end) {
			break
		}
		time.Sleep(time.Second)
	}
	s.open(r, true)
}

// open returns the jobs that were accepted and are not final.
func (s *site) open(r *rand.Rand, report bool) []*job {
	s.mu.Lock()
	var list []*job
	for _, j := range s.jobs {
		if !j.accepted.IsZero() && j.final == "" {
			list = append(list, j)
		}
	}
	s.mu.Unlock()
	var open []*job
	for _, j := range list {
		status, state := s.state(s.nodes[r.IntN(len(s.nodes))], j)
		s.mu.Lock()
		switch {
		case status == 410 && j.cancelSent.IsZero():
			s.breaks("LOST", "job %s: GET gets 410", j.id)
			j.final = "gone"
		case state == "completed":
			j.final = state
			if !s.allDone(j) {
				s.breaks("MIXED", "job %s is shown as completed, not all tasks have ended done", j.id)
			}
		case state == "failed":
			j.final = state
			if !s.hasCause(j) {
				s.breaks("LOST", "job %s is shown as failed without cause", j.id)
			}
		case state == "cancelled":
			j.final = state
			if j.cancelSent.IsZero() {
				s.breaks("LOST", "job %s is shown as cancelled without cause", j.id)
			}
		default:
			open = append(open, j)
			if report {
				s.breaks("LOST", "job %s is still %q (status %d), steps %+v", j.id, state, status, j.body)
			}
		}
		s.mu.Unlock()
	}
	return open
}

func (s *site) allDone(j *job) bool {
	for k := range max(1, j.body.RepeatCount) {
		for step := range j.body.Steps {
			if !s.stepDone(j, k, step) {
				return false
			}
		}
	}
	return true
}

// hasCause reports whether a task, or a gang, has failed often enough.
func (s *site) hasCause(j *job) bool {
	byTask, byGang := map[string]int{}, map[string]map[int]bool{}
	for _, e := range s.ends {
		id, _, step, _ := splitTask(e.task)
		if id != j.id || e.how != "failed" {
			continue
		}
		byTask[e.task]++
		if byTask[e.task] >= j.queue.maxAttempts {
			return true
		}
		if j.body.Steps[step].Gang {
			g := stepOf(e.task)
			if byGang[g] == nil {
				byGang[g] = map[int]bool{}
			}
			byGang[g][e.run] = true
			if len(byGang[g]) >= j.queue.maxAttempts {
				return true
			}
		}
	}
	return false
}
