// Package owner carries out what a shard decides: it stores batches, orders runs,
// looks at executors and feeds the answers back. One owner at a time leads a service.
package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/advice"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Executor is the part of an executor's client that an owner uses.
type Executor interface {
	Start(ctx context.Context, o execution.Start) (execution.Reply, error)
	Stop(ctx context.Context, r execution.RunRef, token int64) (execution.Reply, error)
	Throttle(ctx context.Context, r execution.RunRef, percent int, token int64) (execution.Reply, error)
	Poll(ctx context.Context, l execution.PollRequest) (execution.PollResponse, error)
	Close()
}

// Adviser is the part of the advice service's client that an owner uses.
type Adviser interface {
	RequestTickets(ctx context.Context, step job.StepID, executors []cluster.ExecutorID) (advice.Tickets, error)
}

// Dial returns a client of an executor.
type Dial func(id cluster.ExecutorID, address string) Executor

// Config returns the operator's configuration in force.
type Config func() *cluster.Config

// Store is the part of the store that an owner uses.
type Store interface {
	election.Store
	// Timeout bounds an attempt of a write, counted from 1.
	Timeout(attempt int) time.Duration
}

// Options are what an owner needs.
type Options struct {
	Service cluster.Service
	Limits  shard.Limits
	Store   Store
	Dial    Dial
	Adviser Adviser // nil where no queue needs advice
	Config  Config
	Cores   float64 // processor room of the instance; zero where it is not known
	Logger  *slog.Logger
	Scope   tally.Scope
}

const (
	// roundEvery is the least time between two batches, unless the last one was full.
	roundEvery = 30 * time.Millisecond
	// tickEvery bounds how late a timer of the shard is served.
	tickEvery = 20 * time.Millisecond
	// executorsPause gathers heartbeats, which change entries all the time.
	executorsPause = 250 * time.Millisecond
	// jobsPause gathers submissions that come at about the same time.
	jobsPause = 10 * time.Millisecond
	// jobsWait bounds how long a submission goes unnoticed where watches are silent.
	jobsWait = 400 * time.Millisecond
	// orderTimeout bounds one order to an executor.
	orderTimeout = 600 * time.Millisecond
	// lookSlack is how much later than asked the answer to a look may come.
	lookSlack = 600 * time.Millisecond
	// eventQueue is how many events may wait for the loop.
	eventQueue = 256
)

// event changes the shard, on the goroutine of the loop.
type event func(now time.Time)

// Owner leads one service during one term.
type Owner struct {
	Options
	term    election.Term
	shard   *shard.Shard
	chain   chain
	clients map[cluster.ExecutorID]Executor
	events  chan event
	ctx     context.Context
	lose    context.CancelFunc

	writing   bool
	nextRound time.Time // not before
	version   int64     // of the configuration taken in
	grants    bool      // whether leases of runs may be renewed
	grantsAt  time.Time // when that was checked last

	delays delays

	cordoned map[cluster.ExecutorID]shard.Evacuation
	// finished holds the jobs that this owner has made final, with the revision of that
	// write; an old event of the store must not bring them back.
	finished     map[job.ID]kv.Revision
	staleCancels []job.ID // cancellations of jobs that were final
}

// Lead leads the service until ctx ends or the term is lost.
func Lead(ctx context.Context, term election.Term, options Options) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &Owner{
		Options: options, term: term,
		shard:    shard.New(options.Limits, term.Token),
		clients:  map[cluster.ExecutorID]Executor{},
		events:   make(chan event, eventQueue),
		cordoned: map[cluster.ExecutorID]shard.Evacuation{}, finished: map[job.ID]kv.Revision{},
		ctx: ctx, lose: cancel, grants: true,
	}
	o.Logger = options.Logger.With("service", string(options.Service), "token", term.Token)
	defer o.closeClients()
	now := time.Now()
	o.delays = delays{ledSince: now, reportedAt: now, heardAt: now}
	o.processorUsed() // from here on
	done := o.tellReading(ctx)
	err := o.load(ctx)
	done()
	if err != nil {
		o.Logger.Warn("shard not taken over", "error", err)
		return
	}
	defer o.measure(shard.Report{}, 0) // another instance reports from now on
	o.follow(ctx)
	o.loop(ctx)
}

