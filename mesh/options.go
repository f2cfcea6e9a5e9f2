package mesh

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
)

// Metrics receives the counts of a Node. Its methods are called concurrently.
type Metrics interface {
	// MessageSent counts one message of a kind and its bytes before encryption.
	MessageSent(kind string, bytes int)
	// MessageReceived counts one message of a kind and its bytes after decryption.
	MessageReceived(kind string, bytes int)
	// MessageRefused counts one message or connection that was dropped, by reason.
	MessageRefused(reason string)
	// LinksOpen reports the number of open connections.
	LinksOpen(n int)
}

// Options configures a Node.
type Options struct {
	ID   fleet.InstanceID
	Zone fleet.AvailabilityZone
	// Listen is the UDP address to listen on, host:port.
	Listen string
	// Advertise is the address that peers dial, host:port; empty means the one listened on.
	Advertise string
	// TLS is made by package keys. The common name of its certificate is ID.
	TLS *tls.Config
	// Seeds returns addresses, host:port, at which other instances may be found.
	// It is called often and must not block.
	Seeds func() []string
	// Replicas hold the documents to distribute.
	Replicas []Replica
	// Logger gets a line for each change of a connection; nil discards them.
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics Metrics
	// Timing holds the periods of the protocol; zero means engine.DefaultTiming.
	Timing engine.Timing
	// Random is the source of the jitter; nil means one with a random seed.
	Random *rand.Rand
}

// Member is a Node's view of another entry instance.
type Member struct {
	ID      fleet.InstanceID
	Zone    fleet.AvailabilityZone
	Address string // host:port
	// Reachable says that a path of links leads to the instance, perhaps through others.
	Reachable bool
	// LastContact is the time of the last heartbeat of a linked member. For another member it
	// is the last time at which it was reachable, or the time at which it became known if it
	// never was.
	LastContact time.Time
	// Summary is the load summary of a linked member, nil for others.
	Summary []byte
}

func (o *Options) setDefaults() error {
	if o.ID == "" || o.Zone == "" || o.Listen == "" || o.TLS == nil {
		return errors.New("mesh: ID, Zone, Listen and TLS are required")
	}
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Timing == (engine.Timing{}) {
		o.Timing = engine.DefaultTiming()
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return nil
}

type noMetrics struct{}

func (noMetrics) MessageSent(string, int)     {}
func (noMetrics) MessageReceived(string, int) {}
func (noMetrics) MessageRefused(string)       {}
func (noMetrics) LinksOpen(int)               {}
