package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// CommandKind is what a command instructs an executor to do.
type CommandKind uint8

// The kinds of commands.
const (
	CommandStart CommandKind = iota
	CommandStop
	CommandThrottle
)

// String returns the name of the kind in logs.
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
	Start    execution.Start // CommandStop and CommandThrottle use only RunRef and Token
	Percent  int             // processor share, for CommandThrottle
	Reason   StopReason      // for CommandStop

	run    *run
	orphan *orphan
	target *executorState
	sentAt time.Time
	// sentBefore is when the start had been sent last before.
	sentBefore time.Time
}

// Delivery is what is known about the delivery of a call to an executor.
type Delivery uint8

// The deliveries of a call.
const (
	Responded Delivery = iota
	NotSent            // it will certainly not reach the executor
	Ambiguous          // it may have been executed, or may be executed seconds later
)

// Commands returns the commands to send now. Each is in flight until HandleCommandResult.
func (s *Shard) Commands(now time.Time) []Command {
	if s.fenced {
		return nil
	}
	if s.evacuateDue && now.Sub(s.evacuatedAt) >= evacuateInterval {
		s.evacuate(now)
	}
	s.usePrepared(now)
	executors := s.sortedExecutors()
	free := s.freeCommands()
	first := s.nextCommanded(executors)
	var list []Command
	for i := range executors {
		e := executors[(first+i)%len(executors)]
		if len(list) >= free {
			s.commandsFrom = e.ID
			break
		}
		if s.mayNeedCommands(e, now) {
			list = s.executorCommands(list, free-len(list), e, now)
		}
	}
	return list
}

// mayNeedCommands reports whether the executor may be sent commands and may need one.
func (s *Shard) mayNeedCommands(e *executorState, now time.Time) bool {
	if e.ended || e.Address == "" || now.Before(e.commandsAt) || len(e.runs)+len(e.orphans) == 0 {
		return false
	}
	return !e.doubted() && s.hasToken(e)
}

// commandRescan is the longest time between two searches of an executor's runs for
// commands.
const commandRescan = 500 * time.Millisecond

// executorCommands adds up to free commands for the executor.
func (s *Shard) executorCommands(list []Command, free int, e *executorState, now time.Time) []Command {
	slots := min(maxCommandsInFlight-e.commandsInFlight, free)
	e.commandsAt = now.Add(commandRescan)
	for _, r := range slices.Clone(e.runOrder) { // runCommand may discard a run
		if slots <= 0 {
			e.markDue()
			return list
		}
		if !r.inFlight && now.Before(r.nextSend) && r.nextSend.Before(e.commandsAt) {
			e.commandsAt = r.nextSend
		}
		cmd, due := s.runCommand(r, now)
		if due {
			list = append(list, cmd)
			e.commandsInFlight++
			slots--
		}
	}
	return s.orphanStops(list, e, slots, now)
}

// orphanStops adds stop commands for the executor's orphans.
func (s *Shard) orphanStops(list []Command, e *executorState, slots int, now time.Time) []Command {
	if len(e.orphans) > 0 {
		e.markDue()
	}
	for _, key := range slices.SortedFunc(maps.Keys(e.orphans), compareOrphans) {
		o := e.orphans[key]
		if slots <= 0 {
			return list
		}
		if o.inFlight || now.Before(o.nextSend) {
			continue
		}
		o.inFlight = true
		ref := execution.RunRef{Task: key.task, Run: key.run}
		list = append(list, Command{Kind: CommandStop, Executor: e.Executor, Start: execution.Start{RunRef: ref, Token: e.token}, Reason: StopOrphan, orphan: o, target: e, sentAt: now})
		e.commandsInFlight++
		slots--
	}
	return list
}

