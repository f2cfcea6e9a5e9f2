// Package owner carries out what a shard decides: it stores batches, sends commands to
// executors, polls them and passes their responses to the shard. One owner at a time
// leads a service.
package owner

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/advicequeue"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/advice"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/calllimit"
	"github.com/tarragonreach/tarragonreach/policy/handover"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Executor is the part of an executor's client that an owner uses.
type Executor interface {
	Start(ctx context.Context, start execution.Start) (execution.Reply, error)
	Stop(ctx context.Context, r execution.RunRef, token int64) (execution.Reply, error)
	Throttle(ctx context.Context, r execution.RunRef, percent int, token int64) (execution.Reply, error)
	Poll(ctx context.Context, request execution.PollRequest) (execution.PollResponse, error)
	Close()
}

// Adviser is the part of the advice service's client that an owner uses.
type Adviser interface {
	RequestTickets(ctx context.Context, step job.StepID, executors []cluster.ExecutorID) (advice.Tickets, error)
	// Close closes idle connections.
	Close()
}

// Machines is the part of the machine service's client that an owner uses.
type Machines interface {
	List(ctx context.Context) (cluster.MachineList, error)
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
	// AdviceQueue shares the calls to the advice service with the other owners of the process; nil without Adviser.
	AdviceQueue *advicequeue.Queue
	// Machines shows which executors have ended; nil where the platform lists no machines.
	Machines Machines
	Config   Config
	// RejectLate lets the owner publish how long new jobs wait, so that instances reject those that
	// would start too late.
	RejectLate bool
	Cores      float64 // CPU capacity of the instance in cores; zero if unknown
	// Link is the rate of the instance's network link.
	Link linkshare.Rate
	// Successor returns an instance that could lead the service with more CPU capacity, if the term may be handed
	// over; nil if duties are never handed over.
	Successor func(election.Term) (fleet.InstanceID, bool)
	Logger    *slog.Logger
	Scope     tally.Scope
}

const (
	// batchInterval is the minimum time between two batches, unless the last one was full.
	batchInterval = 30 * time.Millisecond
	// tickInterval is the maximum delay of work that becomes due by time alone.
	tickInterval = 20 * time.Millisecond
	// executorsPause lets changes of executor entries accumulate: each heartbeat changes one.
	executorsPause = 250 * time.Millisecond
	// jobsPause lets submissions that arrive at about the same time accumulate.
	jobsPause = 10 * time.Millisecond
	// jobsWait bounds how long a submission goes unnoticed if watches deliver no events.
	jobsWait = 400 * time.Millisecond
	// commandBytes is about how many bytes a command to an executor takes of the link, with a payload that is not
	// the longest.
	commandBytes = 1500
	// eventQueueSize is how many events may wait for the loop.
	eventQueueSize = 256
)

// event changes the shard; it runs on the goroutine of the loop.
type event func(now time.Time)

// Owner leads one service during one term.
type Owner struct {
	Options
	term    election.Term
	shard   *shard.Shard
	writes  writeSequence
	clients map[cluster.ExecutorID]executorClient
	// listed and executors are what was read at the takeover; executors belongs to its follower afterwards.
	listed    listings
	executors *executorList
	events    chan event
	ctx       context.Context
	stepDown  context.CancelFunc

	writing          bool
	nextBatch        time.Time // earliest time of the next batch
	configVersion    int64     // version of the configuration that was applied last
	tenancy          bool      // whether that configuration has tenants
	renewalAllowed   bool      // whether leases of runs may be renewed
	renewalCheckedAt time.Time // when renewalAllowed was last checked

	delays         delays
	callLimits     callLimits
	latePolls      latePolls
	callWindow     calllimit.Window
	callStatistics callStatistics
	adviceTurn     *advicequeue.Member
	// adviceStatistics are the calls to the advice service since the last report, reportedAdvice what it was about.
	adviceStatistics, reportedAdvice adviceStatistics
	// overload detects that the owner has to hand over its duty.
	overload handover.Detector
	ledgers  ledgers
	// reportedTenants holds the tenants of the last report.
	reportedTenants map[cluster.TenantName]bool
	// machineList is the state of the requests for the machine list.
	machineList machineListRequests

	cordons map[cluster.ExecutorID]shard.Cordon
	// finished holds the jobs that this owner has made final, with the revision of that
	// write, so that an older event of the store does not add them again.
	finished   map[job.ID]kv.Revision
	unreadable map[job.ID]bool // as storedProgress.unreadable
	// skippedRecords are the jobs' records that can't be decoded.
	skippedRecords *follow.Skipped
	staleCancels   []job.ID // jobs whose cancellation arrived after they were final
}

