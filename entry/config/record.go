package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// Record is one accepted change as the store holds it. Specs stay as JSON, so
// that fields and kinds of a newer version of the program pass through unharmed.
type Record struct {
	Revision object.Revision `json:"revision"`
	ID       string          `json:"id"`
	Author   string          `json:"author,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	At       time.Time       `json:"at"`
	Put      []object.Item   `json:"put,omitempty"`
	Delete   []object.Key    `json:"delete,omitempty"`
}

// newRecord encodes the specs of a change for one revision.
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

// decodeRecord reads a log entry and checks that it is for the given revision.
func decodeRecord(body []byte, revision object.Revision) (Record, error) {
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return Record{}, fmt.Errorf("log entry %d: %w", revision, err)
	}
	if record.Revision != revision {
		return Record{}, fmt.Errorf("log entry %d says that it is revision %d", revision, record.Revision)
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

// change returns what this version of the program understands of the record, and
// the objects that it had to leave out.
func (r Record) change() (object.Change, map[object.Key]bool) {
	change := object.Change{ID: r.ID, Author: r.Author, Reason: r.Reason, At: r.At, Delete: r.Delete}
	unread := map[object.Key]bool{}
	for _, item := range r.Put {
		if err := change.Put.Add(item); err != nil {
			unread[item.Key] = true
		}
	}
	return change, unread
}
