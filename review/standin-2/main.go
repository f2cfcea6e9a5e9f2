// The cases of the second review that are scripts: the project's processes among stand-ins, on loopback.
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the case runs
// without its trouble.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*world){
	"gang-advice":    gangWithAdvice,
	"service-name":   serviceName,
	"advice-starved": starvedAdvice,
	"waiting-route":  waitingAfterRoute,
	"waiting-cut":    waitingWhileCut,
	"advice-empty":   emptyAdvice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("want a case and the path of its record")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	time.AfterFunc(110*time.Second, func() { w.cannotRun("it took too long") })
	cases[os.Args[1]](w)
	w.cannotRun("no conclusion")
}

// gangWithAdvice: LOST. A gang on a queue with advice. The advice service takes 50 ms for each worker named, so that a
// call on all 30 executors takes 1.6 s; without the trouble it takes 10 ms for each.
func gangWithAdvice(w *world) {
	const tasks, machines = 14, 30
	each := 50 * time.Millisecond
	if !w.trouble {
		each = 10 * time.Millisecond
	}
	advice := w.startAdvice(100*time.Millisecond, each, 3*time.Second, func(*executor) bool { return true })
	for i := range machines {
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), 16000)
	}
	w.configure(1, 3000, []string{"huvo11a"}, route{name: "r-u6wsjnb", prefix: "/puxa400/", service: "huvo11a", advice: advice})
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)

	const plain, gang = "00000000000000a1", "00000000000000b1"
	step := `{"spec":"ms=800%s","steps":[{"count":%d,"cpu":9000,"mem-mb":1024,"estimated-ms":800%s}]}`
	for job, body := range map[string]string{
		plain: fmt.Sprintf(step, "", tasks, ""),
		gang:  fmt.Sprintf(step, fmt.Sprintf(" gang=%d", tasks), tasks, `,"gang":true`),
	} {
		if !w.submit(w.nodes[0], "/puxa400/"+job, body) {
			w.cannotRun("a job was not accepted")
		}
	}
	w.record("end of the traffic")
	time.Sleep(14 * time.Second) // bounds.finish_s
	idleSince := time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runs(gang) > 0 || w.state(w.nodes[1], "/puxa400/"+gang) == "completed" {
			idleSince = time.Now()
		}
	}
	idle := time.Since(idleSince)
	stateOf := func(job string) string {
		state := w.state(w.nodes[1], "/puxa400/"+job)
		w.record("client: GET %s -> %s", job, state)
		return state
	}
	w.conclude(idle >= 3*time.Second, "the gang of %d tasks has run nothing for %.1f s from finish_s on, with %d executors idle, and is %s; the same tasks without gang: %s",
		tasks, idle.Seconds(), machines, stateOf(gang), stateOf(plain))
}

// waitingAfterRoute: MIXED. Jobs of a queue wait while a new version of the configuration sends the queue to another
// service.
func waitingAfterRoute(w *world) {
	for i := range 4 {
		service := []string{"huvo11a", "kafi81c"}[i/2]
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), service, fmt.Sprintf("r1-%d", i), 16000)
	}
	services := []string{"huvo11a", "kafi81c"}
	const prefix = "/puxa400/"
	queue := route{name: "r-u6wsjnb", prefix: prefix, service: "huvo11a"}
	other := route{name: "r-m68k7b2", prefix: "/wuhu344/", service: "kafi81c"}
	w.configure(1, 3000, services, queue, other)
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)
	const busy, each = 4, 12
	var jobs []string
	for i := range busy + each {
		job := fmt.Sprintf("%016x", 0xc00+i)
		work := 1000
		if i < busy {
			work = 30000 // fills the two executors of the service
		}
		body := fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":1,"cpu":8000,"mem-mb":1024,"estimated-ms":%d}]}`, work, work)
		if !w.submit(w.nodes[i%3], prefix+job, body) {
			w.cannotRun("a job was not accepted")
		}
		if i < busy {
			w.await(5*time.Second, "a long job to begin", func() bool { return w.hasBegun(job) })
		}
		jobs = append(jobs, job)
	}
	accepted := time.Now()
	time.Sleep(3 * time.Second)
	w.record("client: GET %s -> waiting %d at %s", prefix, w.waiting(w.nodes[0], prefix), w.nodes[0].name)
	if w.trouble {
		queue.service = "kafi81c"
	}
	w.configure(2, 2900, services, queue, other)
	time.Sleep(time.Until(accepted.Add(5 * time.Second))) // bounds.visible_ms and 2 s
	wrong, answers := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, n := range w.nodes {
			shown := w.waiting(n, prefix)
			unbegun := 0
			for _, job := range jobs {
				if !w.hasBegun(job) {
					unbegun++
				}
			}
			w.record("client: GET %s at %s -> waiting %d; %d jobs accepted over 5 s before have not begun", prefix, n.name, shown, unbegun)
			answers++
			if shown >= 0 && 2*shown < unbegun {
				wrong++
			}
		}
	}
	w.conclude(wrong > 0, "%d of %d answers gave as waiting under half of the jobs that had not begun", wrong, answers)
}