// runCommand returns the command that a run needs now, if any.
func (s *Shard) runCommand(r *run, now time.Time) (Command, bool) {
	if r.inFlight || r.phase == decided || now.Before(r.nextSend) {
		return Command{}, false
	}
	if r.phase == unconfirmed && !r.stopping && r.executor.overcommitted() {
		s.stop(r, StopNoCapacity)
	}
	cmd := Command{Executor: r.executor.Executor, run: r, target: r.executor, sentAt: now}
	cmd.Start.RunRef = r.ref()
	cmd.Start.Token = r.executor.token
	switch {
	case r.stopping && r.phase == unconfirmed && r.startSends == 0:
		s.discard(r, GivenUpUnsent)
		return Command{}, false
	case r.stopping && r.stopAcknowledged:
		return Command{}, false
	case r.stopping:
		cmd.Kind = CommandStop
		cmd.Reason = r.stopReason
	case r.phase == unconfirmed:
		if r.executor.awaitsPoll() {
			s.giveUpUnsent(r)
			return Command{}, false
		}
		if r.startAttempts == 0 && r.untilMs-r.executor.clock(now) < minSentLease.Milliseconds() {
			s.discard(r, GivenUpUnsent)
			return Command{}, false
		}
		if !s.hasStartToken(r.executor) {
			return Command{}, false
		}
		cmd.Start.Token = r.executor.token
		if r.startAttempts == 0 {
			r.sentAt = now
		}
		cmd.sentBefore, r.lastSentAt = r.lastSentAt, now
		r.startSends++
		r.startAttempts++
		cmd.Kind = CommandStart
		cmd.Start.Payload = r.task.step.job.Definition.Payload
		cmd.Start.UntilMs = r.untilMs
		cmd.Start.Checkpoint = r.checkpoint
		cmd.Start.Ticket = r.ticket
	case r.phase == confirmed && r.wantedThrottle != r.throttle:
		cmd.Kind = CommandThrottle
		cmd.Percent = r.wantedThrottle
	default:
		return Command{}, false
	}
	r.inFlight = true
	return cmd, true
}

// giveUpUnsent discards a run whose start was never sent, once a poll of its executor has failed as
// well as another call: its task can start elsewhere.
func (s *Shard) giveUpUnsent(r *run) {
	if r.startAttempts == 0 && r.executor.failedCalls > 1 {
		s.discard(r, GivenUpUnsent)
	}
}

func (r *run) ref() execution.RunRef { return execution.RunRef{Task: r.task.id, Run: r.number} }

// HandleCommandResult handles the result of a command.
func (s *Shard) HandleCommandResult(cmd Command, delivery Delivery, reply execution.Reply, now time.Time) {
	e := cmd.target
	if s.executors[e.ID] != e {
		cmd.settleLate()
		return // the list of a later incarnation shows what became of its runs
	}
	delivery = e.deliveryAt(cmd.Executor.Address, delivery, reply.Refusal)
	s.dirty = true
	e.markDue()
	e.commandsInFlight--
	if delivery == Responded && !e.expectsClock(reply.ClockMs, cmd.sentAt, now) {
		s.doubt(e, now)
		s.applyCommandResult(cmd, Ambiguous, execution.Reply{}, now)
		return
	}
	s.noteCommandDelivery(e, delivery, reply, now)
	if delivery == Responded {
		e.noteInTime(cmd.sentAt)
	}
	switch {
	case delivery != Responded:
	case reply.Refusal == execution.RefusedFenced && cmd.Start.Token < e.token:
		cmd.sendAgain()
		return
	case reply.Refusal == execution.RefusedFenced:
		s.fenced = true
		return
	case reply.Refusal == execution.RefusedWrongExecutor:
		if cmd.Kind == CommandStart {
			cmd.run.startSends-- // this one has certainly not arrived
		}
		s.discardAll(e)
		return
	}
	if r := cmd.run; r != nil && cmd.Kind == CommandStart && e.runs[r.task.id] == r {
		r.noteStartResult(delivery, reply, now)
	}
	s.applyCommandResult(cmd, delivery, reply, now)
}

// settleLate records that the command is no longer in flight, without a result to rely on: a later incarnation
// may have replied.
func (c Command) settleLate() {
	c.target.commandsInFlight--
	if c.run != nil && c.run.executor == c.target {
		c.run.inFlight = false
		c.run.unanswered = c.run.unanswered || c.Kind == CommandStart
	}
}

// noteCommandDelivery records whether a command got a response of its executor.
func (s *Shard) noteCommandDelivery(e *executorState, delivery Delivery, reply execution.Reply, now time.Time) {
	e.recordCall(delivery, reply.Refusal, now)
	if delivery == Responded {
		s.noteAlive(e, reply.ClockMs)
		e.failedCalls = 0
		return
	}
	if e.failedCalls == 0 {
		e.pollAnew(now)
	}
	e.failedCalls++
}

// sendAgain lets a command be sent again that a later call of the same owner has overtaken and
// fenced off, so that it was not carried out.
func (c Command) sendAgain() {
	if c.orphan != nil {
		c.orphan.inFlight, c.orphan.nextSend = false, time.Time{}
		return
	}
	c.run.inFlight, c.run.nextSend = false, time.Time{}
	if c.Kind == CommandStart {
		c.run.startSends--
		c.run.startAttempts--
	}
}

