package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is a text table with a heading row.
type table struct {
	heading []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.heading, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printOutput prints value in the format of the --output flag: as JSON, or as the table
// that render returns.
func printOutput[T any](cmd *cli.Command, value T, render func(T) *table) error {
	out := cmd.Root().Writer
	switch format := cmd.String("output"); format {
	case outputJSON:
		return writeJSON(out, value)
	case outputTable:
		return render(value).write(out)
	default:
		return usage.Errorf("output %q: want table or json", format)
	}
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write the output: %w", err)
	}
	return nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
