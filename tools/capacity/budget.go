package main

import (
	"fmt"
	"strings"
)

// Rates and bounds of the budget of one node (entry instance).
const (
	secondsPerDay = 86400.0
	// changesPerDay is the number of configuration changes.
	changesPerDay = 3100.0
	// recordWritesPerDay counts four state changes for each of 740 restarts, 25 failures
	// and 63 maintenances (each of 3,100 instances once in 49 days).
	recordWritesPerDay = 4 * (740.0 + 25 + 63)
	// listPollsPerSecond is the rate of polls of the platform's list; all readers of a
	// process share one poll. unchangedPollBytes is the size of the response if the list
	// has not changed.
	listPollsPerSecond = 1.0
	unchangedPollBytes = 212.0
	// listChangesPerDay counts one departure and one return for each restart, failure
	// and maintenance.
	listChangesPerDay        = 2 * (740.0 + 25 + 63)
	planRoundsPerSecond      = 0.5
	placementRoundsPerSecond = 2.0

	memoryBoundKiB = 32 << 10
	msPerPercent   = 10.0 // milliseconds of work per second that make 1% of a core
)

// budgetLine is one cost of a node at the target size. Its derivation is "m" for a
// measured value, "w" for a value worked out from assumptions, and "m slope, w rate"
// for a measured cost per event multiplied by a worked-out rate of events.
type budgetLine struct {
	item       string
	derivation string
	value      float64
}

// budgetTable compares the sum of its lines with a bound.
type budgetTable struct {
	title string
	unit  string
	bound float64
	lines []budgetLine
}

func (t budgetTable) sum() float64 {
	total := 0.0
	for _, l := range t.lines {
		total += l.value
	}
	return total
}

func (t budgetTable) write(b *strings.Builder) {
	fmt.Fprintf(b, "\n| %s | %s | how |\n|---|---|---|\n", t.title, t.unit)
	for _, l := range t.lines {
		fmt.Fprintf(b, "| %s | %s | %s |\n", l.item, number(l.value), l.derivation)
	}
	state := "under"
	if t.sum() > t.bound {
		state = "**over**"
	}
	fmt.Fprintf(b, "| sum | %s | %s the bound of %s |\n", number(t.sum()), state, number(t.bound))
}

// budgets computes the costs of a node at the target size from a report.
func budgets(report Report) ([]budgetTable, error) {
	var missing error
	at := func(name string) float64 {
		s, err := report.find(name)
		if err != nil {
			missing = err
		}
		return s.At(s.Target)
	}
	tables := []budgetTable{
		bandwidthBudget(at),
		listBudget(at),
		processorBudget("processor, any entry instance", at, false),
		processorBudget("processor, a zone's duty holder", at, true),
		memoryBudget(at),
	}
	return tables, missing
}

func bandwidthBudget(at func(string) float64) budgetTable {
	pageBytes := at("record-bytes") / (zones * 32) // average size of a page in bytes
	return budgetTable{title: "mesh, sent and received", unit: "B/s", bound: bandwidthBound, lines: []budgetLine{
		{"heartbeats", "m", at("mesh-idle")},
		{"changes of configuration, 3,100 a day", "m slope, w rate", at("mesh-change") * changesPerDay / secondsPerDay},
		{"load summaries of 28 services, always changing", "m", at("mesh-summaries")},
		{"pages of the fleet record", "w, as changes, plus the page's bytes once each way", (at("mesh-change") + 2*pageBytes) * recordWritesPerDay / secondsPerDay},
	}}
}

func listBudget(at func(string) float64) budgetTable {
	return budgetTable{title: "platform's list, received", unit: "B/s", bound: bandwidthBound, lines: []budgetLine{
		{"one poll a second, unchanged", "m, BenchmarkConfigurationInstanceList", unchangedPollBytes * listPollsPerSecond},
		{"changed lists, compressed", "m slope, w rate", at("list-bytes") * listChangesPerDay / secondsPerDay},
	}}
}

func processorBudget(title string, at func(string) float64, holder bool) budgetTable {
	t := budgetTable{title: title, unit: "% of a core", bound: processorBound, lines: []budgetLine{
		{"mesh", "m", at("mesh-processor")},
		{"reading the platform's list when it changed", "m slope, w rate", at("list-read") * listChangesPerDay / secondsPerDay / msPerPercent},
		{"building the directory after each change", "m slope, w rate", at("directory-swap") / microsPerMilli / msPerPercent * (listChangesPerDay + changesPerDay) / secondsPerDay},
		{"merging changes", "m slope, w rate", at("config-merge") / microsPerMilli / msPerPercent * changesPerDay / secondsPerDay},
	}}
	if holder {
		t.lines = append(t.lines,
			budgetLine{"capacity plans", "m slope, w rate", at("plan-round") * planRoundsPerSecond / msPerPercent},
			budgetLine{"placement", "m slope, w rate", at("placement-round") * placementRoundsPerSecond / msPerPercent})
	}
	return t
}

func memoryBudget(at func(string) float64) budgetTable {
	return budgetTable{title: "memory", unit: "KiB", bound: memoryBoundKiB, lines: []budgetLine{
		{"mesh", "m", at("mesh-memory")},
		{"configuration", "m", at("config-memory")},
		{"fleet record", "m", at("record-memory")},
		{"directory", "m", at("directory-memory")},
		{"platform's list while it is read: its bytes twice, decoded and raw", "w", 2 * at("list-bytes") / kib},
		{"messages being received, at most", "w, the limit in the code", 12 << 10},
	}}
}
