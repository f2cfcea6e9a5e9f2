package jobctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/tasks"
)

// jobState is a job with its pages.
type jobState struct {
	name string
	// spec is nil for a job that was removed from the configuration.
	spec     *object.Job
	revision int64
	pages    map[int]*pageState
}

// pageState is one page as last read from or written to the store.
type pageState struct {
	key      string
	job      string
	number   int // from 0
	revision platform.Revision
	page     fleet.JobPage
}

// canceled reports whether the job is canceled or was removed from the configuration.
func (j *jobState) canceled() bool { return j.spec == nil || j.spec.Canceled }

// quarantined returns why the job is quarantined; empty if it is not.
func (j *jobState) quarantined() string {
	for _, p := range j.pages {
		if p.page.Quarantined != "" {
			return p.page.Quarantined
		}
	}
	return ""
}

// loadJobs merges the jobs of the configuration with the cached pages.
func (r *reconciliation) loadJobs() map[string]*jobState {
	jobs := map[string]*jobState{}
	for name, job := range r.config.Jobs {
		spec := job.Spec
		jobs[name] = &jobState{name: name, spec: &spec, revision: int64(job.Revision), pages: map[int]*pageState{}}
	}
	entries := r.Cache.Entries()
	parsed := make(map[string]*pageState, len(entries))
	for _, entry := range entries {
		p, err := r.parse(entry)
		if err != nil {
			r.Logger.Error("a job page cannot be read", "key", entry.Key, "error", err)
			continue
		}
		parsed[entry.Key] = p
		addPage(jobs, p)
	}
	r.parsed = parsed
	return jobs
}

// parse decodes a page, or returns the decoded page if its revision has not changed.
func (r *reconciliation) parse(entry platform.Entry) (*pageState, error) {
	if p, known := r.parsed[entry.Key]; known && p.revision == entry.Revision {
		return p, nil
	}
	name, number, err := parsePageKey(entry.Key)
	if err != nil {
		return nil, err
	}
	p := &pageState{key: entry.Key, job: name, number: number, revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &p.page); err != nil {
		return nil, err
	}
	return p, nil
}

func addPage(jobs map[string]*jobState, p *pageState) {
	if jobs[p.job] == nil {
		jobs[p.job] = &jobState{name: p.job, pages: map[int]*pageState{}}
	}
	jobs[p.job].pages[p.number] = p
}

func parsePageKey(key string) (string, int, error) {
	name, number, found := strings.Cut(strings.TrimPrefix(key, fleet.JobPrefix), "/")
	if !found {
		return "", 0, fmt.Errorf("job page key %q: want %sNAME/NUMBER", key, fleet.JobPrefix)
	}
	page, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, fmt.Errorf("job page key %q: %w", key, err)
	}
	return name, page, nil
}

// sortedJobs returns the jobs ordered by name, so that reconciliations are deterministic.
func (r *reconciliation) sortedJobs() []*jobState {
	var out []*jobState
	for _, name := range slices.Sorted(maps.Keys(r.jobs)) {
		out = append(out, r.jobs[name])
	}
	return out
}

func (j *jobState) sortedPages() []*pageState {
	var out []*pageState
	for _, number := range slices.Sorted(maps.Keys(j.pages)) {
		out = append(out, j.pages[number])
	}
	return out
}

// write replaces the page by next. After a conflict or a lost response the page is read
// back, and the next reconciliation decides on the stored page.
func (r *reconciliation) write(ctx context.Context, p *pageState, next fleet.JobPage) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode page %s: %w", p.key, err)
	}
	revision, err := r.put(ctx, p, value)
	if err != nil {
		r.readBack(ctx, p.key)
		return fmt.Errorf("write page %s: %w", p.key, err)
	}
	p.page, p.revision = next, revision
	r.Cache.Put(platform.Entry{Key: p.key, Value: value, Revision: revision})
	return nil
}

func (r *reconciliation) put(ctx context.Context, p *pageState, value []byte) (platform.Revision, error) {
	if p.revision == 0 {
		return r.Store.Create(ctx, p.key, value, 0)
	}
	return r.Store.Swap(ctx, p.key, value, p.revision, 0)
}

func (r *reconciliation) readBack(ctx context.Context, key string) {
	entry, err := r.Store.Get(ctx, key)
	switch {
	case err == nil:
		r.Cache.Put(entry)
	case errors.Is(err, platform.ErrNotFound):
		r.Cache.Remove(key)
	}
}

// createDelay is how long the other zones wait for a job's first zone to create its
// pages.
const createDelay = 400 * time.Millisecond

// ensurePages creates the missing pages of a job and updates the others to its
// configuration.
func (r *reconciliation) ensurePages(ctx context.Context, job *jobState) error {
	if job.canceled() || !r.mayCreatePages(job) {
		return nil
	}
	for number := range fleet.JobPages(job.spec.Tasks) {
		p, known := job.pages[number]
		if !known {
			p = &pageState{key: fleet.JobPageKey(job.name, number), job: job.name, number: number}
			if err := r.write(ctx, p, tasks.NewPage(job.revision, job.spec.Tasks, number, r.now)); err != nil {
				return err
			}
			job.pages[number] = p
			continue
		}
		if next, changed := tasks.Reconcile(p.page, job.revision, job.spec.Tasks, number, r.now); changed {
			if err := r.write(ctx, p, next); err != nil {
				return err
			}
		}
	}
	delete(r.firstSeen, job.name)
	return nil
}

// mayCreatePages reports whether this zone may create a job's pages now. One zone goes
// first, to avoid conflicting writes.
func (r *reconciliation) mayCreatePages(job *jobState) bool {
	seen, known := r.firstSeen[job.name]
	if !known {
		seen = r.now
		r.firstSeen[job.name] = seen
	}
	if r.now.Sub(seen) >= createDelay {
		return true
	}
	return tasks.Eligible(job.name, 0, true, r.Zone, r.zones, 0)
}
