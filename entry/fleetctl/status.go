package fleetctl

import (
	"slices"
	"sync"

	"github.com/tarragonreach/tarragonreach/policy/maintenance"
)

// statuses holds the latest status of each maintenance plan for concurrent readers.
type statuses struct {
	mu    sync.Mutex
	plans []maintenance.Status
}

func (s *statuses) set(plans []maintenance.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans = plans
}

func (s *statuses) get() []maintenance.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.plans)
}
