package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// Bounds of one call of Accept.
const (
	// maxAcceptAttempts bounds how often a change is tried, each time on a newer
	// revision because another change was accepted first.
	maxAcceptAttempts = 16
	// createTimeout bounds one attempt to create a log entry.
	createTimeout = 3 * time.Second
	// acceptTimeout bounds one call of Accept, even if its context allows more time.
	acceptTimeout = 20 * time.Second
	// maxRecordBytes bounds the log entry of one change, in bytes.
	maxRecordBytes = 900 << 10
)

// LogOptions configure a Log.
type LogOptions struct {
	// Instances returns the known instances of the fleet, against which selectors are
	// matched; with nil, a selector is checked without knowing which instances it matches.
	Instances func() []fleet.Instance
	// Logger receives accepted changes and failed compactions; nil discards them.
	Logger *slog.Logger
}

// Log accepts changes into the configuration log. It is safe for concurrent use,
// and any number of processes may accept changes at the same time.
type Log struct {
	store    platform.Store
	follower *Follower
	options  LogOptions
	logger   *slog.Logger
	// These have the values of the constants of the same names; tests set smaller ones.
	retainedRevisions object.Revision
	compactEvery      object.Revision
}

// NewLog returns a log that reads through the follower and applies accepted changes to it.
func NewLog(store platform.Store, follower *Follower, options LogOptions) *Log {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Log{
		store: store, follower: follower, options: options, logger: options.Logger,
		retainedRevisions: retainedRevisions, compactEvery: compactEvery,
	}
}

// Accept validates the change and accepts it as the next revision, which it
// returns. The log sets the change's time. A change whose ID is among the last
// maxRecent accepted ones is not accepted again: the call returns its revision.
//
// If the change was rejected, the error is an *object.Conflict, an object.Invalid, or
// a *verdict.Error with NotRun. If the outcome is unknown, it is a *verdict.Error with
// MayHaveRun; the same change may then be sent again.
func (l *Log) Accept(ctx context.Context, change object.Change) (object.Revision, error) {
	if len(change.Touched()) == 0 {
		return 0, object.Invalid{{Problem: "the change is empty"}}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for range maxAcceptAttempts {
		revision, err := l.acceptOnce(ctx, change)
		if errors.Is(err, errRevisionTaken) {
			continue
		}
		if err != nil {
			return 0, err
		}
		l.compactIfDue(ctx, revision)
		return revision, nil
	}
	return 0, notRun("other changes were accepted first in every attempt", errRevisionTaken)
}

// errRevisionTaken reports that the revision belongs to another change.
var errRevisionTaken = errors.New("another change was accepted as this revision")

// acceptOnce tries to accept the change right after the newest revision.
func (l *Log) acceptOnce(ctx context.Context, change object.Change) (object.Revision, error) {
	readRevision, err := l.refreshFollower(ctx)
	if err != nil {
		return 0, err
	}
	current := l.follower.current.Load()
	if revision := current.revisionOfChange(change.ID); revision > 0 {
		return revision, nil
	}
	if _, err := l.check(current, change); err != nil {
		return 0, err
	}
	change.At = time.Now().UTC()
	record, err := newRecord(change, current.revision()+1)
	if err != nil {
		return 0, notRun("the change cannot be encoded", err)
	}
	return l.commit(ctx, record, readRevision)
}

// refreshFollower brings the follower up to date with the store, so that the change
// is checked against the newest revision. It returns the store's revision at the
// time of the read.
func (l *Log) refreshFollower(ctx context.Context) (platform.Revision, error) {
	failures := 0
	for {
		storeRevision, err := l.follower.refreshWithTimeout(ctx, readTimeout)
		if err == nil {
			return storeRevision, nil
		}
		failures++
		if failures > maxReadFailures || backoff.Sleep(ctx, backoff.Default.Delay(failures, backoff.NewRandom())) != nil {
			return 0, notRun("the store cannot be read, so no change can be accepted", err)
		}
	}
}

// maxReadFailures is the number of failed reads that Accept retries before it gives up.
const maxReadFailures = 3

// commit writes the log entry, resolves lost responses and puts the revision in
// force. readRevision is the store's revision when the follower was refreshed.
func (l *Log) commit(ctx context.Context, record Record, readRevision platform.Revision) (object.Revision, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return 0, notRun("the change cannot be encoded", err)
	}
	if len(body) > maxRecordBytes {
		return 0, notRun(fmt.Sprintf("the change has %d bytes, the limit is %d", len(body), maxRecordBytes), platform.ErrTooLarge)
	}
	entryRevision, err := l.createEntry(ctx, record, body)
	if err != nil {
		return 0, err
	}
	if err := l.confirm(ctx, record, entryRevision, readRevision); err != nil {
		return 0, err
	}
	l.follower.append(record, body)
	l.logger.Info("change accepted", "revision", record.Revision, "change", record.ID, "author", record.Author)
	return record.Revision, nil
}