// applyCommandResult applies the result of a command to its run or orphan.
func (s *Shard) applyCommandResult(cmd Command, delivery Delivery, reply execution.Reply, now time.Time) {
	e := cmd.target
	if cmd.orphan != nil {
		cmd.orphan.inFlight = false
		cmd.orphan.nextSend = now.Add(resendInterval)
		e.pollAt = now
		return
	}
	r := cmd.run
	r.inFlight = false
	if e.runs[r.task.id] != r {
		return // the run ended or was discarded in the meantime
	}
	switch cmd.Kind {
	case CommandStart:
		if delivery == NotSent {
			r.lastSentAt = cmd.sentBefore
		}
		s.handleStartResult(r, delivery, reply.Refusal, now)
	case CommandStop:
		s.handleStopResult(r, delivery, reply.Refusal, now)
	case CommandThrottle:
		if delivery == Responded && reply.Refusal == execution.NotRefused {
			r.throttle = cmd.Percent
		}
		r.nextSend = now.Add(throttleInterval)
	}
}

func (s *Shard) handleStartResult(r *run, delivery Delivery, refusal execution.Refusal, now time.Time) {
	r.nextSend = now.Add(resendInterval)
	switch {
	case r.phase == confirmed: // a poll has already shown the run
	case delivery == NotSent:
		r.startSends--
		if r.startSends == 0 && r.startAttempts >= maxUnsentStarts {
			s.discard(r, GivenUpUnsent)
		}
	case delivery == Ambiguous:
		r.unanswered = true
		if r.startSends >= maxStartSends {
			s.stop(r, StopUnanswered)
		}
	case refusal == execution.NotRefused:
		r.confirm(now)
		r.startedAt = now
	case refusal == execution.RefusedStaleRun:
		r.confirm(now) // a poll will show how it ended
	default:
		s.handleStartRefusal(r, refusal, now)
	}
}

// handleStartRefusal handles a refused start. The run is discarded, unless earlier sends
// of the start had no response: as they may still take effect, the run is then stopped.
func (s *Shard) handleStartRefusal(r *run, refusal execution.Refusal, now time.Time) {
	e := r.executor
	switch refusal {
	case execution.RefusedOther:
		e.health.recordFailure(r.task.id.Job, now)
		r.task.step.noteFailure(e.Incarnation(), now)
	case execution.RefusedCapacity:
		e.pollAt = now
	case execution.RefusedTicket:
		r.task.step.tickets.reject()
	}
	if r.startSends > 1 {
		s.stop(r, StopUnanswered)
		return
	}
	t := r.task
	s.discard(r, GivenUpRefused)
	t.delayRetry(now.Add(retryAfterRefusal))
	t.avoid = e.Incarnation()
}

func (r *run) confirm(now time.Time) {
	r.phase = confirmed
	r.confirmedAt = now
	r.nextSend = time.Time{}
}

// handleStopResult marks the stop as acknowledged if the executor carried it out.
func (s *Shard) handleStopResult(r *run, delivery Delivery, refusal execution.Refusal, now time.Time) {
	r.nextSend = now.Add(resendInterval)
	if delivery != Responded || refusal == execution.RefusedOther {
		return
	}
	r.stopAcknowledged = true
	r.confirm(now)
	r.executor.pollAt = now
}

// discard removes a run that will certainly not start, or that is over without a completion
// to apply.
func (s *Shard) discard(r *run, reason GiveUpReason) {
	s.noteGivenUp(r, reason)
	t := r.task
	r.executor.removeRun(r)
	if t.current == r {
		t.current = nil
	}
	j := t.step.job
	j.markChanged()
	j.finalise()
	s.dirty = true
}

// discardAll discards all runs on an executor that has ended: another one responds at its
// address, its machine has another one or none, or it has started again. It gets no calls any more.
func (s *Shard) discardAll(e *executorState) {
	for _, f := range e.former {
		s.discardAll(f)
	}
	e.former = nil
	if !e.ended || e.superseded() {
		s.recordCrash(e)
	}
	e.ended = true
	s.dirty = true
	for _, r := range e.sortedRuns() {
		s.discard(r, GivenUpEnded)
	}
	clear(e.orphans)
}

// taskOf returns the task with this ID, or nil if the shard has none.
func (s *Shard) taskOf(id job.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id)
}
