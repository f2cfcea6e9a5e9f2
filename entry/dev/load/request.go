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

// slack is how much longer than its timeout a request may take before the load
// gives up on the entry instance.
const slack = 2 * time.Second

// result is how one request ended.
type result struct {
	verdict verdict.Verdict
	// answered says that a backend server's whole answer came back.
	answered bool
	// fault says what broke a guarantee; empty where all held.
	fault string
}

func (l *Generator) ask(s Stream) result {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+slack)
	defer cancel()
	entry := l.entry()
	key, err := l.key(ctx, s, entry)
	if err != nil {
		return result{fault: err.Error()}
	}
	id := rand.Text()
	res, body, err := l.exchange(ctx, s, entry, id, key)
	if err != nil {
		return result{fault: fmt.Sprintf("no answer from %s: %v", entry, err)}
	}
	return l.judge(s, id, key, res, body)
}

// key returns the submission's key, empty where the stream has none.
func (l *Generator) key(ctx context.Context, s Stream, entry string) (string, error) {
	switch s.Keying {
	case OwnKey:
		return "own-" + rand.Text(), nil
	case Ticketed:
		return l.ticket(ctx, s, entry)
	default:
		return "", nil
	}
}

func (l *Generator) ticket(ctx context.Context, s Stream, entry string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("ask for a ticket: %w", err)
	}
	req.Header.Set(header.Tenant, s.Tenant)
	res, err := l.client.Do(req)
	if err != nil {
		return "", fmt.Errorf("ask for a ticket: %w", err)
	}
	defer res.Body.Close()
	var ticket gateway.Ticket
	if err := json.NewDecoder(res.Body).Decode(&ticket); err != nil || ticket.Ticket == "" {
		return "", fmt.Errorf("ask for a ticket: status %d without a ticket", res.StatusCode)
	}
	return ticket.Ticket, nil
}

func (l *Generator) exchange(ctx context.Context, s Stream, entry, id, key string) (*http.Response, []byte, error) {
	url := "http://" + entry + "/s/" + s.Service + "/" + s.Class
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Body))
	if err != nil {
		return nil, nil, err
	}
	// Without GetBody the client's own transport cannot replay the request.
	req.GetBody = nil
	req.Header.Set(header.Tenant, s.Tenant)
	req.Header.Set(header.Class, s.Class)
	req.Header.Set(header.Timeout, s.Timeout.String())
	req.Header.Set(header.RequestID, id)
	if key != "" {
		req.Header.Set(header.IdempotencyKey, key)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

// judge compares the answer with what the backend servers ran.
func (l *Generator) judge(s Stream, id, key string, res *http.Response, body []byte) result {
	v, err := verdict.Parse(res.Header.Get(header.Verdict))
	if err != nil {
		return result{fault: fmt.Sprintf("status %d: %v", res.StatusCode, err)}
	}
	r := result{verdict: v, answered: v == verdict.Ran && res.StatusCode < http.StatusMultipleChoices}
	runs := l.runs(id, key)
	switch {
	case v == verdict.NotRun && runs > 0:
		r.fault = fmt.Sprintf("%s answered not-run and ran %d times", id, runs)
	case !s.Repeatable && runs > 1:
		r.fault = fmt.Sprintf("%s is not repeatable and ran %d times", id, runs)
	case r.answered && !bytes.Equal(body, standin.Body(id, len(body))):
		r.fault = fmt.Sprintf("%s got an answer that is not its own", id)
	}
	return r
}

func (l *Generator) runs(id, key string) int {
	if key != "" {
		return l.options.RunCounter.KeyRuns(key)
	}
	return l.options.RunCounter.Runs(id)
}
