package capacity

import (
	"cmp"
	"slices"
)

// Apportion divides total in proportion to weights by the largest-remainder method; ties
// go to the lower index. If all weights are zero, all shares are zero.
func Apportion(total int, weights []int) []int {
	shares := make([]int, len(weights))
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	if sum == 0 {
		return shares
	}
	remaining := total
	order := make([]int, len(weights))
	for i, weight := range weights {
		shares[i] = total * weight / sum
		remaining -= shares[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(total*weights[b]%sum, total*weights[a]%sum)
	})
	for _, i := range order[:remaining] {
		shares[i]++
	}
	return shares
}
