package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/operator"
)

const (
	// explainMethod is the mesh call that returns a peer's decisions on a subject.
	explainMethod = "explain"
	// explainLimit bounds the decisions that one entry instance returns.
	explainLimit = 50
)

// explainer collects decisions from this entry instance and its reachable peers.
type explainer struct {
	parts
}

var _ operator.Explainer = (*explainer)(nil)

// Explain returns the decisions about one subject, newest first. Peers that do not
// respond are left out.
func (e *explainer) Explain(ctx context.Context, kind, name string) ([]operations.Explanation, error) {
	subject := explain.Subject{Kind: explain.SubjectKind(kind), Name: name}
	payload, err := json.Marshal(subject)
	if err != nil {
		return nil, fmt.Errorf("encode the subject: %w", err)
	}
	all := e.ownDecisions(subject)
	for _, decisions := range callAll[[]operations.Explanation](ctx, e.Peers, explainMethod, payload) {
		all = append(all, decisions...)
	}
	slices.SortStableFunc(all, func(a, b operations.Explanation) int { return b.At.Compare(a.At) })
	return all, nil
}

// serve responds to a peer's explain call.
func (e *explainer) serve(_ context.Context, _ fleet.InstanceID, payload []byte) ([]byte, error) {
	var subject explain.Subject
	if err := json.Unmarshal(payload, &subject); err != nil {
		return nil, fmt.Errorf("decode the subject: %w", err)
	}
	return json.Marshal(e.ownDecisions(subject))
}

// ownDecisions returns this entry instance's decisions on a subject, newest first.
func (e *explainer) ownDecisions(subject explain.Subject) []operations.Explanation {
	out := []operations.Explanation{}
	for _, record := range e.records(subject) {
		if len(out) == explainLimit {
			break
		}
		out = append(out, explanation(e.Options.Settings.Instance.ID, record))
	}
	return out
}

func (e *explainer) records(subject explain.Subject) []explain.Record {
	if subject.Kind == explain.SubjectRequest {
		return e.Requests.About(subject)
	}
	return e.Ring.About(subject)
}

func explanation(by fleet.InstanceID, r explain.Record) operations.Explanation {
	out := operations.Explanation{
		At: r.Last, Instance: string(by), Subject: string(r.Subject.Kind) + "/" + r.Subject.Name,
		Decision: fmt.Sprintf("%s %s", r.Action, r.Outcome), Reason: string(r.Reason),
	}
	if r.Detail != "" {
		out.Reason += ": " + r.Detail
	}
	for _, input := range r.Inputs {
		out.Inputs = append(out.Inputs, input.Name+"="+input.Value)
	}
	for _, a := range r.Alternatives {
		out.Refused = append(out.Refused, fmt.Sprintf("%s: %s", a.Choice, a.Reason))
	}
	return out
}
