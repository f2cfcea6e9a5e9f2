package dev

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// executor is one stand-in backend server with its description as a fleet instance.
type executor struct {
	instance fleet.Instance
	server   *standin.Server
}

// backends are the stand-in backend servers of the development fleet.
type backends struct {
	executors []executor
}

const (
	executorsPerZone = 3
	// Service time of one request.
	counterServiceTime = 4 * time.Millisecond
	parcelsServiceTime = 20 * time.Millisecond
)

func startBackends(zones []fleet.AvailabilityZone) (*backends, error) {
	b := &backends{}
	for _, zone := range zones {
		for i := range executorsPerZone {
			if err := b.start(zone, serviceCounter, i, counterServiceTime); err != nil {
				return b, err
			}
			if err := b.start(zone, serviceParcels, i, parcelsServiceTime); err != nil {
				return b, err
			}
		}
	}
	return b, nil
}

func (b *backends) start(zone fleet.AvailabilityZone, service string, index int, serviceTime time.Duration) error {
	server, err := standin.Start(anyLoopbackPort, standin.Settings{Slots: slots, ServiceTime: serviceTime})
	if err != nil {
		return fmt.Errorf("start a stand-in backend server: %w", err)
	}
	rack := fmt.Sprintf("%s-r%d", zone, index)
	b.executors = append(b.executors, executor{server: server, instance: fleet.Instance{
		ID:      fleet.InstanceID(fmt.Sprintf("%s-%s-%d", service, zone, index)),
		Kind:    fleet.KindBackendServer,
		Zone:    zone,
		Rack:    rack,
		Address: server.Address(),
		Labels: label.Set{
			fleet.LabelService: service, fleet.LabelRack: rack, fleet.LabelZone: string(zone),
		},
	}})
	return nil
}

func (b *backends) instances() []fleet.Instance {
	var out []fleet.Instance
	for _, e := range b.executors {
		out = append(out, e.instance)
	}
	return out
}

// Runs returns how many times requests with this ID ran, summed over all backend servers.
func (b *backends) Runs(requestID string) int {
	return b.sum(func(s *standin.Server) int { return s.Runs(requestID) })
}

// KeyRuns returns how many times submissions with this key ran, summed over all
// backend servers.
func (b *backends) KeyRuns(key string) int {
	return b.sum(func(s *standin.Server) int { return s.KeyRuns(key) })
}

func (b *backends) sum(count func(*standin.Server) int) int {
	total := 0
	for _, e := range b.executors {
		total += count(e.server)
	}
	return total
}

func (b *backends) close() {
	for _, e := range b.executors {
		e.server.Close()
	}
}
