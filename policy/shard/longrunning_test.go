package shard

import "time"

// The rule for long-running tasks: each has a run within longRunningBound after the last
// fault began or ended and after it lost its last run, provided that it fits twice into the
// free capacity of executors without faults that its constraints allow. It is stricter than
// the liveness rule in that faults of executors may last.
const longRunningBound = 9 * time.Second
