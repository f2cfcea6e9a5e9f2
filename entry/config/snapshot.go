package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// Bounds of the configuration.
const (
	// maxConfigBytes bounds the objects of a configuration as JSON, in bytes.
	maxConfigBytes = 4 << 20
	// maxSnapshotBytes bounds a decompressed snapshot, in bytes.
	maxSnapshotBytes = 16 << 20
)

var errSnapshotTooLarge = errors.New("snapshot exceeds the size limit")

// snapshot is the whole configuration at one revision as stored.
type snapshot struct {
	Revision   object.Revision `json:"revision"`
	ChangeID   string          `json:"changeID"`
	AcceptedAt time.Time       `json:"acceptedAt"`
	Objects    []storedObject  `json:"objects"`
	Recent     []Summary       `json:"recent"`
}

// encodeSnapshot returns the state as gzipped JSON. Equal states give equal bytes.
func encodeSnapshot(s *state) ([]byte, error) {
	body := snapshot{
		Revision: s.revision(), ChangeID: s.config.ChangeID,
		AcceptedAt: s.config.AcceptedAt, Recent: s.recent,
	}
	for _, stored := range s.objects {
		body.Objects = append(body.Objects, stored)
	}
	slices.SortFunc(body.Objects, func(a, b storedObject) int {
		return strings.Compare(a.Key.String(), b.Key.String())
	})
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressor).Encode(body); err != nil {
		return nil, fmt.Errorf("encode snapshot %d: %w", body.Revision, err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot %d: %w", body.Revision, err)
	}
	return out.Bytes(), nil
}

// decodeSnapshot decodes the output of encodeSnapshot.
func decodeSnapshot(body []byte) (*state, error) {
	plain, err := gunzip(body)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var decoded snapshot
	if err := json.Unmarshal(plain, &decoded); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if decoded.Revision <= 0 {
		return nil, fmt.Errorf("snapshot has revision %d, want a positive one", decoded.Revision)
	}
	return decoded.state(), nil
}

func gunzip(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxSnapshotBytes {
		return nil, errSnapshotTooLarge
	}
	return plain, nil
}

func (s snapshot) state() *state {
	config := &object.Config{Revision: s.Revision, ChangeID: s.ChangeID, AcceptedAt: s.AcceptedAt}
	out := &state{config: config, recent: s.Recent, objects: make(map[object.Key]storedObject, len(s.Objects))}
	for _, stored := range s.Objects {
		stored.unreadable = config.Restore(stored.Item, stored.Revision) != nil
		out.put(stored)
	}
	return out
}