// createEntry retries the create until its outcome is known. Once an attempt was
// ambiguous, an error other than errRevisionTaken means that the change may have
// been accepted.
func (l *Log) createEntry(ctx context.Context, record Record, body []byte) (platform.Revision, error) {
	key := logKey(record.Revision)
	ambiguous, failures := false, 0
	for {
		entryRevision, err := l.createWithTimeout(ctx, key, body)
		if err == nil {
			return entryRevision, nil
		}
		if errors.Is(err, platform.ErrExists) {
			entryRevision, err = l.findOwnEntry(ctx, key, record, ambiguous)
			if err == nil || errors.Is(err, errRevisionTaken) {
				return entryRevision, err
			}
		}
		ambiguous = ambiguous || isAmbiguous(err)
		failures++
		if backoff.Sleep(ctx, backoff.Default.Delay(failures, backoff.NewRandom())) != nil {
			return 0, outcomeError(err, ambiguous)
		}
	}
}

func (l *Log) createWithTimeout(ctx context.Context, key string, body []byte) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	return l.store.Create(ctx, key, body, 0)
}

// findOwnEntry returns the store revision of the existing entry if an earlier,
// ambiguous attempt of this call created it. It returns errRevisionTaken if the entry
// belongs to another change or no longer exists: an entry is deleted only once its
// revision was compacted, so other changes were accepted first.
func (l *Log) findOwnEntry(ctx context.Context, key string, record Record, ambiguous bool) (platform.Revision, error) {
	if !ambiguous {
		return 0, errRevisionTaken
	}
	entry, err := l.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, errRevisionTaken
	}
	if err != nil {
		return 0, err
	}
	found, err := decodeRecord(entry.Value, record.Revision)
	if err != nil || found.ID != record.ID {
		return 0, errRevisionTaken
	}
	return entry.Revision, nil
}

// confirm checks that the entry was not created at a revision that had already been
// compacted, which can happen if the process was paused after it read the log. In
// that case it deletes the entry and returns errRevisionTaken. Compaction keeps the
// last retainedRevisions entries, so the check is needed only if the store has had more
// than retainedRevisions writes since the read.
func (l *Log) confirm(ctx context.Context, record Record, entryRevision, readRevision platform.Revision) error {
	if entryRevision-readRevision <= platform.Revision(l.retainedRevisions) {
		return nil
	}
	entry, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return outcomeError(err, true)
	}
	compacted, err := decodeSnapshot(entry.Value)
	if err != nil {
		return outcomeError(err, true)
	}
	if compacted.revision() < record.Revision {
		return nil
	}
	_ = l.store.Delete(ctx, logKey(record.Revision), entryRevision)
	return errRevisionTaken
}

// isAmbiguous reports whether a write that failed with err may have taken effect.
func isAmbiguous(err error) bool {
	for _, certain := range []error{platform.ErrRateLimited, platform.ErrTooLarge, platform.ErrExists, platform.ErrNotFound} {
		if errors.Is(err, certain) {
			return false
		}
	}
	return verdict.Of(err) != verdict.NotRun
}

func notRun(detail string, cause error) error {
	e := verdict.New(verdict.NotRun, CodeStoreUnavailable, detail)
	e.Err = cause
	return e
}

func outcomeError(cause error, ambiguous bool) error {
	if !ambiguous {
		return notRun("the store did not accept the change", cause)
	}
	e := verdict.New(verdict.MayHaveRun, CodeOutcomeUnknown,
		"the change may have been accepted: send it again with the same ID")
	e.Err = cause
	return e
}