// Lead leads the service until ctx ends or the term is lost.
func Lead(ctx context.Context, term election.Term, options Options) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &Owner{
		Options: options, term: term,
		shard:   shard.New(options.Limits, term.Token),
		clients: map[cluster.ExecutorID]executorClient{},
		events:  make(chan event, eventQueueSize),
		cordons: map[cluster.ExecutorID]shard.Cordon{}, finished: map[job.ID]kv.Revision{},
		ctx: ctx, stepDown: cancel, renewalAllowed: true,
		callWindow: calllimit.Window{Floor: calllimit.FloorOf(float64(options.Link), commandBytes)},
	}
	if o.Adviser != nil {
		o.adviceTurn = o.AdviceQueue.Join()
		defer o.adviceTurn.Withdraw()
	}
	o.Logger = options.Logger.With("service", string(options.Service), "token", term.Token)
	o.skippedRecords = follow.NewSkipped(o.Logger, "jobs skipped: record not readable")
	defer o.closeClients()
	now := time.Now()
	o.delays = delays{ledSince: now, reportedAt: now, lastContact: now}
	o.cpuTimeUsed() // later calls measure from here
	done := o.logLoading(ctx)
	err := o.load(ctx)
	done()
	if err != nil {
		o.Logger.Warn("shard not taken over", "error", err)
		return
	}
	o.applyConfig()                    // before the first jobs: their excess is decided by it
	defer o.measure(shard.Report{}, 0) // resets the gauges: another instance reports after this term
	defer o.resetLedgerGauges()
	o.follow(ctx)
	o.loop(ctx)
}

func (o *Owner) closeClients() {
	for _, client := range o.clients {
		client.Close()
	}
}

// follow applies changes of executors and jobs since the takeover in the background.
func (o *Owner) follow(ctx context.Context) {
	executors := o.executors
	f := follow.Follower{Store: o.Store, Prefix: executorPrefix, From: o.listed.executors, Pause: executorsPause, Logger: o.Logger, Apply: func(c follow.Change) {
		if executors.apply(c) {
			list := executors.list()
			o.send(func(now time.Time) { o.shard.SetExecutors(list, now) })
		}
	}}
	go f.Run(ctx)
	jobs := follow.Follower{Store: o.Store, Prefix: o.shardPrefix(), From: o.listed.jobs, Pause: jobsPause, Wait: jobsWait, Logger: o.Logger, Apply: func(c follow.Change) {
		o.send(func(now time.Time) {
			o.shard.NoteObservation(now.Sub(o.delays.lastContact))
			o.shard.NoteContact(o.delays.lastContact, now)
			o.delays.lastContact = now
			o.applyJobs(c, nil, now)
		})
	}}
	go jobs.Run(ctx)
}

// send queues an event for the loop. If the queue is full, it waits for space until the term
// is over, and then drops the event. While there is space, it queues events even after the
// term, since a leaving owner waits for the outcome of its last batch.
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !o.shard.Fenced() {
		select {
		case <-ctx.Done():
			o.awaitLastBatch()
			return
		case e := <-o.events:
			e(time.Now())
			o.drain()
		case <-ticker.C:
		}
		o.runDue(time.Now())
	}
	o.Logger.Warn("an executor has seen a higher fencing token; stepping down")
}

// drain handles the events that are queued already.
func (o *Owner) drain() {
	for range eventQueueSize {
		select {
		case e := <-o.events:
			e(time.Now())
		default:
			return
		}
	}
}

