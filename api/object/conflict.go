package object

import (
	"fmt"
	"time"
)

// Conflict is the error of a change that is based on an outdated revision of an object.
// The change was refused as a whole.
type Conflict struct {
	Key Key `json:"key"`
	// Base is the revision on which the refused change was based, Current the one that
	// last wrote the object; zero means that the object does not exist.
	Base    Revision `json:"base"`
	Current Revision `json:"current"`
	// ChangeID, Author, Reason and At describe the other change; empty if it is not
	// recent.
	ChangeID string    `json:"changeID,omitempty"`
	Author   string    `json:"author,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// Differences are those between the current object and the one in the refused change.
	Differences []Difference `json:"differences,omitempty"`
}

// Error describes the object, the revisions and the other change.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("%s: the change is based on revision %d, but the object is at revision %d",
		c.Key, c.Base, c.Current)
	switch {
	case c.Current == 0:
		text = fmt.Sprintf("%s: the change is based on revision %d, but the object was deleted since", c.Key, c.Base)
	case c.Base == 0:
		text = fmt.Sprintf("%s: the change creates the object, but it exists at revision %d", c.Key, c.Current)
	}
	if c.ChangeID == "" {
		return text
	}
	text += fmt.Sprintf(" (changed by %s at %s", orUnknown(c.Author), c.At.UTC().Format(time.RFC3339))
	if c.Reason != "" {
		text += ": " + c.Reason
	}
	return text + ")"
}

func orUnknown(author string) string {
	if author == "" {
		return "an unknown author"
	}
	return author
}
