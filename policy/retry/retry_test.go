package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	good := Attempt{Number: 1, Repeatable: true, Replayable: true, Verdict: verdict.MayHaveRun,
		Code: verdict.CodeConnectionLost, TimeLeft: time.Second, RunTime: time.Millisecond}
	cases := []struct {
		name   string
		change func(*Attempt)
		want   Refusal
	}{
		{"repeatable", func(*Attempt) {}, None},
		{"second attempt", func(a *Attempt) { a.Number = 2 }, AlreadyRetried},
		{"the caller retries", func(a *Attempt) { a.CallerAttempt = 2 }, AlreadyRetried},
		{"first attempt of the caller", func(a *Attempt) { a.CallerAttempt = 1 }, None},
		{"may have run", func(a *Attempt) { a.Repeatable = false }, NotRepeatable},
		{"ran", func(a *Attempt) { a.Repeatable, a.Verdict = false, verdict.Ran }, NotRepeatable},
		{"not run", func(a *Attempt) { a.Repeatable, a.Verdict = false, verdict.NotRun }, None},
		{"streamed body", func(a *Attempt) { a.Replayable = false }, BodyConsumed},
		{"no time left", func(a *Attempt) { a.TimeLeft = time.Millisecond }, NoTimeLeft},
		{"canceled by the caller", func(a *Attempt) { a.Code = verdict.CodeCanceled }, NotWorthRetrying},
		{"response too large", func(a *Attempt) { a.Code = verdict.CodeResponseTooLarge }, NotWorthRetrying},
	}
	for _, c := range cases {
		a := good
		c.change(&a)
		assert.Equal(t, Decide(a), c.want, c.name)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := DefaultBudget()
	tokens := b.Full()
	retries := int64(0)
	const requests = 10_000
	for range requests {
		tokens = b.Earn(tokens)
		if next, ok := b.Spend(tokens); ok {
			tokens = next
			retries++
		}
	}
	assert.Assert(t, retries <= requests*int64(b.Percent)/100+b.Burst, "%d retries", retries)
}

func TestPauseIsAtMostATenthOfTheTimeLeft(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		assert.Assert(t, Pause(100*time.Millisecond, rng) <= 10*time.Millisecond)
	}
	assert.Equal(t, Pause(time.Millisecond, rng), time.Duration(0))
}
