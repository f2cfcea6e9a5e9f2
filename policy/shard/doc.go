// Package shard decides what the owner of one service does: which task starts on
// which executor, what is stopped, which executor is looked at, and what must be
// durable before any of it may happen.
//
// A Shard is a pure state machine. It makes no calls and reads no clock: its owner
// feeds it events (jobs, executors, answers) with the time at which they came, and
// takes from it the orders to send, the looks to make and the batches to store.
//
// Guarantees, which hold through lost answers, late orders and changes of owner:
//   - A run is ordered only after a durable batch names it, its executor and the
//     end of its lease.
//   - A task has one run at a time. The next one is decided only when the last has
//     ended, was stopped before it began, or its lease has certainly lapsed.
//   - An executor forgets an end only after a durable batch holds its effect.
//   - The room that a run may take stays taken until it is known to be gone.
package shard
