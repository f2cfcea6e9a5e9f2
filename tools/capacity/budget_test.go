package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBudgetMarksSumOverTheBound(t *testing.T) {
	table := budgetTable{title: "x", unit: "B/s", bound: 10, lines: []budgetLine{{"a", "m", 4}, {"b", "w", 5}}}
	var b strings.Builder
	table.write(&b)
	assert.Assert(t, strings.Contains(b.String(), "| sum | 9 | under the bound of 10 |"), b.String())
	table.lines[0].value = 6
	b.Reset()
	table.write(&b)
	assert.Assert(t, strings.Contains(b.String(), "| sum | 11 | **over** the bound of 10 |"), b.String())
}

func TestBudgetNeedsEverySeries(t *testing.T) {
	_, err := budgets(Report{})
	assert.ErrorContains(t, err, "no series")
}
