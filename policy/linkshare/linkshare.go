// Package linkshare spaces transfers that are repeated, so that they take a bounded share of an instance's
// network link and leave the rest to calls that can't wait.
package linkshare

import "time"

// Rate is what a link carries in one direction, in bytes per second; zero where it is not limited.
type Rate float64

// Interval returns the minimum time between the starts of two transfers of the given size in bytes, so that
// they take at most the given share of the link.
func (r Rate) Interval(bytes int, share float64) time.Duration {
	if r <= 0 || share <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (float64(r) * share) * float64(time.Second))
}
