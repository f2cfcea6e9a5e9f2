package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// callsInFlight is a world in which calls to some executors hang until they time out.
type callsInFlight struct {
	*harness
	polls []Poll
	most  int
	// long holds the executors whose responses are lost unless they may be long.
	long     map[cluster.ExecutorID]bool
	mostLong int // polls in flight whose response may be long
}

// hangTime is how long a call hangs to which no one responds.
const hangTime = 600 * time.Millisecond

// run polls for a while. The executors of answering respond at once.
func (c *callsInFlight) run(d time.Duration, answering map[cluster.ExecutorID]bool) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(20 * time.Millisecond) {
		for len(c.polls) > 0 && !c.now.Before(c.polls[0].SentAt.Add(hangTime)) {
			c.shard.HandlePollResult(c.polls[0], Ambiguous, execution.PollResponse{}, c.now)
			c.polls = c.polls[1:]
		}
		c.shard.Tick(c.now)
		for _, poll := range c.shard.Polls(c.now) {
			if c.long[poll.Executor.ID] && !poll.Request.LongResponse {
				c.shard.HandlePollResult(poll, Ambiguous, execution.PollResponse{}, c.now)
				continue
			}
			if answering[poll.Executor.ID] {
				c.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, c.now)
				continue
			}
			c.polls = append(c.polls, poll)
		}
		c.most = max(c.most, len(c.polls))
		long := 0
		for _, poll := range c.polls {
			if poll.Request.LongResponse {
				long++
			}
		}
		c.mostLong = max(c.mostLong, long)
	}
}

// Two thousand entries of another writer name executors to which calls hang. The polls of all of them at
// once would take the descriptors of the process (4,100); those of sound ones must come in time all the
// same, and none of them may starve that responds only later.
func TestExecutorsThatNeverRespondStarveNoOthers(t *testing.T) {
	t.Parallel()
	const odd = 2000
	c := &callsInFlight{harness: newHarness(t)}
	var list []cluster.Executor
	for i := range odd {
		list = append(list, newExecutorNamed(fmt.Sprintf("m-%04d", i)))
	}
	answering := map[cluster.ExecutorID]bool{}
	for _, id := range []string{"a-sound", "m-1000-sound", "z-sound"} {
		list = append(list, newExecutorNamed(id))
		answering[cluster.ExecutorID(id)] = true
	}
	c.shard.SetExecutors(list, c.now)
	c.run(3*time.Second, answering)
	for id := range answering {
		assert.Equal(t, c.shard.executors[id].unusableReason(c.now), UnusableReason(""), string(id))
	}
	c.run(time.Minute, answering)
	assert.Assert(t, c.most <= 600, "%d polls in flight", c.most)

	answering["m-1999"] = true
	list = append(list, newExecutorNamed("zz-new"))
	answering["zz-new"] = true
	c.shard.SetExecutors(list, c.now)
	c.run(time.Second, answering)
	assert.Equal(t, c.shard.executors["zz-new"].unusableReason(c.now), UnusableReason(""))
	c.run(30*time.Second, answering)
	assert.Equal(t, c.shard.executors["m-1999"].unusableReason(c.now), UnusableReason(""))
}

// The first response of an executor to a new owner may be long, with runs that the owner knows or not: it
// must be read, since all later ones are as long, and also among entries that many calls hang for.
func TestLongFirstResponsesAreLostForEver(t *testing.T) {
	t.Parallel()
	for odd, within := range map[int]time.Duration{0: time.Second, 128: time.Minute} {
		c := &callsInFlight{harness: newHarness(t), long: map[cluster.ExecutorID]bool{"known": true, "unknown": true}}
		list := []cluster.Executor{newExecutorNamed("known"), newExecutorNamed("unknown")}
		for i := range odd {
			list = append(list, newExecutorNamed(fmt.Sprintf("m-%04d", i)))
		}
		c.shard.SetExecutors(list, c.now)
		c.shard.AddJob(Record{ID: preparedJob, Accepted: c.now, Definition: job.Definition{Steps: []job.Step{oneTask}}},
			&Progress{Tasks: []TaskProgress{{Run: 1, Executor: "known", Address: "known:80"}}}, c.now)
		c.run(20*time.Millisecond, c.long)
		assert.Assert(t, c.shard.executors["known"].polled)
		c.run(within, c.long)
		assert.Assert(t, c.shard.executors["unknown"].polled, "%d odd entries", odd)
		assert.Assert(t, c.mostLong <= maxLongContacts, "%d", c.mostLong)
		for _, id := range []cluster.ExecutorID{"known", "unknown"} {
			assert.Equal(t, c.shard.executors[id].failedCalls, 0, string(id))
		}
	}
}
