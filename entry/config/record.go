package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// Record is one accepted change as stored. Specs stay JSON, so that fields and
// kinds written by a newer version of the program are preserved.
type Record struct {
	Revision object.Revision `json:"revision"`
	ID       string          `json:"id"`
	Author   string          `json:"author,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	At       time.Time       `json:"at"`
	Put      []object.Item   `json:"put,omitempty"`
	Delete   []object.Key    `json:"delete,omitempty"`
}

// newRecord returns the record of a change at the revision, with its specs encoded.
func newRecord(change object.Change, revision object.Revision) (Record, error) {
	record := Record{
		Revision: revision, ID: change.ID, Author: change.Author,
		Reason: change.Reason, At: change.At, Delete: change.Delete,
	}
	items, err := change.Put.Items()
	if err != nil {
		return Record{}, err
	}
	record.Put = items
	return record, nil
}

// decodeRecord decodes a log entry and checks that it has the given revision.
func decodeRecord(body []byte, revision object.Revision) (Record, error) {
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return Record{}, fmt.Errorf("log entry %d: %w", revision, err)
	}
	if record.Revision != revision {
		return Record{}, fmt.Errorf("log entry %d contains revision %d", revision, record.Revision)
	}
	return record, nil
}

// touched returns the objects that the change writes or deletes.
func (r Record) touched() []object.Key {
	var keys []object.Key
	for _, item := range r.Put {
		keys = append(keys, item.Key)
	}
	return append(keys, r.Delete...)
}

// change returns the change with all objects that this version of the program can
// decode, and the keys of the objects that it cannot.
func (r Record) change() (object.Change, map[object.Key]bool) {
	change := object.Change{ID: r.ID, Author: r.Author, Reason: r.Reason, At: r.At, Delete: r.Delete}
	unreadable := map[object.Key]bool{}
	for _, item := range r.Put {
		if err := change.Put.Add(item); err != nil {
			unreadable[item.Key] = true
		}
	}
	return change, unreadable
}