// runDue does the periodic work of the loop: it stores the next batch and sends the commands,
// polls and advice requests that are due.
func (o *Owner) runDue(now time.Time) {
	if gap := o.shard.Tick(now); gap > 0 {
		o.Logger.Warn("no processor time for a while: polls without a response are sent again", "gap_ms", gap.Milliseconds())
	}
	o.applyConfig()
	o.updateLeaseRenewal(now)
	o.storeNextBatch(now)
	o.storeLedgers(now)
	o.shard.SetCommandWindow(o.callWindow.Size())
	for _, command := range o.shard.Commands(now) {
		o.sendCommand(command)
	}
	for _, poll := range o.shard.Polls(now) {
		o.poll(poll)
	}
	o.requestMachineList(now)
	o.report(now)
	o.requestDueAdvice(now)
}

const (
	// renewalCheckInterval is the time between two checks of the term's age, each of which
	// is a system call.
	renewalCheckInterval = 20 * time.Millisecond
	// suspensionThreshold is the minimum difference between wall clock and monotonic clock
	// that counts as a suspension of the machine or a step of the wall clock.
	suspensionThreshold = 100 * time.Millisecond
)

// termCheckDue reports whether the term's age has to be read again, given the time since
// the last check by both clocks. It is due after renewalCheckInterval, or if the machine
// may have been suspended: the wall clock counts a suspension, the monotonic clock does not.
func termCheckDue(monotonic, wall time.Duration) bool {
	return monotonic >= renewalCheckInterval || (wall-monotonic).Abs() >= suspensionThreshold
}

// updateLeaseRenewal allows the renewal of run leases only while the last confirmation of
// the term is recent enough, see shard.LeaseRenewalWindow.
func (o *Owner) updateLeaseRenewal(now time.Time) {
	monotonic := now.Sub(o.renewalCheckedAt)
	wall := now.Round(0).Sub(o.renewalCheckedAt.Round(0)) // Round strips the monotonic reading
	if !termCheckDue(monotonic, wall) {
		return
	}
	o.renewalCheckedAt = now
	o.shard.ConfirmTerm(now.Add(-o.term.Age()))
	allowed := o.term.Age() < shard.LeaseRenewalWindow(o.Limits)
	if allowed == o.renewalAllowed {
		return
	}
	o.renewalAllowed = allowed
	o.shard.AllowLeaseRenewal(allowed)
	o.Logger.Info("renewal of run leases", "allowed", allowed, "term_age", o.term.Age().String())
}

// applyConfig passes the queues and tenants to the shard when the configuration has changed.
func (o *Owner) applyConfig() {
	c := o.Config()
	if c == nil || c.Version == o.configVersion {
		return
	}
	o.configVersion = c.Version
	o.shard.SetQueues(c.Queues)
	o.shard.SetAdmission(c.Tenancy && o.RejectLate)
	o.shard.SetPoolGrows(o.Machines != nil)
	if c.Tenancy || o.tenancy {
		o.shard.SetTenants(c.Tenants)
	}
	o.tenancy = c.Tenancy
	o.applyTenants(c)
}

// lastBatchTimeout bounds how long a leaving owner waits for its last batch.
const lastBatchTimeout = 500 * time.Millisecond

