package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/mesh"
)

// Stream is the name of the configuration's mesh stream.
const Stream mesh.Stream = "config"

// Keys in the store. Revisions in keys have leading zeros, so that keys sort by revision.
const (
	logPrefix   = "config/log/"
	snapshotKey = "config/snapshot"
)

// logKey returns the key of a revision's log entry.
func logKey(revision object.Revision) string { return fmt.Sprintf("%s%019d", logPrefix, revision) }

// revisionOfKey parses the revision in the key of a log entry.
func revisionOfKey(key string) (object.Revision, error) {
	revision, err := strconv.ParseInt(strings.TrimPrefix(key, logPrefix), 10, 64)
	if err != nil || revision <= 0 {
		return 0, fmt.Errorf("key %q is not a key of the configuration log", key)
	}
	return object.Revision(revision), nil
}
