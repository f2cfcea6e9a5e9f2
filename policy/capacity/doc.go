// Package capacity sizes pools and decides which instance serves which pool.
//
// A pool's need follows a quantile of its observed demand, in which older samples weigh
// less, plus the instances that the loss of the largest failure domain would take away.
// The plan of an availability zone then minimises the cost of moves and idle instances.
package capacity
