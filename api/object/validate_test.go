package object

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
)

func amount(value int) *Amount { return &Amount{Value: value} }

func percent(value int) *Amount { return &Amount{Value: value, Percent: true} }

var knownInstances = []fleet.Instance{
	{ID: "w1", Kind: fleet.KindWorker, Labels: label.Set{"kind": "cpu"}, Capacity: fleet.Resources{MilliCPU: 16000}},
	{ID: "b1", Kind: fleet.KindBackendServer, Labels: label.Set{"service": "terreni"}},
}

func TestValidateChange(t *testing.T) {
	class := Class{Name: "check", Timeout: Duration(time.Second)}
	tenant := Tenant{Name: "t"}
	job := Job{Name: "j", Tenant: "t", Class: "check", Tasks: 1}
	withJob := func(change func(*Job)) Document {
		j := job
		change(&j)
		return Document{Classes: []Class{class}, Tenants: []Tenant{tenant}, Jobs: []Job{j}}
	}
	cases := []struct {
		name    string
		put     Document
		deleted []Key
		fault   string
		warning string
	}{
		{name: "valid job", put: withJob(func(*Job) {})},
		{name: "selector", put: withJob(func(j *Job) { j.Selector = "a in (b" }), fault: "Job/j selector: selector \"a in (b\""},
		{name: "tenant", put: withJob(func(j *Job) { j.Tenant = "x" }), fault: "refers to Tenant/x, which does not exist"},
		{name: "tasks", put: withJob(func(j *Job) { j.Tasks = 0 }), fault: "Job/j tasks: is 0, want at least 1"},
		{name: "no matching worker", put: withJob(func(j *Job) { j.Selector = "kind=tpu" }), warning: "matches none of the 2 known instances"},
		{name: "larger than any worker", put: withJob(func(j *Job) { j.Declared.MilliCPU = 99000 }), warning: "fits none of the 1 workers"},
		{name: "quota", put: Document{Tenants: []Tenant{{Name: "t", Quota: fleet.Resources{MilliCPU: -1}}}}, fault: "quota.milliCPU: is -1"},
		{name: "name", put: Document{Tenants: []Tenant{{Name: "Two Words"}}}, fault: "want lower-case letters"},
		{name: "empty name", put: Document{Tenants: []Tenant{{}}}, fault: "name: is empty"},
		{name: "timeout", put: Document{Classes: []Class{{Name: "c"}}}, fault: "want a duration above zero"},
		{name: "slots", put: Document{Services: []Service{{Name: "terreni", Connections: 1}}}, fault: "slots: is 0"},
		{name: "service's pool", put: Document{Services: []Service{{Name: "terreni", Slots: 1, Connections: 1, Pool: "p"}}}, fault: "refers to Pool/p"},
		{name: "both budgets", put: Document{Pools: []Pool{{Name: "p", Budget: Budget{amount(1), amount(1)}}}}, fault: "want one of them"},
		{name: "budget above size", put: Document{Pools: []Pool{{Name: "p", Max: 3, Budget: Budget{MinHealthy: amount(4)}}}}, fault: "never has more than 3"},
		{name: "budget allows no disruption", put: Document{Pools: []Pool{{Name: "p", Budget: Budget{MinHealthy: percent(100)}}}}, warning: "no instance may ever be drained"},
		{name: "min above max", put: Document{Pools: []Pool{{Name: "p", Min: 4, Max: 3}}}, fault: "above max 3"},
		{name: "failure domain", put: Document{Pools: []Pool{{Name: "p", FailureDomain: "region"}}}, fault: "want \"rack\" or \"zone\""},
		{name: "too few instances", put: Document{Pools: []Pool{{Name: "p", Min: 4}}}, warning: "only 2 instances match"},
		{name: "overlap", put: Document{Pools: []Pool{{Name: "p", Selector: "kind=cpu"}, {Name: "q", Selector: "kind"}}}, warning: "matches 1 instances that Pool/q also matches, such as w1"},
		{name: "plan", put: Document{MaintenancePlans: []MaintenancePlan{{Name: "m", Period: 1, Duration: 2}}}, fault: "longer than the period"},
		{name: "plan's pool", put: Document{MaintenancePlans: []MaintenancePlan{{Name: "m", Pools: []string{"p"}, Period: 2, Duration: 1}}}, fault: "refers to Pool/p"},
		{name: "listed twice", put: Document{Tenants: []Tenant{tenant, tenant}}, fault: "is listed twice"},
		{name: "delete unknown", deleted: []Key{{KindPool, "p"}}, fault: "it does not exist"},
		{name: "empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := ValidateChange(&Config{}, Change{ID: "a", Put: c.put, Delete: c.deleted}, knownInstances)
			assert.Assert(t, matches(report.Faults, c.fault), "faults %v, want %q", report.Faults, c.fault)
			if c.warning != "" {
				assert.Assert(t, matches(report.Warnings, c.warning), "warnings %v, want %q", report.Warnings, c.warning)
			}
			var invalid Invalid
			assert.Equal(t, errors.As(report.Err(), &invalid), c.fault != "")
		})
	}
}

