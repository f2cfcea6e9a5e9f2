// Package layout names the keys under which tarragonreach keeps its own state in
// the platform's store, and the values that it keeps there.
//
//	jobs/JOB                      State: what callers are shown
//	shard/SERVICE/job/JOB         shard.Record: a job that is not final
//	shard/SERVICE/cancel/JOB      a cancellation that was acknowledged
//	shard/SERVICE/cordon/EXECUTOR Cordon: an executor to be emptied
//	progress/SERVICE/JOB          shard.Progress of a job that is not final
//	waiting/SERVICE               Waiting: counts of jobs for which nothing started
//	load/SERVICE                  shard.Load: what the planner of the fleet goes by
//	waves/N                       WaveProgress
//	orders/fleet                  FleetOrders
//	evidence/fleet                fleetplan.Evidence: what was learned of the demand
//	chain/SERVICE                 Link: the last write of an owner
//	owners/DUTY                   Holder: who has a duty, under a lease
package layout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// OwnersPrefix holds the duties.
const OwnersPrefix = "owners/"

// JobsPrefix holds the states of all jobs.
const JobsPrefix = "jobs/"

// JobKey holds the State of a job.
func JobKey(id job.ID) string { return JobsPrefix + string(id) }

// ShardPrefix holds the records and cancellations of a service's jobs.
func ShardPrefix(s cluster.Service) string { return "shard/" + string(s) + "/" }

// RecordKey holds the record of a job.
func RecordKey(s cluster.Service, id job.ID) string { return ShardPrefix(s) + "job/" + string(id) }

// CancelKey marks a job as cancelled.
func CancelKey(s cluster.Service, id job.ID) string { return ShardPrefix(s) + "cancel/" + string(id) }

// CordonKey asks the owner of a service to empty an executor.
func CordonKey(s cluster.Service, id cluster.ExecutorID) string {
	return ShardPrefix(s) + "cordon/" + string(id)
}

// Cordon says how an executor is to be emptied.
type Cordon struct {
	// Preempt is set where other services' jobs need the machine to be in time.
	Preempt bool `json:"forOthers,omitempty"`
}

// ProgressPrefix holds the progress of a service's jobs.
func ProgressPrefix(s cluster.Service) string { return "progress/" + string(s) + "/" }

// ProgressKey holds the progress of a job.
func ProgressKey(s cluster.Service, id job.ID) string { return ProgressPrefix(s) + string(id) }

// WaitingKey holds the counts of waiting jobs of a service's queues.
func WaitingKey(s cluster.Service) string { return "waiting/" + string(s) }

// LoadPrefix holds the loads of all services.
const LoadPrefix = "load/"

// LoadKey holds the load of a service.
func LoadKey(s cluster.Service) string { return LoadPrefix + string(s) }

// WaveKey holds how far a maintenance wave has come.
func WaveKey(number int64) string { return "waves/" + strconv.FormatInt(number, 10) }

// WavesPrefix holds how far all waves have come.
const WavesPrefix = "waves/"

// WaveProgress lists the machines of a wave whose maintenance has begun.
type WaveProgress struct {
	Done     []cluster.MachineID `json:"done"`
	Reported cluster.WaveState   `json:"reported"`
	// StartedAt is when a holder of the fleet's duty first saw the wave.
	StartedAt time.Time `json:"begun"`
}

// RecentCommandsKey holds the machines that the fleet's duty has ordered something for.
const RecentCommandsKey = "orders/fleet"

// DemandHistoryKey holds what the planner of the fleet has learned.
const DemandHistoryKey = "evidence/fleet"

// RecentCommands lists the machines with orders of the last seconds.
type RecentCommands struct {
	// AgesMs is how old the last order was when the list was written, in milliseconds.
	AgesMs map[cluster.MachineID]int64 `json:"agesMs"`
}

// LastWriteKey holds the last link of a service's chain of writes.
func LastWriteKey(s cluster.Service) string { return "chain/" + string(s) }

// OwnerKey holds the holder of a duty.
func OwnerKey(duty string) string { return OwnersPrefix + duty }

// State is what callers are shown of a job.
type State struct {
	Service cluster.Service `json:"service"`
	Queue   string          `json:"queue"`
	State   job.State       `json:"state"`
	// FinalAt is when the state became final, for the removal of old entries.
	FinalAt time.Time `json:"finalAt,omitzero"`
}

// Waiting counts, by queue, the jobs for which nothing has started.
type Waiting map[string]int

// Holder says who has a duty. Term tells two holdings of one instance apart.
type Holder struct {
	Instance fleet.InstanceID       `json:"instance"`
	Zone     fleet.AvailabilityZone `json:"zone"`
	Term     string                 `json:"term"`
}

// WriteMarker is the last write of an owner; its Nonce tells whether a write whose answer
// was lost took effect.
type WriteMarker struct {
	Nonce string `json:"nonce"`
}

// ShardItem says what an entry under a ShardPrefix is.
type ShardItem uint8

// The entries under a ShardPrefix.
const (
	ItemUnknown ShardItem = iota
	ItemRecord
	ItemCancel
	ItemCordon
)

// ParseShardKey splits a key under the prefix of a service.
func ParseShardKey(s cluster.Service, key string) (ShardItem, string) {
	kind, name, found := strings.Cut(strings.TrimPrefix(key, ShardPrefix(s)), "/")
	if !found {
		return ItemUnknown, ""
	}
	switch kind {
	case "job":
		return ItemRecord, name
	case "cancel":
		return ItemCancel, name
	case "cordon":
		return ItemCordon, name
	default:
		return ItemUnknown, ""
	}
}

// Decode reads a value that Encode wrote.
func Decode[T any](key string, value []byte) (T, error) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("entry %s: %w", key, err)
	}
	return v, nil
}

// Encode returns the stored form of a value of this package or of a record.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}
