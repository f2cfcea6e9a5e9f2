// Command standin plays one scenario of the review: it starts the project's own program as separate processes on
// loopback, with stand-ins for clients, executors, the store and the advice service, and checks rules of the pages.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// scenario plays a case; trouble says whether with its disruption.
type scenario func(s *site, trouble bool, r *rand.Rand) error

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("scenario", "", "which to play")
	program := flag.String("program", "target/tarragond", "the project's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "of what is drawn")
	rule := flag.String("rule", "", "the rule whose breach counts; empty for any")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *rule, *seed, *keep))
}

// timeLimit bounds a play.
const timeLimit = 110 * time.Second

// endEarly ends the play, with all processes that it started, on a signal and after timeLimit.
func (s *site) endEarly(out *os.File) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		s.note("ended early")
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		_ = out.Close()
		_ = os.RemoveAll(s.dir)
		os.Exit(couldNotRun)
	}()
}

// couldNotRun is the exit status of a play that could not run.
const couldNotRun = 2

func play(name, program, record, rule string, seed uint64, keep bool) int {
	out, err := os.Create(record)
	if err != nil || scenarios[name] == nil {
		fmt.Fprintln(os.Stderr, "can't run:", name, err)
		return couldNotRun
	}
	defer out.Close()
	path, err := filepath.Abs(program)
	if err != nil {
		return couldNotRun
	}
	s, err := newSite(newWorld(out), path)
	if err != nil {
		return couldNotRun
	}
	if keep {
		fmt.Println("logs:", s.dir)
	} else {
		defer os.RemoveAll(s.dir)
	}
	s.endEarly(out)
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("scenario %s, seed %d, with disruption: %v", name, seed, trouble)
	began := time.Now()
	err = scenarios[name](s, trouble, rand.New(rand.NewPCG(seed, 52)))
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkAfterwards()
	if err != nil {
		s.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	total := 0
	var rules []string
	for broken, n := range s.broken {
		if rule == "" || broken == rule {
			total += n
		}
		rules = append(rules, fmt.Sprintf("%s %d", broken, n))
	}
	slices.Sort(rules)
	s.log("broken rules: %v", rules)
	fmt.Printf("%s: broken rules: %v, %d starts, %d ends, %.1f s\n", name, rules, len(s.starts), len(s.ends), time.Since(began).Seconds())
	if total > 0 {
		return 1
	}
	return 0
}