// waitingWhileCut: MIXED. Two of twelve executors are cut off when jobs come.
func waitingWhileCut(w *world) {
	for i := range 12 {
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), 16000)
	}
	const prefix = "/puxa400/"
	w.configure(1, 3000, []string{"huvo11a"}, route{name: "r-u6wsjnb", prefix: prefix, service: "huvo11a"})
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)
	body := `{"spec":"ms=800","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimated-ms":800}]}`
	var jobs []string
	acceptedAt := map[string]time.Time{}
	hand := func(i int) {
		job := fmt.Sprintf("%016x", 0xd00+i)
		if !w.submit(w.nodes[i%3], prefix+job, body) {
			w.cannotRun("a job was not accepted")
		}
		acceptedAt[job] = time.Now()
		jobs = append(jobs, job)
	}
	hand(0)
	w.await(5*time.Second, "the first job to begin", func() bool { return w.hasBegun(jobs[0]) })
	if w.trouble {
		cut := 0
		for _, e := range w.executors {
			e.mu.Lock()
			runs := len(e.running)
			e.mu.Unlock()
			if runs > 0 || cut == 0 && e.id == "i-11" {
				cut++
				e.partition(5500 * time.Millisecond)
			}
		}
	}
	for i := 1; i <= 8; i++ {
		hand(i)
		time.Sleep(50 * time.Millisecond)
	}
	wrong, answers, worst := 0, 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		unbegun := 0
		for _, job := range jobs {
			if time.Since(acceptedAt[job]) > 5*time.Second && !w.hasBegun(job) {
				unbegun++
			}
		}
		shown := w.waiting(w.nodes[answers%3], prefix)
		w.record("client: GET %s at %s -> waiting %d; %d jobs accepted over 5 s before have not begun", prefix, w.nodes[answers%3].name, shown, unbegun)
		answers++
		if shown >= 0 && 2*shown < unbegun {
			wrong++
			worst = max(worst, unbegun)
		}
	}
	w.conclude(wrong > 0, "%d of %d answers gave as waiting under half of the jobs that had not begun, %d at most", wrong, answers, worst)
}

// emptyAdvice: LOST. The only executor that may run a job that lasts crashes; its machine has another one after 5 s.
func emptyAdvice(w *world) {
	const machines = 8
	advice := w.startAdvice(50*time.Millisecond, 10*time.Millisecond, 30*time.Second, func(e *executor) bool { return e.machine == "m-00" })
	for i := range machines {
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), 16000)
	}
	const prefix, job = "/puxa400/", "00000000000000e1"
	w.configure(1, 3000, []string{"huvo11a"}, route{name: "r-u6wsjnb", prefix: prefix, service: "huvo11a", advice: advice})
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)
	body := `{"spec":"ms=0","steps":[{"count":2,"cpu":1000,"mem-mb":256,"estimated-ms":1000,"long-running":true}]}`
	if !w.submit(w.nodes[0], prefix+job, body) {
		w.cannotRun("the job was not accepted")
	}
	w.await(5*time.Second, "the job to begin", func() bool { return w.runs(job) == 2 })
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.executors[0].crash()
		time.Sleep(5 * time.Second)
		w.startExecutor("i-0b", "m-00", "huvo11a", "r1-0", 16000)
	}
	// Judged are 3 s from 4 s after the executor is back on, which is also 6 s after the last run.
	time.Sleep(4 * time.Second)
	longest, idleSince := time.Duration(0), time.Now()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runs(job) > 0 {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	w.conclude(longest >= 3*time.Second, "from 4 s after its executor was back, empty, the job that lasts had no run for %.1f s", longest.Seconds())
}

