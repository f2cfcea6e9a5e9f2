package follow

import (
	"log/slog"
	"maps"
	"slices"
	"time"
)

const (
	// skippedLogInterval is the minimum time between two log lines about skipped entries.
	skippedLogInterval = 10 * time.Second
	// maxSkippedExamples bounds the errors in one of these lines.
	maxSkippedExamples = 4
	// maxSkippedText bounds the text of one of these errors, in bytes.
	maxSkippedText = 256
)

// Skipped holds which entries of a prefix are skipped, each counted once while it stays so. The log gets
// summaries: each listing repeats such entries, and another writer may change them at any rate.
type Skipped struct {
	logger   *slog.Logger
	message  string
	keys     map[string]bool
	added    int      // since the last line
	examples []string // errors of some of them
	loggedAt time.Time
}

// NewSkipped returns a Skipped whose log lines have the given message.
func NewSkipped(logger *slog.Logger, message string) *Skipped {
	return &Skipped{logger: logger, message: message, keys: map[string]bool{}}
}

// Begin forgets the entries that the change removes. It is called before the change is applied.
func (s *Skipped) Begin(c Change) {
	skipped := make(map[string]bool, len(s.keys))
	for _, event := range c.Events {
		if event.Removed {
			delete(s.keys, event.Key)
		} else if s.keys[event.Key] {
			skipped[event.Key] = true
		}
	}
	if c.Reset {
		s.keys = skipped
	}
}

// Add notes that an entry is skipped, and why.
func (s *Skipped) Add(key string, err error) {
	if s.keys[key] {
		return
	}
	s.keys[key] = true
	s.added++
	if len(s.examples) < maxSkippedExamples {
		text := err.Error()
		s.examples = append(s.examples, text[:min(len(text), maxSkippedText)])
	}
}

// Replace makes the given entries, with the reasons, the only ones that are skipped.
func (s *Skipped) Replace(entries map[string]error) {
	maps.DeleteFunc(s.keys, func(key string, _ bool) bool { return entries[key] == nil })
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		s.Add(key, entries[key])
	}
}

// Used notes that an entry is not skipped any more.
func (s *Skipped) Used(key string) { delete(s.keys, key) }

// Present returns the number of entries that are skipped now.
func (s *Skipped) Present() int { return len(s.keys) }

// Log logs the entries that were added since the last line, unless that was written just now. It is
// called after each change, and so at the latest with the next listing.
func (s *Skipped) Log() {
	now := time.Now()
	if s.added == 0 || now.Sub(s.loggedAt) < skippedLogInterval {
		return
	}
	s.logger.Warn(s.message, "new", s.added, "present", len(s.keys), "errors", s.examples)
	s.added, s.examples, s.loggedAt = 0, nil, now
}
