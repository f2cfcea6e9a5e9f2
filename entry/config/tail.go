package config

import "github.com/tarragonreach/tarragonreach/api/object"

// Bounds of the log entries that a follower keeps for its peers.
const (
	maxTailEntries = 512
	maxTailBytes   = 512 << 10
)

// logEntry is one log entry as stored.
type logEntry struct {
	revision object.Revision
	body     []byte
}

// tail is the end of the log, without gaps, oldest first.
type tail struct {
	entries []logEntry
	bytes   int
}

// add appends the next entry and drops the oldest beyond the bounds.
func (t *tail) add(revision object.Revision, body []byte) {
	t.entries = append(t.entries, logEntry{revision, body})
	t.bytes += len(body)
	for len(t.entries) > maxTailEntries || (t.bytes > maxTailBytes && len(t.entries) > 1) {
		t.bytes -= len(t.entries[0].body)
		t.entries[0] = logEntry{}
		t.entries = t.entries[1:]
	}
}

// after returns the entries newer than revision, up to maxBytes but at least one if
// there is any. It reports false if the entry right after revision is no longer kept.
func (t *tail) after(revision object.Revision, maxBytes int) ([]logEntry, bool) {
	if len(t.entries) == 0 || revision+1 < t.entries[0].revision {
		return nil, false
	}
	start := min(int(revision+1-t.entries[0].revision), len(t.entries))
	end, size := start, 0
	for end < len(t.entries) && (end == start || size+len(t.entries[end].body) <= maxBytes) {
		size += len(t.entries[end].body)
		end++
	}
	return t.entries[start:end:end], true
}
