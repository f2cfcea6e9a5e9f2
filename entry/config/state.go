package config

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// Bounds of the summaries of past changes that a follower keeps: the number of
// summaries, and the object keys listed in each.
const (
	maxRecent  = 256
	maxTouched = 16
)

// storedObject is one object as JSON with the revision that last wrote it.
type storedObject struct {
	object.Item
	Revision   object.Revision `json:"revision"`
	unreadable bool            // this version of the program cannot decode it
}

// Summary describes an accepted change: its author, its reason and the objects that it touched.
type Summary struct {
	Revision object.Revision `json:"revision"`
	ID       string          `json:"id"`
	Author   string          `json:"author,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	At       time.Time       `json:"at"`
	// Touched lists the first maxTouched objects that the change wrote or deleted;
	// Count is the number of all of them.
	Touched []object.Key `json:"touched,omitempty"`
	Count   int          `json:"count"`
}

// state is the configuration at one revision. It is immutable.
type state struct {
	config     *object.Config
	objects    map[object.Key]storedObject
	recent     []Summary // oldest first
	unreadable int       // objects that this version of the program cannot decode
	size       int       // bytes of all objects as JSON
}

func emptyState() *state { return &state{config: &object.Config{}} }

func (s *state) revision() object.Revision { return s.config.Revision }

// apply returns the state after the record, which must be for the next revision.
// If an object of the record cannot be decoded, config keeps its previous version,
// if any, and objects gets the new JSON, marked as unreadable.
func (s *state) apply(record Record) *state {
	change, unreadable := record.change()
	next := &state{
		config:     s.config.Apply(change),
		objects:    maps.Clone(s.objects),
		recent:     appendRecent(s.recent, summaryOf(record)),
		unreadable: s.unreadable,
		size:       s.size,
	}
	if next.objects == nil {
		next.objects = make(map[object.Key]storedObject, len(record.Put))
	}
	for _, item := range record.Put {
		next.put(storedObject{Item: item, Revision: record.Revision, unreadable: unreadable[item.Key]})
	}
	for _, key := range record.Delete {
		next.remove(key)
	}
	return next
}

// put adds or replaces an object. It must not be called once the state is shared.
func (s *state) put(stored storedObject) {
	s.remove(stored.Key)
	s.objects[stored.Key] = stored
	s.size += len(stored.Body)
	if stored.unreadable {
		s.unreadable++
	}
}

func (s *state) remove(key object.Key) {
	old, ok := s.objects[key]
	if !ok {
		return
	}
	delete(s.objects, key)
	s.size -= len(old.Body)
	if old.unreadable {
		s.unreadable--
	}
}

// revisionOf returns the revision that last wrote the object, or zero.
func (s *state) revisionOf(key object.Key) object.Revision { return s.objects[key].Revision }

// revisionOfChange returns the revision of the recent change with the ID, or zero.
func (s *state) revisionOfChange(id string) object.Revision {
	for _, summary := range slices.Backward(s.recent) {
		if summary.ID == id {
			return summary.Revision
		}
	}
	return 0
}

func summaryOf(record Record) Summary {
	touched := record.touched()
	return Summary{
		Revision: record.Revision, ID: record.ID, Author: record.Author, Reason: record.Reason,
		At: record.At, Touched: slices.Clone(touched[:min(maxTouched, len(touched))]), Count: len(touched),
	}
}

func appendRecent(recent []Summary, summary Summary) []Summary {
	out := append(slices.Clone(recent), summary)
	return out[max(0, len(out)-maxRecent):]
}