// starvedAdvice: LOST. Three of sixty jobs can never be done: the queue's policy permits no executor for them.
func starvedAdvice(w *world) {
	const machines, before, never, after = 36, 30, 3, 27
	hopeless := func(i int) bool { return w.trouble && i >= before && i < before+never }
	advice := w.startAdvice(50*time.Millisecond, 10*time.Millisecond, 3*time.Second, func(*executor) bool { return true })
	for i := range machines {
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), 16000)
	}
	const prefix = "/puxa400/"
	w.configure(1, 3000, []string{"huvo11a"}, route{name: "r-u6wsjnb", prefix: prefix, service: "huvo11a", advice: advice})
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)
	var jobs []string
	for i := range before + never + after {
		job := fmt.Sprintf("%016x", 0xf00+i)
		body := `{"spec":"ms=800","steps":[{"count":2,"cpu":900,"mem-mb":1024,"estimated-ms":800}]}`
		if i >= before && i < before+never {
			body = `{"spec":"ms=0","steps":[{"count":2,"cpu":900,"mem-mb":1024,"estimated-ms":800,"long-running":true}]}`
		}
		if hopeless(i) {
			w.advice.forbid(job)
		}
		if !w.submit(w.nodes[i%3], prefix+job, body) {
			w.cannotRun("a job was not accepted")
		}
		jobs = append(jobs, job)
		time.Sleep(500 * time.Millisecond)
	}
	w.record("end of the traffic")
	time.Sleep(14 * time.Second) // bounds.finish_s
	idleSince := map[string]time.Time{}
	lost := map[string]bool{}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, job := range jobs {
			switch {
			case hopeless(i) || w.hasBegun(job):
				delete(idleSince, job)
			case idleSince[job].IsZero():
				idleSince[job] = time.Now()
			case time.Since(idleSince[job]) >= 3*time.Second:
				lost[job] = true
			}
		}
	}
	for i, job := range jobs {
		w.record("client: GET %s -> %s; can never be done: %t", job, w.state(w.nodes[1], prefix+job), hopeless(i))
	}
	w.conclude(len(lost) > 0, "%d of %d jobs that could be done had no run for 3 s from finish_s on, with %d executors idle", len(lost), before+after, machines)
}

// serviceName: LOST. One of two services has the name "fleet".
func serviceName(w *world) {
	first := "fleet"
	if !w.trouble {
		first = "fleets"
	}
	services := []string{first, "kafi81c"}
	prefixes := []string{"/puxa400/", "/wuhu344/"}
	for i := range 8 {
		w.startExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), services[i/4], fmt.Sprintf("r1-%d", i/4), 16000)
	}
	w.configure(1, 3000, services,
		route{name: "r-u6wsjnb", prefix: prefixes[0], service: services[0]}, route{name: "r-m68k7b2", prefix: prefixes[1], service: services[1]})
	w.startNodes("front-palermo-1", "front-palermo-2", "front-palermo-3")
	time.Sleep(4 * time.Second)
	body := `{"spec":"ms=800","steps":[{"count":2,"cpu":900,"mem-mb":1024,"estimated-ms":800}]}`
	const each = 10
	states := func(q int) map[string]int {
		counts := map[string]int{}
		for i := range each {
			path := fmt.Sprintf("%s%016x", prefixes[q], 0xa00+0x100*q+i)
			state := w.state(w.nodes[i%3], path)
			w.record("client: GET %s at %s -> %s", path, w.nodes[i%3].name, state)
			counts[state]++
		}
		return counts
	}
	for i := range each {
		for q := range prefixes {
			if !w.submit(w.nodes[i%3], fmt.Sprintf("%s%016x", prefixes[q], 0xa00+0x100*q+i), body) {
				w.cannotRun("a job was not accepted")
			}
		}
	}
	w.record("end of the traffic")
	time.Sleep(17 * time.Second) // bounds.finish_s and the 3 s of the rule
	unbegun := 0
	for i := range each {
		if !w.hasBegun(fmt.Sprintf("%016x", 0xa00+i)) {
			unbegun++
		}
	}
	w.conclude(unbegun > 0, "%d of %d accepted jobs of service %q have not begun 17 s after the end of the traffic, with all executors idle: %v; those of the other service: %v",
		unbegun, each, first, states(0), states(1))
}
