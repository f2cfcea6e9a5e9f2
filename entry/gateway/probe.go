package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
)

const (
	// defaultReadinessPath is probed where the service names no path.
	defaultReadinessPath = "/readyz"
	// probeTimeout bounds one readiness probe.
	probeTimeout = time.Second
	// maxProbes bounds the probes that run at once.
	maxProbes = 16
	// foreignFactor is how many times rarer executors of other availability zones
	// are probed.
	foreignFactor = 4
)

// prober asks executors for their readiness. An executor that answers that it is
// not ready has given notice; one that does not answer is left to ejection.
type prober struct {
	gateway *Gateway
	due     map[fleet.InstanceID]time.Time
	running chan struct{}
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, due: map[fleet.InstanceID]time.Time{}, running: make(chan struct{}, maxProbes)}
}

// tick starts the probes that are due.
func (p *prober) tick(ctx context.Context, now time.Time) {
	seen := make(map[fleet.InstanceID]time.Time, len(p.due))
	for _, service := range p.gateway.table.Load().snapshot.Services {
		for _, endpoint := range service.Endpoints {
			p.consider(ctx, service, endpoint, false, now, seen)
		}
		for _, endpoint := range service.Noticed {
			p.consider(ctx, service, endpoint, true, now, seen)
		}
	}
	p.due = seen // Forgets executors that are gone.
}

// consider starts a probe if it is due and one more may run.
func (p *prober) consider(ctx context.Context, s *directory.Service, e directory.Endpoint, noticed bool, now time.Time, seen map[fleet.InstanceID]time.Time) {
	due, known := p.due[e.ID]
	if !known {
		due = now.Add(p.interval(e)) // The first probes spread out.
	}
	if known && !now.Before(due) && p.start(ctx, s.Spec.ReadinessPath, e, noticed) {
		due = now.Add(p.interval(e))
	}
	seen[e.ID] = due
}

// interval returns the jittered time until the executor's next probe.
func (p *prober) interval(e directory.Endpoint) time.Duration {
	interval := p.gateway.options.Settings.ProbeInterval
	if e.Zone != p.gateway.options.Zone {
		interval *= foreignFactor
	}
	return interval/2 + time.Duration(p.gateway.rng.Int64N(int64(interval/2)+1))
}

func (p *prober) start(ctx context.Context, path string, e directory.Endpoint, noticed bool) bool {
	select {
	case p.running <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-p.running }()
		p.probe(ctx, path, e, noticed)
	}()
	return true
}

// probe asks once and passes on a notice, which it thereby prolongs, or its end.
func (p *prober) probe(ctx context.Context, path string, e directory.Endpoint, noticed bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if path == "" {
		path = defaultReadinessPath
	}
	request := &backend.Request{ID: newRequestID(), Method: http.MethodGet, Path: path, Header: http.Header{}}
	request.Header.Set(header.Timeout, probeTimeout.String())
	target := backend.Target{ID: e.ID, Address: e.Address, Connections: 1}
	answer, err := p.gateway.options.Transport.Send(ctx, target, request)
	discard(answer)
	leaving, known := readiness(answer, err)
	if known && (leaving || noticed) {
		p.gateway.options.Directory.SetNotice(e.ID, leaving)
	}
}

// readiness reads a probe's answer. An answer without meaning leaves known false.
func readiness(answer *backend.Answer, err error) (leaving, known bool) {
	if err != nil {
		return true, verdict.CodeOf(err) == verdict.CodeBackendServerLeaving
	}
	switch {
	case answer.Status == http.StatusServiceUnavailable:
		return true, true
	case answer.Status < http.StatusMultipleChoices:
		return false, true
	default:
		return false, false
	}
}
