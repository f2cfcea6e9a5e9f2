// Package execution holds the messages between an owner and an executor: commands,
// the replies to them, and the runs that an executor lists in its poll responses.
package execution

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Refusal is the reason why an executor refused a command.
type Refusal string

// The refusals of an executor.
const (
	NotRefused           Refusal = ""
	RefusedFenced        Refusal = "fence"  // the executor has seen a higher fencing token
	RefusedStaleRun      Refusal = "old"    // this or a later run of the task has ended or was stopped on the executor
	RefusedLeaseExpired  Refusal = "late"   // the requested lease has already expired
	RefusedCapacity      Refusal = "room"   // not enough free capacity
	RefusedTicket        Refusal = "ticket" // no valid ticket of the advice service
	RefusedOther         Refusal = "other"  // the executor is unhealthy, or the command is malformed
	RefusedWrongExecutor Refusal = "gone"   // another executor runs at the address
)

// Refusals lists the refusals of an executor.
var Refusals = []Refusal{
	RefusedFenced, RefusedStaleRun, RefusedLeaseExpired, RefusedCapacity, RefusedTicket, RefusedOther, RefusedWrongExecutor,
}

// Reply is an executor's reply to a command. If Refusal is NotRefused the command was
// carried out, otherwise this call certainly did not carry it out.
type Reply struct {
	Refusal Refusal
	ClockMs int64 // the executor's monotonic clock; zero if it sent none
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task job.TaskID
	Run  int
}

// Start is the command that starts one run of a task.
type Start struct {
	RunRef
	Payload    string
	UntilMs    int64 // end of the lease on the executor's clock
	Token      int64 // fencing token
	Checkpoint string
	Ticket     string
}

// Running is a run that an executor lists as present.
type Running struct {
	RunRef
	Checkpoint string
	Percent    int // speed in percent of full speed; 0 while it starts up
	// Usage is a rough figure over the last half second: the tail latency in
	// milliseconds for a task that serves users, the thousandths of a core in use
	// for any other task.
	Usage int64
}

// EndReason is the reason why a run ended.
type EndReason string

// The end reasons of a run.
const (
	EndedDone           EndReason = "done"
	EndedFailed         EndReason = "failed"
	EndedStopped        EndReason = "stopped"
	EndedLeaseExpired   EndReason = "lapsed"
	EndedGangBroken     EndReason = "broken" // another member of its gang ended
	EndedGangIncomplete EndReason = "alone"  // the other members of its gang did not start
	EndedOther          EndReason = "other"  // the executor gave a reason that is not known
)

// EndReasons lists the end reasons of a run.
var EndReasons = []EndReason{EndedDone, EndedFailed, EndedStopped, EndedLeaseExpired, EndedGangBroken, EndedGangIncomplete}

// Ended is a run that an executor lists as ended.
type Ended struct {
	RunRef
	Sequence   int64 // counts from 1 in each incarnation of the executor
	Reason     EndReason
	Checkpoint string
}

// MaxEnded is the maximum number of ended runs in one PollResponse.
const MaxEnded = 500

// PollResponse lists the runs of an executor.
type PollResponse struct {
	Reply
	// From is the incarnation whose runs these are; the zero value if the call was refused.
	From    cluster.Incarnation
	Running []Running
	Ended   []Ended
}

// PollRequest is a long-poll request for the runs of an executor.
type PollRequest struct {
	Token        int64
	UntilMs      int64 // new end of the leases of the executor's runs, on its clock; zero renews none
	AckedThrough int64 // the executor drops ended runs up to this sequence
	// Wait is how long the executor may delay the response until a run ends; at most
	// MaxPollWait.
	Wait time.Duration
	// LongResponse allows a long response, as one with many runs or long checkpoints is. Without it such a
	// response is an error.
	LongResponse bool
}

// MaxPollWait is the maximum Wait of a PollRequest.
const MaxPollWait = 2 * time.Second