// awaitLastBatch waits for the batch that is being written, so that a successor reads it.
func (o *Owner) awaitLastBatch() {
	deadline := time.NewTimer(lastBatchTimeout)
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

// executorClient is the client of one incarnation of an executor.
type executorClient struct {
	Executor
	born    cluster.Birth
	address string
	usedAt  time.Time // when it was last asked for
}

// clientRetention is how long the client of an executor is kept that is not called: above the time
// between two polls of an idle executor.
const clientRetention = 2 * time.Minute

// client returns the client of an executor. A later incarnation, or one that has moved, gets
// connections of its own.
func (o *Owner) client(e cluster.Executor) Executor {
	client, known := o.clients[e.ID]
	if known && (client.born != e.Born || client.address != e.Address) {
		client.Close()
		known = false
	}
	if !known {
		client = executorClient{Executor: o.Dial(e.ID, e.Address), born: e.Born, address: e.Address}
	}
	client.usedAt = time.Now()
	o.clients[e.ID] = client
	return client
}

// closeUnusedClients drops the clients that were not used for clientRetention: most of these executors
// are gone.
func (o *Owner) closeUnusedClients(now time.Time) {
	for id, client := range o.clients {
		if now.Sub(client.usedAt) > clientRetention {
			client.Close()
			delete(o.clients, id)
		}
	}
}

// deliveryOf returns whether a call to an executor that returned err was delivered.
func deliveryOf(err error) shard.Delivery {
	switch {
	case err == nil:
		return shard.Responded
	case kv.NotRun(err):
		return shard.NotSent
	default:
		return shard.Ambiguous
	}
}

func (o *Owner) sendCommand(command shard.Command) {
	client := o.client(command.Executor)
	go func() {
		ctx, cancel := o.callLimits.context(o.ctx, 0)
		defer cancel()
		sentAt := time.Now()
		reply, err := callExecutor(ctx, client, command)
		respondedAt := time.Now()
		result := callResult{
			executor: command.Executor.ID, kind: command.Kind.String(), outcome: callOutcomeOf(ctx, err), took: respondedAt.Sub(sentAt),
		}
		o.callLimits.record(result, respondedAt)
		if err != nil {
			client.Close() // the connection may be half-open
		}
		o.logCommand(command, reply, err)
		o.send(func(time.Time) {
			o.recordCall(result)
			o.recordWindow(result, respondedAt)
			o.shard.HandleCommandResult(command, deliveryOf(err), reply, respondedAt)
		})
	}()
}

func callExecutor(ctx context.Context, client Executor, command shard.Command) (execution.Reply, error) {
	switch command.Kind {
	case shard.CommandStart:
		return client.Start(ctx, command.Start)
	case shard.CommandThrottle:
		return client.Throttle(ctx, command.Start.RunRef, command.Percent, command.Start.Token)
	default:
		return client.Stop(ctx, command.Start.RunRef, command.Start.Token)
	}
}

// logCommand counts the command and logs it if it was a stop, failed or was refused.
func (o *Owner) logCommand(command shard.Command, reply execution.Reply, err error) {
	succeeded := err == nil && reply.Refusal == execution.NotRefused
	o.Scope.Tagged(map[string]string{"outcome": outcome(reply, err)}).Counter("orders").Inc(1)
	if succeeded && command.Kind != shard.CommandStop {
		return
	}
	o.Logger.Info("order", "kind", command.Kind.String(), "task", command.Start.Task.String(), "run", command.Start.Run,
		"executor", string(command.Executor.ID), "until", command.Start.UntilMs, "reason", string(command.Reason), "outcome", outcome(reply, err))
}

func outcome(reply execution.Reply, err error) string {
	switch {
	case err != nil && kv.NotRun(err):
		return "not-sent"
	case err != nil:
		return "no-answer"
	case reply.Refusal == execution.NotRefused:
		return "done"
	case slices.Contains(execution.Refusals, reply.Refusal):
		return string(reply.Refusal)
	default:
		return unknownReason
	}
}

// unknownReason stands for a reason that no executor gives. Reasons are tags of metrics, so that their
// number must not grow with what responds at an address.
const unknownReason = "unknown"

func endReason(reason execution.EndReason) string {
	if slices.Contains(execution.EndReasons, reason) {
		return string(reason)
	}
	return unknownReason
}

// logCompletions counts completions and logs those whose reason is not EndedDone.
func (o *Owner) logCompletions(poll shard.Poll, response execution.PollResponse) {
	for _, completion := range response.Ended {
		o.Scope.Tagged(map[string]string{"how": endReason(completion.Reason)}).Counter("ends").Inc(1)
		if completion.Reason == execution.EndedDone {
			continue
		}
		o.Logger.Info("run ended", "task", completion.Task.String(), "run", completion.Run, "how", endReason(completion.Reason),
			"executor", string(poll.Executor.ID), "sequence", completion.Sequence)
	}
}