func (o *Owner) closeClients() {
	for _, client := range o.clients {
		client.Close()
	}
}

// follow keeps up with executors and jobs.
func (o *Owner) follow(ctx context.Context) {
	executors := newExecutorList(o.Service, o.Logger)
	f := follow.Follower{Store: o.Store, Prefix: executorPrefix, Pause: executorsPause, Logger: o.Logger, Apply: func(c follow.Change) {
		if executors.apply(c) {
			list := executors.list()
			o.send(func(now time.Time) { o.shard.SetExecutors(list, now) })
		}
	}}
	go f.Run(ctx)
	jobs := follow.Follower{Store: o.Store, Prefix: o.shardPrefix(), Pause: jobsPause, Wait: jobsWait, Logger: o.Logger, Apply: func(c follow.Change) {
		o.send(func(now time.Time) {
			o.delays.heardAt = now
			o.applyJobs(c, nil, now)
		})
	}}
	go jobs.Run(ctx)
}

// send hands an event to the loop, unless the term is over. An event that finds room
// is taken even then: a leaving owner waits for the outcome of its last batch.
func (o *Owner) send(e event) {
	e = o.timed(e)
	select {
	case o.events <- e:
		return
	default:
	}
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

func (o *Owner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for !o.shard.Fenced() {
		select {
		case <-ctx.Done():
			o.finish()
			return
		case e := <-o.events:
			e(time.Now())
			o.drain()
		case <-ticker.C:
		}
		o.act(time.Now())
	}
	o.Logger.Warn("an executor has seen a higher fencing token; stepping down")
}

// drain takes in the events that wait already.
func (o *Owner) drain() {
	for range eventQueue {
		select {
		case e := <-o.events:
			e(time.Now())
		default:
			return
		}
	}
}

// act does what the shard wants done now.
func (o *Owner) act(now time.Time) {
	if gap := o.shard.Tick(now); gap > 0 {
		o.Logger.Warn("no processor time for a while: unanswered looks are made again", "gap_ms", gap.Milliseconds())
	}
	o.takeConfig()
	o.allowGrants(now)
	o.round(now)
	for _, order := range o.shard.Commands(now) {
		o.order(order)
	}
	for _, look := range o.shard.Polls(now) {
		o.look(look)
	}
	o.report(now)
	if o.Adviser != nil {
		for _, q := range o.shard.AdviceRequests(now) {
			o.ask(q)
		}
	}
}

const (
	// grantsEvery spaces the checks of the term's age, each of which is a system call.
	grantsEvery = 20 * time.Millisecond
	// suspension is the least difference between the time of day and the steady clock
	// that is taken for a suspended machine, or a step of the time of day.
	suspension = 100 * time.Millisecond
)

// termCheckDue reports whether the term's age has to be read again: some time has passed
// by the steady clock, or the machine may have been suspended, which that clock does not
// count and the time of day does.
func termCheckDue(steady, ofDay time.Duration) bool {
	return steady >= grantsEvery || (ofDay-steady).Abs() >= suspension
}

// allowGrants lets leases of runs be renewed only while the term is certain enough.
func (o *Owner) allowGrants(now time.Time) {
	steady := now.Sub(o.grantsAt)
	ofDay := now.Round(0).Sub(o.grantsAt.Round(0)) // without the steady clock
	if !termCheckDue(steady, ofDay) {
		return
	}
	o.grantsAt = now
	allowed := o.term.Age() < shard.LeaseRenewalWindow(o.Limits)
	if allowed == o.grants {
		return
	}
	o.grants = allowed
	o.shard.AllowLeaseRenewal(allowed)
	o.Logger.Info("renewal of runs", "allowed", allowed, "term_age", o.term.Age().String())
}

// takeConfig passes the terms of the queues on when the configuration has changed.
func (o *Owner) takeConfig() {
	c := o.Config()
	if c == nil || c.Version == o.version {
		return
	}
	o.version = c.Version
	o.shard.SetQueues(c.Queues)
}

// finishWait bounds how long a leaving owner waits for its last batch.
const finishWait = 500 * time.Millisecond

// finish waits for the batch that is on its way, so that a successor reads it.
func (o *Owner) finish() {
	deadline := time.NewTimer(finishWait)
	defer deadline.Stop()
	for o.writing {
		select {
		case e := <-o.events:
			e(time.Now())
		case <-deadline.C:
			return
		}
	}
}

func (o *Owner) client(e cluster.Executor) Executor {
	client := o.clients[e.ID]
	if client == nil {
		client = o.Dial(e.ID, e.Address)
		o.clients[e.ID] = client
	}
	return client
}

// deliveryOf says what is known of a call to an executor that returned err.
func deliveryOf(err error) shard.Delivery {
	switch {
	case err == nil:
		return shard.Answered
	case kv.NotRun(err):
		return shard.NotSent
	default:
		return shard.Ambiguous
	}
}

func (o *Owner) order(order shard.Command) {
	client := o.client(order.Executor)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
		defer cancel()
		reply, err := sendOrder(ctx, client, order)
		answered := time.Now()
		if err != nil {
			client.Close() // the connection may be silent for good
		}
		o.logOrder(order, reply, err)
		o.send(func(time.Time) { o.shard.HandleCommandResult(order, deliveryOf(err), reply, answered) })
	}()
}

