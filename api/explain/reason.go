package explain

// Action is what a decision does to its subject.
type Action string

// The actions on instances, pools and maintenance plans.
const (
	ActionRegister Action = "register" // a new instance enters the fleet record
	ActionAssign   Action = "assign"   // a released instance starts to serve a pool
	ActionDrain    Action = "drain"    // a serving instance takes no new work
	ActionRelease  Action = "release"  // a drained instance leaves its pool
	ActionResume   Action = "resume"   // an instance serves its pool again
	ActionMaintain Action = "maintain" // a drained instance is under maintenance
	ActionFail     Action = "fail"     // an instance is marked as not healthy
	ActionForget   Action = "forget"   // an instance leaves the fleet record
	ActionIdle     Action = "idle"     // a released instance stays in no pool
	ActionFence    Action = "fence"    // an unused grant of an instance is revoked
	ActionStay     Action = "stay"     // nothing changes
	ActionSize     Action = "size"     // a pool gets its target size
)

// Reason is the stable code of the reason for a decision.
type Reason string

// Reasons for the state changes of an instance.
const (
	ReasonListed          Reason = "listed-by-platform"
	ReasonSelected        Reason = "selector-matches"
	ReasonNotSelected     Reason = "selector-does-not-match"
	ReasonPoolBelowTarget Reason = "pool-below-target"
	ReasonSurplus         Reason = "surplus"
	ReasonOperatorDrain   Reason = "drained-by-operator"
	ReasonRelabelled      Reason = "relabelled-by-operator"
	ReasonUndrained       Reason = "drain-withdrawn"
	ReasonIntentReverted  Reason = "move-no-longer-wanted"
	ReasonDrained         Reason = "drained"
	ReasonDrainTimeout    Reason = "drain-timeout"
	ReasonAbsent          Reason = "absent-from-platform-list"
	ReasonLeaving         Reason = "leaving"
	ReasonUnhealthy       Reason = "unhealthy"
	ReasonRecovered       Reason = "recovered"
	ReasonAbsentForLong   Reason = "absent-for-long"
)

// Reasons why instances stay idle and why pools get or miss their target size.
const (
	ReasonNoPoolMatches         Reason = "no-pool-matches"
	ReasonPoolFull              Reason = "pool-at-maximum"
	ReasonNoInstanceMatches     Reason = "no-instance-matches-selector"
	ReasonCandidatesTaken       Reason = "matching-instances-serve-other-pools"
	ReasonTooFewInstances       Reason = "too-few-matching-instances"
	ReasonInstancesOutOfService Reason = "matching-instances-out-of-service"
	ReasonTargetMet             Reason = "target-met"
	ReasonNotServing            Reason = "not-able-to-serve"
	ReasonSelectorInvalid       Reason = "selector-invalid"
	ReasonMoveCostsTooMuch      Reason = "move-costs-more-than-idle"
)

// Reasons of decisions on budgets and their grants.
const (
	ReasonBudgetSpent         Reason = "budget-spent"
	ReasonZoneBudgetSpent     Reason = "zone-budget-spent"
	ReasonNoDisruptionAllowed Reason = "budget-allows-no-disruption"
	ReasonGranted             Reason = "budget-granted"
	ReasonGrantExpired        Reason = "grant-expired"
	ReasonStoreUnavailable    Reason = "store-unavailable"
	ReasonConflict            Reason = "changed-by-another"
)

// Reasons of decisions on maintenance.
const (
	ReasonMaintenanceDue     Reason = "maintenance-due"
	ReasonMaintenanceRunning Reason = "maintenance-running"
	ReasonMaintenanceDone    Reason = "maintenance-done"
	ReasonMaintenanceOverdue Reason = "maintenance-overdue"
	ReasonNotDue             Reason = "not-due"
	ReasonPaused             Reason = "paused-by-operator"
	ReasonRackFailures       Reason = "correlated-failures-in-rack"
	ReasonZoneFailures       Reason = "correlated-failures-in-zone"
	ReasonBatchDeadline      Reason = "batch-near-deadline"
	ReasonOtherRack          Reason = "another-rack-in-progress"
	ReasonOtherZone          Reason = "another-zone-in-progress"
	ReasonConcurrencyReached Reason = "pace-reached"
)
