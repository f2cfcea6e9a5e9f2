package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplaceTablesKeepsTheRestOfThePage(t *testing.T) {
	page := "before\n" + beginMarker + "\nold\n" + endMarker + "\nafter\n"
	updated, err := replaceTables(page, "new")
	assert.NilError(t, err)
	assert.Equal(t, updated, "before\n"+beginMarker+"\n\nnew\n"+endMarker+"\nafter\n")
	updatedAgain, err := replaceTables(updated, "new")
	assert.NilError(t, err)
	assert.Equal(t, updatedAgain, updated)
	_, err = replaceTables("no markers", "new")
	assert.ErrorIs(t, err, errNoMarkers)
}

func TestTablesListEachSeries(t *testing.T) {
	series := Series{Name: "mesh-idle", Unit: "B/s", Per: "entry instances", Points: []Point{{4, 100}, {8, 140}}, Today: 8, Target: 39}
	series.Fit = fitLine(series.Points)
	text := tables(Report{Series: []Series{series}})
	assert.Assert(t, strings.Contains(text, "| 60 + 10·n |"), text)
	assert.Assert(t, strings.Contains(text, "| 450 at 39 entry instances |"), text)
}

func TestNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 12345.6: "12346", 12.34: "12.3", 0.1234: "0.123", 0.001234: "0.00123"} {
		assert.Equal(t, number(value), want)
	}
}
