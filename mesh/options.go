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

// Metrics takes the counts of a Node. Its methods are called on many goroutines.
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
	// Advertise is the address that peers dial; empty means the one listened on.
	Advertise string
	// TLS comes from package keys. The certificate names ID.
	TLS *tls.Config
	// Seeds returns addresses, host:port, at which other instances may be found.
	// It is called often and must not block.
	Seeds func() []string
	// Replicas hold the documents to spread.
	Replicas []Replica
	// Logger gets a line for each change of a link; nil discards them.
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics Metrics
	// Timing holds the periods of the protocol; zero means engine.DefaultTiming.
	Timing engine.Timing
	// Random draws the jitter; nil means a new random seed.
	Random *rand.Rand
}

// Member is what a Node knows of another entry instance.
type Member struct {
	ID      fleet.InstanceID
	Zone    fleet.AvailabilityZone
	Address string // host:port
	// Reachable says that messages pass between the two instances, perhaps over others.
	Reachable bool
	// LastContact is the last heartbeat of a linked member; of another one it is
	// the last time it was found reachable.
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
