package peers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/policy/reach"
)

// While the store is silent, an instance asks others in the background whether they can answer callers. So it knows
// before a request comes whether it can pass that on, or is cut off and must refuse it at once.

const (
	// silenceCheck is the time between two checks whether the store is silent.
	silenceCheck = 50 * time.Millisecond
	// surveyInterval is the time between the beginnings of two rounds. In each, up to maxAttempts peers are asked at the
	// same time.
	surveyInterval = 1 * time.Second
	// refusingInterval and silentInterval are the times between two surveys of a peer that can't answer callers, or does
	// not respond.
	refusingInterval = 2 * time.Second
	silentInterval   = 8 * time.Second
	// surveyTimeout bounds a round. It is longer than attemptTimeout: that a slow peer counts as silent has consequences
	// for all callers.
	surveyTimeout = 500 * time.Millisecond
)

// surveyRequest asks a peer whether it can answer callers.
var surveyRequest = call.Request{Method: http.MethodHead, Path: "/"}

func serves(r call.Response) bool { return r.Status == http.StatusOK }

// Assessment returns what follows for callers from the states of the other instances. It is empty unless the store is
// silent and the others have been surveyed.
func (p *Peers) Assessment() reach.Assessment {
	if !p.store.Silent() {
		return reach.Assessment{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assessment
}

// assess updates the assessment by the states of the peers, and logs changes. The caller holds p.mu.
func (p *Peers) assess() {
	if !p.surveyed {
		return
	}
	known := make([]reach.Peer, 0, len(p.peers))
	for _, other := range p.peers {
		known = append(known, reach.Peer{SameZone: other.Zone == p.self.Zone, State: other.state})
	}
	now := reach.Assess(known)
	if now == p.assessment {
		return
	}
	p.assessment = now
	p.logger.Info("other instances while the store is silent", "pass_on", now.PassOn, "cut_off", now.CutOff, "retry_at_once", now.RetryAtOnce)
}

// runSurvey surveys the peers while the store is silent, until ctx ends.
func (p *Peers) runSurvey(ctx context.Context) {
	for backoff.Sleep(ctx, silenceCheck) == nil {
		if p.store.Silent() {
			p.surveySilence(ctx)
			_ = backoff.Sleep(ctx, surveyInterval) // the loop checks ctx
		}
	}
}

// surveySilence surveys the peers until the store is not silent any more, or ctx ends. What was known of them before may
// be outdated.
func (p *Peers) surveySilence(ctx context.Context) {
	p.forget()
	defer p.endSurvey()
	for ctx.Err() == nil && p.store.Silent() {
		began := time.Now()
		p.round(ctx)
		p.noteSurvey()
		for p.store.Silent() && time.Since(began) < surveyInterval && backoff.Sleep(ctx, silenceCheck) == nil {
		}
	}
}

// forget discards what is known of the peers' ability to answer.
func (p *Peers) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil, p.inVain = time.Time{}, 0
	for _, other := range p.peers {
		other.state, other.surveyAt = reach.Unknown, time.Time{}
		other.failures, other.retryAt = 0, time.Time{}
	}
}

func (p *Peers) endSurvey() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveyed, p.assessment = false, reach.Assessment{}
}

// round asks some of the peers.
func (p *Peers) round(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	asked := p.choose(func(other *peer) bool { return !now.Before(other.surveyAt) })
	p.mu.Unlock()
	var calls sync.WaitGroup
	for _, other := range asked {
		calls.Go(func() {
			_, result := p.attempt(ctx, other, surveyRequest, surveyTimeout, serves)
			if ctx.Err() == nil {
				p.noteState(other, result, time.Now())
			}
		})
	}
	calls.Wait()
}

// noteState records the response of a peer to a survey.
func (p *Peers) noteState(other *peer, result outcome, now time.Time) {
	p.note(other, result, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch result {
	case answered:
		other.state, other.surveyAt = reach.Serving, now
	case refused:
		other.state, other.surveyAt = reach.Refusing, now.Add(refusingInterval)
	default:
		other.state, other.surveyAt = reach.Silent, now.Add(silentInterval)
	}
}

// noteSurvey records that a round has ended.
func (p *Peers) noteSurvey() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveyed = true
	p.assess()
}
