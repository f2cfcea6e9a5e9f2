package dev

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/dev/load"
)

// Names of the development fleet.
const (
	serviceCounter = "sportello"
	serviceParcels = "terreni"
	classCheck     = "check"
	classBatch     = "batch"
	classDossier   = "dossier"
	tenantOffice   = "palermo-office"
	tenantRegion   = "region"
	poolWorkers    = "workers"
	jobReconcile   = "reconcile-herds"
)

const (
	slots       = 8
	connections = 64
	// A higher number is a higher priority.
	checkPriority   = 30
	dossierPriority = 20
	batchPriority   = 10
	checkTimeout    = 2 * time.Second
	dossierTimeout  = 5 * time.Second
	batchTimeout    = 10 * time.Second
	// Rates in requests per second over all entry instances.
	checkRate   = 120
	batchRate   = 60
	dossierRate = 20
)

// firstConfig returns the initial configuration of the development fleet.
func firstConfig() operations.ConfigDocument {
	yes, no := true, false
	one := &object.Amount{Value: 1}
	return operations.ConfigDocument{
		Reason: "first configuration of the development fleet",
		Document: object.Document{
			Services: []object.Service{
				{Name: serviceCounter, Pool: serviceCounter, Slots: slots, Connections: connections},
				{Name: serviceParcels, Pool: serviceParcels, Slots: slots, Connections: connections},
			},
			Classes: []object.Class{
				{Name: classCheck, Priority: checkPriority, Timeout: object.Duration(checkTimeout), Repeatable: &yes},
				{Name: classDossier, Priority: dossierPriority, Timeout: object.Duration(dossierTimeout), Repeatable: &no},
				{Name: classBatch, Priority: batchPriority, Timeout: object.Duration(batchTimeout), Repeatable: &yes},
			},
			Tenants: []object.Tenant{
				{Name: tenantOffice, Weight: 2},
				{Name: tenantRegion, Weight: 1, Quota: fleet.Resources{MilliCPU: 32_000, MemoryMiB: 128_000}},
			},
			Pools: []object.Pool{
				{Name: serviceCounter, Selector: "service=" + serviceCounter, Budget: object.Budget{MaxUnavailable: one}},
				{Name: serviceParcels, Selector: "service=" + serviceParcels, Budget: object.Budget{MaxUnavailable: one}},
				{Name: poolWorkers, Selector: "kind=" + string(fleet.KindWorker), Budget: object.Budget{MaxUnavailable: one}},
			},
			Jobs: []object.Job{{
				Name: jobReconcile, Tenant: tenantRegion, Class: classBatch, Tasks: jobTasks,
				Declared: fleet.Resources{MilliCPU: taskMilliCPU, MemoryMiB: taskMemoryMiB},
				RunTime:  object.Duration(taskRunTime),
			}},
		},
	}
}

// loadStreams returns the request streams of the mixed load.
func loadStreams() []load.Stream {
	return []load.Stream{
		{
			Class: classCheck, Tenant: tenantOffice, Service: serviceCounter, Method: "GET",
			Rate: checkRate, Timeout: checkTimeout, Repeatable: true,
		},
		{
			Class: classBatch, Tenant: tenantRegion, Service: serviceParcels, Method: "POST", Body: "reconcile",
			Rate: batchRate, Timeout: batchTimeout, Repeatable: true,
		},
		{
			Class: classDossier, Tenant: tenantOffice, Service: serviceCounter, Method: "POST", Body: "ticketed dossier",
			Rate: dossierRate, Timeout: dossierTimeout, Keying: load.Ticketed,
		},
		{
			Class: classDossier, Tenant: tenantOffice, Service: serviceCounter, Method: "POST", Body: "dossier with a key",
			Rate: ownKeyRate, Timeout: dossierTimeout, Keying: load.OwnKey,
		},
	}
}

// ownKeyRate is in requests per second. It stays below the rate of store writes that
// an entry instance may use for claims.
const ownKeyRate = 5
