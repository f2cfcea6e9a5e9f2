// Package shard decides what the owner of one service does: which task starts on
// which executor, which runs are stopped, which executors are polled, and what must
// be durable before any of it happens.
//
// A Shard is a pure state machine. It makes no calls and reads no clock: its owner
// passes it events (jobs, executors, results of calls) with their times, and takes
// from it the commands to send, the polls to make and the batches to store.
//
// Guarantees, which hold despite lost responses, delayed commands and changes of owner:
//   - A start command is sent only after a durable batch records the run and its
//     executor.
//   - A task has one run at a time. The next one is decided only when the previous
//     one has ended, was stopped before it started, or can no longer have a valid lease.
//   - An executor may forget a completion only after a durable batch holds the state
//     change that follows from it.
//   - The capacity that a run may use stays reserved until the run is known to be over.
package shard
