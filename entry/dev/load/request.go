package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/gateway"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// timeoutSlack is how much longer than its timeout a request may take before the
// generator cancels it and counts it as faulty.
const timeoutSlack = 2 * time.Second

// result is the outcome of one request.
type result struct {
	verdict verdict.Verdict
	// succeeded is set if the verdict is "ran" and the status is below 300.
	succeeded bool
	// fault describes the broken guarantee; empty if none was broken.
	fault string
}

func (g *Generator) perform(s Stream) result {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+timeoutSlack)
	defer cancel()
	entry := g.pickEntry()
	key, err := g.key(ctx, s, entry)
	if err != nil {
		return result{fault: err.Error()}
	}
	id := rand.Text()
	res, body, err := g.exchange(ctx, s, entry, id, key)
	if err != nil {
		return result{fault: fmt.Sprintf("no complete response from %s: %v", entry, err)}
	}
	return g.verify(s, id, key, res, body)
}

// key returns the submission's idempotency key, empty if the stream uses none.
func (g *Generator) key(ctx context.Context, s Stream, entry string) (string, error) {
	switch s.Keying {
	case OwnKey:
		return "own-" + rand.Text(), nil
	case Ticketed:
		return g.ticket(ctx, s, entry)
	default:
		return "", nil
	}
}

func (g *Generator) ticket(ctx context.Context, s Stream, entry string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("request a ticket: %w", err)
	}
	req.Header.Set(header.Tenant, s.Tenant)
	res, err := g.client.Do(req)
	if err != nil {
		return "", fmt.Errorf("request a ticket: %w", err)
	}
	defer res.Body.Close()
	var ticket gateway.Ticket
	if err := json.NewDecoder(res.Body).Decode(&ticket); err != nil || ticket.Ticket == "" {
		return "", fmt.Errorf("request a ticket: status %d without a ticket", res.StatusCode)
	}
	return ticket.Ticket, nil
}

func (g *Generator) exchange(ctx context.Context, s Stream, entry, id, key string) (*http.Response, []byte, error) {
	url := "http://" + entry + "/s/" + s.Service + "/" + s.Class
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Body))
	if err != nil {
		return nil, nil, err
	}
	// Without GetBody the HTTP transport cannot replay the request by itself.
	req.GetBody = nil
	req.Header.Set(header.Tenant, s.Tenant)
	req.Header.Set(header.Class, s.Class)
	req.Header.Set(header.Timeout, s.Timeout.String())
	req.Header.Set(header.RequestID, id)
	if key != "" {
		req.Header.Set(header.IdempotencyKey, key)
	}
	res, err := g.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

// verify compares the response with the runs on the backend servers.
func (g *Generator) verify(s Stream, id, key string, res *http.Response, body []byte) result {
	v, err := verdict.Parse(res.Header.Get(header.Verdict))
	if err != nil {
		return result{fault: fmt.Sprintf("status %d: %v", res.StatusCode, err)}
	}
	r := result{verdict: v, succeeded: v == verdict.Ran && res.StatusCode < http.StatusMultipleChoices}
	runs := g.runs(id, key)
	switch {
	case v == verdict.NotRun && runs > 0:
		r.fault = fmt.Sprintf("request %s has the verdict not-run but ran %d times", id, runs)
	case !s.Repeatable && runs > 1:
		r.fault = fmt.Sprintf("request %s is not repeatable but ran %d times", id, runs)
	case r.succeeded && !bytes.Equal(body, standin.Body(id, len(body))):
		r.fault = fmt.Sprintf("request %s got the response body of another request", id)
	}
	return r
}

func (g *Generator) runs(id, key string) int {
	if key != "" {
		return g.options.RunCounter.KeyRuns(key)
	}
	return g.options.RunCounter.Runs(id)
}
