package duty

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// Times of a duty's lease and term.
const (
	// TTL is the time to live of the lease.
	TTL = 15 * time.Second
	// windowLength is how long after the last renewal the holder may act. The rest of the
	// TTL allows for clock drift.
	windowLength = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 4 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// pollInterval is the mean time between two reads of a duty that another instance holds.
	pollInterval = 5 * time.Second
)

// Options configure a Lessee.
type Options struct {
	Self fleet.InstanceID
	Zone fleet.AvailabilityZone
	// Candidate reports whether this entry instance should try to acquire duties; nil
	// means always. Few candidates cause few reads of the store.
	Candidate func() bool
	// Logger receives acquired and released duties; nil discards them.
	Logger *slog.Logger
}

// Lessee holds duties for one entry instance. It is safe for concurrent use.
type Lessee struct {
	store   platform.Store
	options Options
	logger  *slog.Logger

	mu   sync.Mutex
	held map[string]Term
}

// New returns a lessee that holds no duty.
func New(store platform.Store, options Options) *Lessee {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Candidate == nil {
		options.Candidate = func() bool { return true }
	}
	return &Lessee{store: store, options: options, logger: options.Logger, held: map[string]Term{}}
}

// Run tries to acquire the duty until ctx ends, and calls act for each term. The context of
// act ends with the term; act must then return soon. If act returns earlier, the term is
// given up.
func (l *Lessee) Run(ctx context.Context, name string, act func(context.Context, Term)) {
	random := backoff.NewRandom()
	failures := 0
	for ctx.Err() == nil {
		lease, err := l.acquire(ctx, name)
		switch {
		case err == nil:
			failures = 0
			l.serve(ctx, lease, act)
		case errors.Is(err, errHeld), errors.Is(err, errNoCandidate):
			failures = 0
		default:
			failures++
		}
		_ = backoff.Sleep(ctx, pause(failures, random))
	}
}

// pause returns the time until the next attempt.
func pause(failures int, random *rand.Rand) time.Duration {
	if failures > 0 {
		return backoff.Policy{Base: backoff.Default.Base, Cap: pollInterval}.Delay(failures, random)
	}
	return pollInterval/2 + time.Duration(random.Int64N(int64(pollInterval)))
}

// Held returns the terms that are valid at now, in no particular order.
func (l *Lessee) Held(now time.Time) []Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Term
	for _, term := range l.held {
		if term.Valid(now) {
			out = append(out, term)
		}
	}
	return out
}

func (l *Lessee) setHeld(term Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[term.Name] = term
}

func (l *Lessee) dropHeld(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, name)
}