// matches reports whether a finding contains the text, or for an empty text whether
// there are no findings.
func matches(findings []Finding, text string) bool {
	if text == "" {
		return len(findings) == 0
	}
	for _, finding := range findings {
		if strings.Contains(finding.String(), text) {
			return true
		}
	}
	return false
}

func TestExistingFaultsDoNotBlockOtherChanges(t *testing.T) {
	current := (&Config{}).Apply(Change{Put: Document{Classes: []Class{{Name: "broken"}}}})
	other := Change{ID: "a", Put: Document{Tenants: []Tenant{{Name: "t"}}}}
	report := ValidateChange(current, other, nil)
	assert.NilError(t, report.Err())
	assert.Assert(t, matches(report.Warnings, "Class/broken"))

	same := Change{ID: "b", Put: Document{Classes: []Class{{Name: "broken"}}}}
	assert.Assert(t, ValidateChange(current, same, nil).Err() != nil)
}

func TestOnlySelectorsOfChangedObjectsAreEvaluated(t *testing.T) {
	current := (&Config{}).Apply(Change{Put: Document{Pools: []Pool{{Name: "p", Selector: "kind=tpu"}}}})
	other := Change{ID: "a", Put: Document{Pools: []Pool{{Name: "q", Selector: "kind=cpu"}}}}
	assert.Equal(t, len(ValidateChange(current, other, knownInstances).Warnings), 0)
	assert.Assert(t, matches(Validate(current, knownInstances).Warnings, "Pool/p selector: matches none"))
}

func TestDeletingAnObjectInUseIsAFault(t *testing.T) {
	pool := Pool{Name: "p"}
	service := Service{Name: "s", Slots: 1, Connections: 1, Pool: "p"}
	current := (&Config{}).Apply(Change{Put: Document{Pools: []Pool{pool}, Services: []Service{service}}})
	report := ValidateChange(current, Change{ID: "a", Delete: []Key{{KindPool, "p"}}}, nil)
	assert.ErrorContains(t, report.Err(), "Service/s pool: refers to Pool/p, which does not exist")
}

func TestDiffNamesFields(t *testing.T) {
	before := (&Config{}).Apply(Change{Put: Document{Pools: []Pool{{Name: "p", Budget: Budget{MinHealthy: amount(3)}}, {Name: "q"}}}})
	after := before.Apply(Change{
		Put:    Document{Pools: []Pool{{Name: "p", Min: 2, Budget: Budget{MinHealthy: percent(50)}}}},
		Delete: []Key{{KindPool, "q"}},
	})
	differences, err := Diff(before, after)
	assert.NilError(t, err)
	var lines []string
	for _, d := range differences {
		lines = append(lines, d.String())
	}
	assert.DeepEqual(t, lines, []string{
		`~ Pool/p budget.minHealthy: 3 -> "50%"`,
		`+ Pool/p min: 2`,
		`- Pool/q: {"name":"q","selector":"","budget":{}}`,
	})
}
