package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/mesh"
)

// Stream is the mesh's name for the configuration.
const Stream mesh.Stream = "config"

// Keys of the store. Revisions have leading zeros, so that keys sort by revision.
const (
	logPrefix   = "config/log/"
	snapshotKey = "config/snapshot"
)

// logKey returns the key of a revision's log entry.
func logKey(revision object.Revision) string { return fmt.Sprintf("%s%019d", logPrefix, revision) }

// revisionOfKey reads the revision from a log entry's key.
func revisionOfKey(key string) (object.Revision, error) {
	revision, err := strconv.ParseInt(strings.TrimPrefix(key, logPrefix), 10, 64)
	if err != nil || revision <= 0 {
		return 0, fmt.Errorf("key %q is not one of the configuration log", key)
	}
	return object.Revision(revision), nil
}
