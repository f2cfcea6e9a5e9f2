package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// CommandKind says what an executor is told.
type CommandKind uint8

// The kinds of orders.
const (
	CommandStart CommandKind = iota
	CommandStop
	CommandThrottle
)

// String returns the kind's name in logs.
func (k CommandKind) String() string {
	switch k {
	case CommandStart:
		return "start"
	case CommandStop:
		return "stop"
	default:
		return "pace"
	}
}

// Command is one call to an executor.
type Command struct {
	Kind     CommandKind
	Executor cluster.Executor
	Start    execution.Start // Kind OrderStart uses all of it, the others its RunRef
	Percent  int             // OrderPace
	Reason   StopReason      // OrderStop

	run   *run
	stray *stray
}

// Delivery says what is known of a call to an executor.
type Delivery uint8

// Deliveries of a call.
const (
	Answered  Delivery = iota
	NotSent            // it certainly never reaches the executor
	Ambiguous          // it may have been carried out, or may be seconds later
)

// Commands returns the orders to send now. Each is in flight until OrderAnswered.
func (s *Shard) Commands(now time.Time) []Command {
	if s.fenced {
		return nil
	}
	if s.evacuateDue && now.Sub(s.evacuatedAt) >= evacuateEvery {
		s.evacuate(now)
	}
	var list []Command
	for _, e := range s.executors {
		if e.dead || e.Address == "" || now.Before(e.ordersAt) {
			continue
		}
		list = s.executorOrders(list, e, now)
	}
	return list
}

// ordersRescan bounds how long an executor's runs are not looked through for orders.
const ordersRescan = 500 * time.Millisecond

func (s *Shard) executorOrders(list []Command, e *executorState, now time.Time) []Command {
	room := ordersAtOnce - e.ordersInFlight
	e.ordersAt = now.Add(ordersRescan)
	for _, r := range e.runs {
		if room <= 0 {
			e.wake()
			return list
		}
		if !r.inFlight && now.Before(r.nextSend) && r.nextSend.Before(e.ordersAt) {
			e.ordersAt = r.nextSend
		}
		order, due := s.runOrder(r, now)
		if due {
			list = append(list, order)
			e.ordersInFlight++
			room--
		}
	}
	return s.strayOrders(list, e, room, now)
}

// strayOrders adds the stops of runs that the executor should not have.
func (s *Shard) strayOrders(list []Command, e *executorState, room int, now time.Time) []Command {
	if len(e.strays) > 0 {
		e.wake()
	}
	for key, st := range e.strays {
		if room <= 0 {
			return list
		}
		if st.inFlight || now.Before(st.nextSend) {
			continue
		}
		st.inFlight = true
		ref := execution.RunRef{Task: key.task, Run: key.run}
		list = append(list, Command{Kind: CommandStop, Executor: e.Executor, Start: execution.Start{RunRef: ref, Token: s.token}, Reason: StopOrphan, stray: st})
		e.ordersInFlight++
		room--
	}
	return list
}

// runOrder returns the order that a run needs now, if any.
func (s *Shard) runOrder(r *run, now time.Time) (Command, bool) {
	if r.inFlight || r.phase == decided || now.Before(r.nextSend) {
		return Command{}, false
	}
	order := Command{Executor: r.executor.Executor, run: r}
	order.Start.RunRef = r.ref()
	order.Start.Token = s.token
	switch {
	case r.stopping && r.phase == ordered && r.sends == 0:
		s.void(r)
		return Command{}, false
	case r.stopping && r.stopAnswer:
		return Command{}, false
	case r.stopping:
		order.Kind = CommandStop
		order.Reason = r.stopReason
	case r.phase == ordered:
		r.sends++
		r.tries++
		order.Kind = CommandStart
		order.Start.Payload = r.task.step.job.Definition.Payload
		order.Start.UntilMs = r.untilMs
		order.Start.Checkpoint = r.checkpoint
		order.Start.Ticket = r.ticket
	case r.phase == confirmed && r.paceWanted != r.paced:
		order.Kind = CommandThrottle
		order.Percent = r.paceWanted
	default:
		return Command{}, false
	}
	r.inFlight = true
	return order, true
}

