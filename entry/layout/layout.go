// Package layout defines the keys and values of tarragonreach's own state in the platform's
// store.
//
//	jobs/JOB                      State: the published state of a job
//	withdrawn/JOB/TENANT/QUEUE    Withdrawal: the tenant has cancelled a job of the queue that was not stored
//	shard/SERVICE/job/JOB         shard.Record: a job that is not final
//	shard/SERVICE/cancel/JOB      a cancellation that was acknowledged
//	shard/SERVICE/cordon/EXECUTOR Cordon: an executor to evacuate
//	shard/SERVICE/exhausted/fleet Exhausted: the fleet has no more machines for the service
//	progress/SERVICE/JOB          shard.Progress of a job that is not final
//	waiting/SERVICE               Waiting: counts of jobs of which nothing has started
//	admission/SERVICE             shard.Admission: how long new jobs would wait
//	load/SERVICE                  shard.Load: input of the fleet planner
//	waves/N                       WaveProgress
//	orders/fleet                  RecentCommands
//	evidence/fleet                fleetplan.DemandHistory
//	chain/SERVICE                 WriteMarker: the last write of an owner
//	quota/TENANT                  quota.Ledger: the limit of a tenant, divided among the services
//	owners/fleet, owners/SERVICE  Holder: the instance that holds a duty, under a lease; see OwnerKey
//	instances/INSTANCE            Instance: where other instances call it, under a lease
package layout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/admit"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// InstancesPrefix is the prefix of the registrations of all instances.
const InstancesPrefix = "instances/"

// InstanceKey returns the key of an instance's registration.
func InstanceKey(id fleet.InstanceID) string { return InstancesPrefix + string(id) }

// InstanceOf returns whose registration an InstanceKey is about.
func InstanceOf(key string) fleet.InstanceID {
	return fleet.InstanceID(strings.TrimPrefix(key, InstancesPrefix))
}

// Instance is the registration of an instance.
type Instance struct {
	Zone    fleet.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"`         // host:port for calls of other instances
	Cores   float64                `json:"cores,omitempty"` // CPU capacity; zero if unknown
}

// JobsPrefix is the prefix of the states of all jobs.
const JobsPrefix = "jobs/"

// JobKey returns the key of a job's State.
func JobKey(id job.ID) string { return JobsPrefix + string(id) }

// WithdrawalsPrefix is the prefix of the withdrawals of all jobs.
const WithdrawalsPrefix = "withdrawn/"

// WithdrawalKey returns the key of a tenant's Withdrawal of a job of a queue. A submission of the job by the tenant to
// the queue takes effect only if there is none.
func WithdrawalKey(id job.ID, tenant cluster.TenantName, queue string) string {
	return boundedKey(WithdrawalsPrefix+string(id)+"/", string(tenant), queue)
}

// Withdrawal is a cancellation of a job that was not stored. Old ones are removed.
type Withdrawal struct {
	At time.Time `json:"at"`
}

// ShardPrefix returns the prefix of the records and cancellations of a service's jobs, and
// of its cordons.
func ShardPrefix(s cluster.Service) string { return "shard/" + string(s) + "/" }

// RecordKey returns the key of a job's record.
func RecordKey(s cluster.Service, id job.ID) string { return ShardPrefix(s) + "job/" + string(id) }

// CancelKey returns the key that marks a job as cancelled.
func CancelKey(s cluster.Service, id job.ID) string { return ShardPrefix(s) + "cancel/" + string(id) }

// CordonsPrefix returns the prefix of the cordons of a service's executors.
func CordonsPrefix(s cluster.Service) string { return ShardPrefix(s) + "cordon/" }

// CordonKey returns the key of the Cordon of an executor that the owner of a service must
// evacuate.
func CordonKey(s cluster.Service, id cluster.ExecutorID) string {
	return CordonsPrefix(s) + strings.ReplaceAll(string(id), "/", slashInName)
}

// slashInName stands for a slash in the last part of a key. Names have no control characters.
const slashInName = "\x1f"

// ExhaustedKey returns the key of the Exhausted of a service.
func ExhaustedKey(s cluster.Service) string { return ShardPrefix(s) + "exhausted/fleet" }

