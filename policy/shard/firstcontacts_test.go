package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// callsInFlight is a world in which calls to some executors hang until they time out.
type callsInFlight struct {
	*harness
	polls []Poll
	most  int
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
			if answering[poll.Executor.ID] {
				c.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, c.now)
				continue
			}
			c.polls = append(c.polls, poll)
		}
		c.most = max(c.most, len(c.polls))
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
