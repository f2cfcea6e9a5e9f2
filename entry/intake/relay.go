package intake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/submission"
	"github.com/tarragonreach/tarragonreach/policy/reach"
)

// A status request that this instance can't answer, since the store fails it, is passed on to another
// instance, which may have an answer. That one identifies the caller by its own configuration, so that a removed
// API key is refused as if the caller had asked it. Only reads are passed on: a caller that repeats a
// submission learns by its own whether it was accepted.

// Peers are the other instances.
type Peers interface {
	// Ask makes a call at other instances until one gives an answer that answers accepts.
	Ask(ctx context.Context, r call.Request, answers func(call.Response) bool) (call.Response, bool)
	// Assessment returns what follows for callers from the states of the others, while the store is silent.
	Assessment() reach.Assessment
}

// assessment returns what follows for callers from the states of the other instances.
func (i *Intake) assessment() reach.Assessment {
	if i.peers == nil {
		return reach.Assessment{}
	}
	return i.peers.Assessment()
}

// CutOff reports whether this instance is cut off from the store and from the instances that it serves, so that it can
// only refuse callers.
func (i *Intake) CutOff() bool { return i.assessment().CutOff }

// SetPeers lets status requests be passed on. It must precede the first request.
func (i *Intake) SetPeers(p Peers) { i.peers = p }

// headerKeyDigest has the digest of the caller's API key in a request that was passed on. Who
// wrote an entry about a peer that doesn't exist must not learn keys.
const headerKeyDigest = "Tarragonreach-Key-Digest"

// localShare is the part of the time until the deadline after which a request is also passed on that is not answered.
const localShare = 0.3

// passOnKey marks the context of a request that is passed on.
type passOnKey struct{}

// isPassedOn reports whether the request of ctx is passed on if this instance does not answer it soon.
func isPassedOn(ctx context.Context) bool { return ctx.Value(passOnKey{}) != nil }

type relayedKey struct{}

// isRelayed reports whether another instance has passed the request on.
func isRelayed(r *http.Request) bool { return r.Context().Value(relayedKey{}) != nil }

// PeerHandler returns the handler of requests that other instances pass on. They are answered at once or not
// at all, and never passed on again.
func (i *Intake) PeerHandler() http.Handler {
	handler := i.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
			handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), relayedKey{}, true)))
		case http.MethodHead: // whether requests may be passed on
			if !i.serves(r.Context()) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

// serves reports whether this instance can answer status requests.
func (i *Intake) serves(ctx context.Context) bool {
	k := i.config.Knowledge()
	return k.Config != nil && (k.Recent || !k.Config.Tenancy) && i.store.Responds(ctx)
}

// mayRelay reports whether a request may be passed on.
func (i *Intake) mayRelay(r *http.Request) bool {
	return i.peers != nil && r.Method == http.MethodGet && !isRelayed(r)
}

// passedOn is what became of a request that was passed on.
type passedOn struct {
	answer response
	found  bool
}

// cutOffCheck is the time between two checks whether this instance is cut off while it handles a request.
const cutOffCheck = 50 * time.Millisecond

// answerOrRelay handles a request. A read that the store keeps from being answered is passed on, or that is not answered
// within localShare of its time; then the first answer counts. It is passed on at once while the store is silent and
// another instance is known to answer, and refused once this instance is cut off.
func (i *Intake) answerOrRelay(ctx context.Context, c *gin.Context, r *record) response {
	if !i.mayRelay(c.Request) {
		return i.handle(ctx, c, r)
	}
	local, cancel := context.WithCancelCause(context.WithValue(ctx, passOnKey{}, true))
	defer cancel(nil)
	request := c.Request
	result := make(chan passedOn, 1)
	passOn := func() {
		answer, found := i.relay(ctx, request)
		result <- passedOn{answer, found}
		if found {
			cancel(nil)
		}
	}
	timer := time.AfterFunc(i.localTime(r.deadline), passOn)
	watch := time.AfterFunc(cutOffCheck, func() { i.awaitCutOff(local, cancel) })
	defer watch.Stop()
	resp := i.handle(local, c, r)
	notPassedOn := timer.Stop()
	if !resp.outcome.mayDifferElsewhere() && (local.Err() == nil || resp.outcome == outcomeAnswered) {
		return resp
	}
	if notPassedOn {
		passOn()
	}
	if other := <-result; other.found {
		r.relayed = true
		return other.answer
	}
	if errors.Is(context.Cause(local), errCutOff) {
		return i.unavailableResponse(errCutOff)
	}
	return resp
}