// Exhausted states that the fleet planner has no more machines for a service. The planner renews it
// while that is so, and removes it afterwards.
type Exhausted struct {
	AtMs int64 `json:"atMs"` // when it was written, Unix milliseconds
}

// Cordon specifies how an executor is evacuated.
type Cordon struct {
	// ID distinguishes the cordon from others of the same executor.
	ID string `json:"id,omitempty"`
	// Preempt is set if other services need the machine so that their jobs complete in time.
	Preempt bool `json:"forOthers,omitempty"`
}

// ProgressPrefix returns the prefix of the progress of a service's jobs.
func ProgressPrefix(s cluster.Service) string { return "progress/" + string(s) + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(s cluster.Service, id job.ID) string { return ProgressPrefix(s) + string(id) }

// ParseProgressKey returns the job of a key under the ProgressPrefix of a service, and false for a key of another
// service, whose name has slashes.
func ParseProgressKey(s cluster.Service, key string) (job.ID, bool) {
	id := strings.TrimPrefix(key, ProgressPrefix(s))
	return job.ID(id), !strings.Contains(id, "/")
}

// WaitingKey returns the key of the counts of waiting jobs of a service's queues.
func WaitingKey(s cluster.Service) string { return "waiting/" + string(s) }

// LoadPrefix is the prefix of the loads of all services.
const LoadPrefix = "load/"

// LoadKey returns the key of a service's load.
func LoadKey(s cluster.Service) string { return LoadPrefix + string(s) }

// AdmissionPrefix is the prefix of the admissions of all services.
const AdmissionPrefix = "admission/"

// AdmissionKey returns the key of a service's shard.Admission.
func AdmissionKey(s cluster.Service) string { return AdmissionPrefix + string(s) }

// WaveKey returns the key of the WaveProgress of a maintenance wave.
func WaveKey(number int64) string { return "waves/" + strconv.FormatInt(number, 10) }

// WavesPrefix is the prefix of the progress of all waves.
const WavesPrefix = "waves/"

// WaveProgress is the progress of a maintenance wave: the machines whose maintenance has
// started, and the state last reported to the operator.
type WaveProgress struct {
	MaintenanceStarted []cluster.MachineID `json:"done"`
	Reported           cluster.WaveState   `json:"reported"`
	// StartedAt is when a holder of the fleet duty first saw the wave.
	StartedAt time.Time `json:"begun"`
}

// RecentCommandsKey is the key of the RecentCommands of the fleet duty.
const RecentCommandsKey = "orders/fleet"

// DemandHistoryKey is the key of the fleet planner's demand history.
const DemandHistoryKey = "evidence/fleet"

// RecentCommands lists the machines that got a command in the last seconds.
type RecentCommands struct {
	// AgesMs is the age in milliseconds of each machine's last command when the list was
	// written.
	AgesMs map[cluster.MachineID]int64 `json:"agesMs"`
}

// LastWriteKey returns the key of the WriteMarker of the last write of a service's owner.
func LastWriteKey(s cluster.Service) string { return "chain/" + string(s) }

// QuotaPrefix is the prefix of the ledgers of all tenants.
const QuotaPrefix = "quota/"

// maxKeyBytes is the store's maximum length of a key.
const maxKeyBytes = 200

// QuotaKey returns the key of a tenant's ledger, which holds the tenant's name.
func QuotaKey(tenant cluster.TenantName) string { return boundedKey(QuotaPrefix, string(tenant)) }

// boundedKey returns the key of what has the given names under a prefix. The names may have any characters and any
// length: they are escaped, and replaced by their hash if they are too long together. No escaped name begins like a
// hash.
func boundedKey(prefix string, names ...string) string {
	escaped := make([]string, len(names))
	for i, name := range names {
		escaped[i] = url.PathEscape(name)
	}
	key := prefix + strings.Join(escaped, "/")
	if len(key) <= maxKeyBytes {
		return key
	}
	digest := sha256.Sum256([]byte(strings.Join(names, "\x00")))
	return prefix + "#" + hex.EncodeToString(digest[:])
}

// State is the published state of a job.
type State struct {
	Service cluster.Service `json:"service"`
	Queue   string          `json:"queue"`
	State   job.State       `json:"state"`
	// Tenant is whose job it is; empty for jobs without a tenant.
	Tenant cluster.TenantName `json:"tenant,omitempty"`
	// FinalAt is when the state became final; old final entries are removed.
	FinalAt time.Time `json:"finalAt,omitzero"`
	// Rejected is set if there is no job: its submission was rejected, and no attempt of it from
	// before may take effect any more. State is then final, so that the entry is removed like others.
	Rejected *Rejection `json:"rejected,omitempty"`
}

// Rejection is what a caller was told whose job was rejected.
type Rejection struct {
	// At is when it was rejected.
	At time.Time `json:"at"`
	// RetryAt is when the caller should come back.
	RetryAt time.Time `json:"retryAt"`
}

// Waiting counts by queue the jobs of which nothing has started.
type Waiting map[string]int

// WriteMarker identifies the last write of an owner by a nonce, which shows whether a write
// whose response was lost took effect.
type WriteMarker struct {
	Nonce string `json:"nonce"`
	// Unreached lists the executors with inherited runs that the owner has not reached.
	Unreached shard.Unreached `json:"unreached,omitempty"`
}

// ShardItem is the kind of an entry under a ShardPrefix.
type ShardItem uint8

// Kinds of entries under a ShardPrefix.
const (
	ItemUnknown ShardItem = iota
	ItemRecord
	ItemCancel
	ItemCordon
	ItemExhausted
)

// ParseShardKey splits a key under the ShardPrefix of a service into kind and name. Where the name of a service has
// slashes, another one's keys may be under the prefix, too: they have more parts, and their kind is ItemUnknown.
func ParseShardKey(s cluster.Service, key string) (ShardItem, string) {
	kind, name, found := strings.Cut(strings.TrimPrefix(key, ShardPrefix(s)), "/")
	if !found || strings.Contains(name, "/") {
		return ItemUnknown, ""
	}
	switch kind {
	case "job":
		return ItemRecord, name
	case "cancel":
		return ItemCancel, name
	case "cordon":
		return ItemCordon, strings.ReplaceAll(name, slashInName, "/")
	case "exhausted":
		return ItemExhausted, name
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

// DecodeCompressed reads a value that EncodeCompressed or Encode wrote.
func DecodeCompressed[T any](key string, value []byte) (T, error) {
	text, err := decompress(value)
	if err != nil {
		var none T
		return none, fmt.Errorf("entry %s: %w", key, err)
	}
	return Decode[T](key, text)
}

var errUnknownState = errors.New("a job's state without a service, or with an unknown word")

// DecodeState decodes the state of a job. It returns an error if the value is none that this version
// knows; a newer version may. Unknown fields are ignored.
func DecodeState(key string, value []byte) (State, error) {
	s, err := Decode[State](key, value)
	if err == nil && !s.known() {
		err = fmt.Errorf("entry %s: %w", key, errUnknownState)
	}
	return s, err
}

// known reports whether the service is set and the state is one of this version.
func (s State) known() bool {
	return s.Service != "" && (s.State == job.Queued || s.State == job.Running || s.State.Final())
}

// rejectionSettled is the age from which a rejection may be replaced by its job. A request from
// before the rejection must not store the job after its caller was told that it never runs. It is
// below the shortest Retry-After, and above the time that the write of a rejection may take and the
// difference of instances' clocks.
const rejectionSettled = 750 * time.Millisecond

// Settled reports whether a request that arrived at the given time came after the rejection, so that the
// job may replace it: as its caller was told, not before. An earlier request of the caller that an instance
// reads late, since it was paused, must not store the job.
func (r Rejection) Settled(arrived time.Time) bool {
	return !arrived.Before(r.At.Add(rejectionSettled)) && admit.TimingOf(r.RetryAt, arrived) != admit.TooEarly
}

// Encode returns the stored form of a value of this package or of a record.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// EncodeCompressed is like Encode for values that are written often: their stored form is compressed if they
// are long. DecodeCompressed reads both forms.
func EncodeCompressed(v any) ([]byte, error) {
	text, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return compress(text), nil
}
