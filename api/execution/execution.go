// Package execution holds the words between an owner and an executor: orders, the
// answers to them, and what an executor lists.
package execution

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// Refusal is why an executor did not do what it was told.
type Refusal string

// The refusals of an executor.
const (
	NotRefused           Refusal = ""
	RefusedFenced        Refusal = "fence"  // it has seen a higher fencing token
	RefusedStaleRun      Refusal = "old"    // this or a later run ended or was stopped there
	RefusedLeaseExpired  Refusal = "late"   // the lease asked for is over already
	RefusedCapacity      Refusal = "room"   // no room
	RefusedTicket        Refusal = "ticket" // no valid ticket of the advice service
	RefusedOther         Refusal = "other"  // unhealthy, or the order is malformed
	RefusedWrongExecutor Refusal = "gone"   // another executor lives at the address
)

// Reply is an executor's answer to an order. The order was carried out where
// Refusal is NotRefused, and certainly not by this call elsewhere.
type Reply struct {
	Refusal Refusal
	ClockMs int64 // the executor's steady clock; zero where it sent none
}

// RunRef names one run.
type RunRef struct {
	Task job.TaskID
	Run  int
}

// Start orders one run of a task.
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
	Percent    int // share of full speed at which it works; 0 while it starts up
	// Usage is a rough figure of the last half second: for a task that serves
	// users the tail of its response times in milliseconds, for others the
	// thousandths of a core in use.
	Usage int64
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	EndedDone           EndReason = "done"
	EndedFailed         EndReason = "failed"
	EndedStopped        EndReason = "stopped"
	EndedLeaseExpired   EndReason = "lapsed"
	EndedGangBroken     EndReason = "broken" // another member of its gang ended
	EndedGangIncomplete EndReason = "alone"  // the other members of its gang never came
)

// Ended is a run that an executor lists as ended.
type Ended struct {
	RunRef
	Sequence   int64 // rises from 1 in each life of the executor
	Reason     EndReason
	Checkpoint string
}

// MaxEnded is how many ended runs one View lists at most.
const MaxEnded = 500

// PollResponse is what an executor lists.
type PollResponse struct {
	Reply
	Running []Running
	Ended   []Ended
}

// PollRequest asks for a View.
type PollRequest struct {
	Token        int64
	UntilMs      int64 // renews the lease of all that runs there; zero does not
	AckedThrough int64 // ends up to this sequence are forgotten by the executor
	// Wait lets the answer wait for an end; at most MaxLookWait.
	Wait time.Duration
}

// MaxPollWait is the longest wait of a Look.
const MaxPollWait = 2 * time.Second
