package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Markers around the part of the page that this command writes.
const (
	beginMarker = "<!-- capacity:begin, written by go run ./tools/capacity -->"
	endMarker   = "<!-- capacity:end -->"
)

var errNoMarkers = errors.New("the page lacks the markers around the tables")

// updatePage replaces the text between the markers with the tables of a report.
func updatePage(file string, report Report) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	budget, err := budgets(report)
	if err != nil {
		return err
	}
	updated, err := replaceTables(string(page), tables(report)+budgetText(budget))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return os.WriteFile(file, []byte(updated), 0o644)
}

func replaceTables(page, text string) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker)
	_, after, ended := strings.Cut(rest, endMarker)
	if !found || !ended {
		return "", errNoMarkers
	}
	return before + beginMarker + "\n\n" + text + "\n" + endMarker + after, nil
}

func tables(report Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured with %s on %s, %d cores.\n\n", report.GoVersion, report.Platform, report.Cores)
	b.WriteString("| series | role | unit | sizes n | a + b·n | residual | today | at the target |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, s := range report.Series {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s + %s·n | %s | %s at %s | %s at %s %s |\n",
			s.Name, s.Role, s.Unit, sizesOf(s), number(s.Fit.A), number(s.Fit.B), number(s.Fit.Residual),
			number(s.At(s.Today)), number(s.Today), number(s.At(s.Target)), number(s.Target), s.Per)
	}
	b.WriteString("\nMeasured values, in the order of the sizes:\n\n")
	b.WriteString("| series | values |\n|---|---|\n")
	for _, s := range report.Series {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, valuesOf(s))
	}
	return b.String()
}

func budgetText(tables []budgetTable) string {
	var b strings.Builder
	b.WriteString("\n### Budget of a node at the target\n")
	for _, t := range tables {
		t.write(&b)
	}
	return b.String()
}

func sizesOf(s Series) string {
	return joinPoints(s.Points, func(p Point) float64 { return p.Size })
}

func valuesOf(s Series) string {
	return joinPoints(s.Points, func(p Point) float64 { return p.Value })
}

func joinPoints(points []Point, pick func(Point) float64) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = number(pick(p))
	}
	return strings.Join(texts, ", ")
}

// number formats v without an exponent; smaller values get more decimal places, at most
// five.
func number(v float64) string {
	switch abs := max(v, -v); {
	case abs >= 1000 || v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	case abs >= 10:
		return fmt.Sprintf("%.1f", v)
	case abs >= 0.01:
		return fmt.Sprintf("%.3f", v)
	default:
		return fmt.Sprintf("%.5f", v)
	}
}
