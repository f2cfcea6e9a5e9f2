package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	Key Key `json:"key"`
	// Field is the path of the field, such as "budget.minHealthy"; empty means the whole
	// object, which then exists in only one of the configurations.
	Field string `json:"field,omitempty"`
	// Old and New are the values as JSON; empty if absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns one line: "+ Kind/name field: new", "- Kind/name field: old" or
// "~ Kind/name field: old -> new".
func (d Difference) String() string {
	name := d.Key.String()
	if d.Field != "" {
		name += " " + d.Field
	}
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", name, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", name, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", name, d.Old, d.New)
	}
}

// Diff returns the differences between two configurations, sorted by kind, name and
// field.
func Diff(from, to *Config) ([]Difference, error) {
	return DiffDocuments(from.Document(), to.Document())
}

// DiffDocuments returns the differences between two documents, sorted as by Diff.
func DiffDocuments(from, to Document) ([]Difference, error) {
	before, err := bodiesByKey(from)
	if err != nil {
		return nil, err
	}
	after, err := bodiesByKey(to)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var out []Difference
	for _, key := range slices.SortedFunc(maps.Keys(keys), compareKeys) {
		out = append(out, diffObject(key, before[key], after[key])...)
	}
	return out, nil
}

func compareKeys(a, b Key) int { return strings.Compare(a.String(), b.String()) }

func bodiesByKey(d Document) (map[Key]json.RawMessage, error) {
	items, err := d.Items()
	if err != nil {
		return nil, err
	}
	out := make(map[Key]json.RawMessage, len(items))
	for _, item := range items {
		out[item.Key] = item.Body
	}
	return out, nil
}

func diffObject(key Key, before, after json.RawMessage) []Difference {
	if bytes.Equal(before, after) {
		return nil
	}
	if before == nil || after == nil {
		return []Difference{{Key: key, Old: string(before), New: string(after)}}
	}
	old, current := fields(before), fields(after)
	names := maps.Clone(old)
	maps.Copy(names, current)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if old[name] != current[name] {
			out = append(out, Difference{Key: key, Field: name, Old: old[name], New: current[name]})
		}
	}
	return out
}

// fields returns the leaf values of a JSON object by their path.
func fields(body json.RawMessage) map[string]string {
	out := map[string]string{}
	flatten(body, "", out)
	return out
}

func flatten(body json.RawMessage, path string, out map[string]string) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil || members == nil {
		out[path] = string(body)
		return
	}
	for name, member := range members {
		if path != "" {
			name = path + "." + name
		}
		flatten(member, name, out)
	}
}
