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
	// probeTimeout bounds one readiness probe.
	probeTimeout = time.Second
	// maxProbes bounds the concurrent probes.
	maxProbes = 16
	// otherZoneFactor times the interval is the interval for executors of other
	// availability zones.
	otherZoneFactor = 4
	// maxProbeRate bounds the probes per second; the interval grows with the number of
	// executors to stay below it.
	maxProbeRate = 6
	// probeClass is the class of probes in the transport, which no caller's request has, so
	// that their times do not count as response times of callers' requests.
	probeClass = "readiness probe"
)

// prober probes the readiness of executors. If an executor responds that it is not ready,
// this counts as its notice of leaving; an executor that does not respond is left to
// outlier ejection.
type prober struct {
	gateway      *Gateway
	due          map[fleet.InstanceID]time.Time
	running      chan struct{} // semaphore of maxProbes
	baseInterval time.Duration // for executors of the own availability zone, before jitter
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, due: map[fleet.InstanceID]time.Time{}, running: make(chan struct{}, maxProbes)}
}

// tick starts the probes that are due.
func (p *prober) tick(ctx context.Context, now time.Time) {
	nextDue := make(map[fleet.InstanceID]time.Time, len(p.due))
	p.baseInterval = p.baseIntervalFor(p.gateway.table.Load().snapshot)
	for _, service := range p.gateway.table.Load().snapshot.Services {
		for _, endpoint := range service.Endpoints {
			p.probeIfDue(ctx, service, endpoint, false, now, nextDue)
		}
		for _, endpoint := range service.Noticed {
			p.probeIfDue(ctx, service, endpoint, true, now, nextDue)
		}
	}
	p.due = nextDue // Drops executors that are no longer listed.
}

// probeIfDue starts a probe if it is due and fewer than maxProbes run. It records when
// the next one is due in nextDue.
func (p *prober) probeIfDue(ctx context.Context, service *directory.Service, endpoint directory.Endpoint, noticed bool, now time.Time, nextDue map[fleet.InstanceID]time.Time) {
	due, known := p.due[endpoint.ID]
	if !known {
		due = now.Add(p.interval(endpoint)) // Spreads the first probes of many executors.
	}
	if known && !now.Before(due) && p.start(ctx, service.Spec.ReadinessPath, endpoint, noticed) {
		due = now.Add(p.interval(endpoint))
	}
	nextDue[endpoint.ID] = due
}

// baseIntervalFor returns the interval for the own availability zone's executors, before
// jitter, which shortens it by a quarter on average.
func (p *prober) baseIntervalFor(snapshot *directory.Snapshot) time.Duration {
	probes := 0.0 // per interval
	for _, service := range snapshot.Services {
		for _, e := range service.Endpoints {
			if e.Zone == p.gateway.options.Zone {
				probes++
			} else {
				probes += 1.0 / otherZoneFactor
			}
		}
	}
	const meanJitter = 0.75
	minInterval := time.Duration(probes / (maxProbeRate * meanJitter) * float64(time.Second))
	return max(p.gateway.options.Settings.ProbeInterval, minInterval)
}

// interval returns the jittered time until the executor's next probe.
func (p *prober) interval(e directory.Endpoint) time.Duration {
	interval := p.baseInterval
	if e.Zone != p.gateway.options.Zone {
		interval *= otherZoneFactor
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

// probe sends one readiness request and reports the result to the directory.
func (p *prober) probe(ctx context.Context, path string, e directory.Endpoint, noticed bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	target := backend.Target{ID: e.ID, Address: e.Address, Connections: 1, ReadinessPath: path}
	if path == "" {
		path = backend.DefaultReadinessPath
	}
	request := &backend.Request{ID: newRequestID(), Method: http.MethodGet, Path: path, Header: http.Header{}, Class: probeClass}
	request.Header.Set(header.Timeout, probeTimeout.String())
	response, err := p.gateway.options.Transport.Send(ctx, target, request)
	discard(response)
	if ready, known := readiness(response, err, noticed); known {
		p.gateway.options.Directory.NoteReadiness(e.ID, ready)
	}
}

// readiness interprets the result of a probe; known is false where it is inconclusive.
// A missing response counts as not ready only from an executor that has given notice,
// since it has then stopped.
func readiness(response *backend.Response, err error, noticed bool) (ready, known bool) {
	if err != nil {
		return false, noticed || verdict.CodeOf(err) == verdict.CodeBackendServerLeaving
	}
	switch {
	case response.Status == http.StatusServiceUnavailable:
		return false, true
	case response.Status < http.StatusMultipleChoices:
		return true, true
	default:
		return false, false
	}
}