func sendOrder(ctx context.Context, client Executor, order shard.Command) (execution.Reply, error) {
	switch order.Kind {
	case shard.CommandStart:
		return client.Start(ctx, order.Start)
	case shard.CommandThrottle:
		return client.Throttle(ctx, order.Start.RunRef, order.Percent, order.Start.Token)
	default:
		return client.Stop(ctx, order.Start.RunRef, order.Start.Token)
	}
}

// logOrder writes a line for orders that were not simply carried out, and for stops.
func (o *Owner) logOrder(order shard.Command, reply execution.Reply, err error) {
	plain := err == nil && reply.Refusal == execution.NotRefused
	o.Scope.Tagged(map[string]string{"outcome": outcome(reply, err)}).Counter("orders").Inc(1)
	if plain && order.Kind != shard.CommandStop {
		return
	}
	o.Logger.Info("order", "kind", order.Kind.String(), "task", order.Start.Task.String(), "run", order.Start.Run,
		"executor", string(order.Executor.ID), "until", order.Start.UntilMs, "reason", string(order.Reason), "outcome", outcome(reply, err))
}

func outcome(reply execution.Reply, err error) string {
	switch {
	case err != nil && kv.NotRun(err):
		return "not-sent"
	case err != nil:
		return "no-answer"
	case reply.Refusal == execution.NotRefused:
		return "done"
	default:
		return string(reply.Refusal)
	}
}

func (o *Owner) look(look shard.Poll) {
	client := o.client(look.Executor)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, look.Request.Wait+lookSlack)
		defer cancel()
		view, err := client.Poll(ctx, look.Request)
		answered := time.Now()
		if err != nil {
			client.Close() // the connection may be silent for good
		}
		o.send(func(time.Time) {
			o.logEnds(look, view)
			o.shard.HandlePollResult(look, deliveryOf(err), view, answered)
		})
	}()
}

// logEnds writes a line for each end that was not plainly done.
func (o *Owner) logEnds(look shard.Poll, view execution.PollResponse) {
	for _, end := range view.Ended {
		o.Scope.Tagged(map[string]string{"how": string(end.Reason)}).Counter("ends").Inc(1)
		if end.Reason == execution.EndedDone {
			continue
		}
		o.Logger.Info("run ended", "task", end.Task.String(), "run", end.Run, "how", string(end.Reason),
			"executor", string(look.Executor.ID), "sequence", end.Sequence)
	}
}

// askTimeout bounds a question to the advice service beyond the time that it takes.
const askTimeout = 3 * time.Second

func (o *Owner) ask(q shard.AdviceRequest) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
		defer cancel()
		sentAt := time.Now()
		tickets, err := o.Adviser.RequestTickets(ctx, q.Step, q.Executors)
		if err != nil {
			o.Logger.Warn("no advice", "step", q.Step.String(), "error", err)
			tickets.ByExecutor = nil
		}
		o.send(func(now time.Time) {
			o.shard.HandleAdvice(q, tickets.ByExecutor, tickets.Validity, sentAt, now)
		})
	}()
}