func (r *run) ref() execution.RunRef { return execution.RunRef{Task: r.task.id, Run: r.number} }

// HandleCommandResult takes in what became of an order.
func (s *Shard) HandleCommandResult(o Command, d Delivery, reply execution.Reply, now time.Time) {
	e := s.executors[o.Executor.ID]
	if e == nil {
		return
	}
	s.touched = true
	e.wake()
	e.ordersInFlight--
	if d == Answered {
		e.misses = 0
	} else {
		e.misses++
	}
	if d == Answered && reply.Refusal == execution.RefusedFenced {
		s.fenced = true
		return
	}
	if d == Answered && reply.Refusal == execution.RefusedWrongExecutor {
		s.executorGone(e)
		return
	}
	if o.stray != nil {
		o.stray.inFlight = false
		o.stray.nextSend = now.Add(resendEvery)
		e.lookAt = now
		return
	}
	r := o.run
	r.inFlight = false
	if e.runs[r.task.id] != r {
		return // resolved meanwhile
	}
	switch o.Kind {
	case CommandStart:
		s.startAnswered(r, d, reply.Refusal, now)
	case CommandStop:
		s.stopAnswered(r, d, reply.Refusal, now)
	case CommandThrottle:
		if d == Answered && reply.Refusal == execution.NotRefused {
			r.paced = o.Percent
		}
		r.nextSend = now.Add(paceEvery)
	}
}

func (s *Shard) startAnswered(r *run, d Delivery, refusal execution.Refusal, now time.Time) {
	r.nextSend = now.Add(resendEvery)
	switch {
	case r.phase == confirmed: // a look saw it first
	case d == NotSent:
		r.sends--
		if r.sends == 0 && r.tries >= unsentTries {
			s.void(r)
		}
	case d == Ambiguous:
		if r.sends >= startSends {
			s.stop(r, StopUnanswered)
		}
	case refusal == execution.NotRefused:
		r.confirm(now)
		r.startedAt = now
	case refusal == execution.RefusedStaleRun:
		r.confirm(now) // a look tells how it ended
	default:
		s.startRefused(r, refusal, now)
	}
}

// startRefused handles a start that certainly had no effect. Earlier sends without
// an answer may still have one, so that the run is stopped first.
func (s *Shard) startRefused(r *run, refusal execution.Refusal, now time.Time) {
	e := r.executor
	switch refusal {
	case execution.RefusedOther:
		e.health.failed(r.task.id.Job, now)
	case execution.RefusedCapacity:
		e.lookAt = now
	case execution.RefusedTicket:
		r.task.step.tickets = tickets{}
	}
	if r.sends > 1 {
		s.stop(r, StopUnanswered)
		return
	}
	t := r.task
	s.void(r)
	t.retryAt = now.Add(retryAfterRefusal)
	t.avoid = e.ID
}

func (r *run) confirm(now time.Time) {
	r.phase = confirmed
	r.confirmedAt = now
	r.nextSend = time.Time{}
}

// stopAnswered notes that the executor lets the run end, unless it did nothing.
func (s *Shard) stopAnswered(r *run, d Delivery, refusal execution.Refusal, now time.Time) {
	r.nextSend = now.Add(resendEvery)
	if d != Answered || refusal == execution.RefusedOther {
		return
	}
	r.stopAnswer = true
	r.confirm(now)
	r.executor.lookAt = now
}

// void forgets a run that certainly never begins or has ended without effect.
func (s *Shard) void(r *run) {
	t := r.task
	r.executor.release(r)
	if t.current == r {
		t.current = nil
	}
	j := t.step.job
	j.touch()
	j.settle()
	s.touched = true
}

// executorGone ends all runs on an executor whose address another one has.
func (s *Shard) executorGone(e *executorState) {
	e.dead = true
	for _, r := range e.sortedRuns() {
		s.void(r)
	}
	clear(e.strays)
}

// taskOf returns the task of a run that an executor lists, or nil.
func (s *Shard) taskOf(id job.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id)
}
