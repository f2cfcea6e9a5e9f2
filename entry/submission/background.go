package submission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingJobs bounds the jobs that are not complete; jobGoroutines run them.
	maxPendingJobs = 4096
	jobGoroutines  = 4
	// maxJobTries and jobRetryInterval apply to each job.
	maxJobTries      = 20
	jobRetryInterval = 500 * time.Millisecond
)

// job is a clean-up task. Losing one makes later verdicts less precise, but never
// lets a submission run twice.
type job struct {
	// do reports whether the job is complete.
	do    func(ctx context.Context) bool
	tries int
}

// background runs jobs and retries each a few times until it is complete.
type background struct {
	queue    chan *job
	pending  atomic.Int64 // queued, running or waiting for the next try
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	onGiveUp func() // called for each job that is given up
}

func newBackground(onGiveUp func()) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{queue: make(chan *job, maxPendingJobs), ctx: ctx, cancel: cancel, onGiveUp: onGiveUp}
	for range jobGoroutines {
		b.group.Go(b.work)
	}
	return b
}

// add queues a job, or gives it up if too many are pending.
func (b *background) add(do func(ctx context.Context) bool) {
	if b.pending.Add(1) > maxPendingJobs {
		b.giveUp()
		return
	}
	b.queue <- &job{do: do} // doesn't block: the capacity covers all pending jobs
}

func (b *background) giveUp() {
	b.pending.Add(-1)
	b.onGiveUp()
}

func (b *background) work() {
	for {
		select {
		case j := <-b.queue:
			b.run(j)
		case <-b.ctx.Done():
			return
		}
	}
}

// run tries a job once and queues it again after jobRetryInterval if it is not
// complete.
func (b *background) run(j *job) {
	j.tries++
	switch {
	case j.do(b.ctx):
		b.pending.Add(-1)
	case j.tries >= maxJobTries:
		b.giveUp()
	default:
		time.AfterFunc(jobRetryInterval, func() { b.queue <- j })
	}
}

// close stops the workers and tries each queued job once; after ctx has ended it
// gives the remaining ones up.
func (b *background) close(ctx context.Context) {
	b.cancel()
	b.group.Wait()
	for {
		select {
		case j := <-b.queue:
			if ctx.Err() != nil || !j.do(ctx) {
				b.giveUp()
			}
		default:
			return
		}
	}
}
