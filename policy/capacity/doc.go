// Package capacity sizes pools and says which instance serves which pool.
//
// A pool's need follows a decaying quantile of its observed demand, plus what the
// loss of the largest failure domain takes away. The plan of an availability zone
// then weighs moves against idle instances at the lowest cost.
package capacity