// localTime returns after which time a request is also passed on, of which the response is due after deadline.
func (i *Intake) localTime(deadline time.Duration) time.Duration {
	if i.assessment().PassOn {
		return 0
	}
	return time.Duration(localShare * float64(deadline))
}

// awaitCutOff cancels a request with errCutOff if this instance turns out to be cut off before its context ends.
func (i *Intake) awaitCutOff(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		if i.CutOff() {
			cancel(errCutOff)
		}
		_ = backoff.Sleep(ctx, cutOffCheck) // the loop checks ctx
	}
}

// mayDifferElsewhere reports whether another instance may have an answer though this one has none.
func (o outcome) mayDifferElsewhere() bool {
	switch o {
	case outcomeNoConfig, outcomeConfigNotRecent, outcomeStoreRate, outcomeStoreRefused, outcomeStoreNoResponse,
		outcomeStoreUnavailable:
		return true
	default:
		return false
	}
}

// relay passes a request on, and returns the response of the instance that had one.
func (i *Intake) relay(ctx context.Context, r *http.Request) (response, bool) {
	answer, found := i.peers.Ask(ctx, relayedRequest(ctx, r), func(a call.Response) bool {
		_, isAnswer := relayedOutcome(a.Status)
		return isAnswer && (a.Status != http.StatusOK || json.Valid(a.Body))
	})
	if !found {
		return response{}, false
	}
	ended, _ := relayedOutcome(answer.Status)
	resp := response{status: answer.Status, reason: "answered by another instance", outcome: ended}
	if answer.Status == http.StatusOK {
		resp.body = json.RawMessage(answer.Body)
	}
	return resp, true
}

func relayedRequest(ctx context.Context, r *http.Request) call.Request {
	header := http.Header{}
	if key, err := submission.APIKey(r.Header); err == nil {
		header.Set(headerKeyDigest, cluster.DigestKey(key))
	}
	if deadline, known := ctx.Deadline(); known {
		header.Set(submission.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return call.Request{Method: http.MethodGet, Host: r.Host, Path: r.URL.EscapedPath(), Header: header}
}

// relayedOutcome returns the outcome of a request by the status of another instance's response, and
// whether that is an answer.
func relayedOutcome(status int) (ended outcome, isAnswer bool) {
	switch status {
	case http.StatusOK:
		return outcomeAnswered, true
	case http.StatusGone:
		return outcomeNotFound, true
	case http.StatusNotFound:
		return outcomeNoQueue, true
	case http.StatusUnauthorized:
		return outcomeKeyRefused, true
	default:
		return outcomeNone, false
	}
}

// authenticate returns the tenant that makes a request, and whether its key belongs to one. Its error says
// that the request has no key.
func authenticate(c *cluster.Config, r *http.Request) (tenant cluster.Tenant, found bool, err error) {
	if digest := r.Header.Get(headerKeyDigest); isRelayed(r) && digest != "" {
		tenant, found = c.AuthenticateDigest(digest)
		return tenant, found, nil
	}
	key, err := submission.APIKey(r.Header)
	if err != nil {
		return cluster.Tenant{}, false, err
	}
	tenant, found = c.Authenticate(key)
	return tenant, found, nil
}
