// Package settings defines the settings of one entry instance: their format, their
// defaults, and the checks that report every fault before anything starts.
package settings

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Settings is the content of the settings file of one entry instance.
type Settings struct {
	Instance Instance `json:"instance"`
	Caller   Caller   `json:"caller"`
	Operator Operator `json:"operator"`
	Mesh     Mesh     `json:"mesh"`
	Platform Platform `json:"platform"`
	Gateway  Gateway  `json:"gateway"`
	Fleet    Fleet    `json:"fleet"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
	Metrics  Metrics  `json:"metrics"`
}

// Instance identifies this entry instance.
type Instance struct {
	ID   fleet.InstanceID       `json:"id"`
	Zone fleet.AvailabilityZone `json:"zone"`
}

// Caller configures the listener for callers.
type Caller struct {
	Listen            string          `json:"listen"` // host:port
	TLS               TLS             `json:"tls"`
	MaxHeaderBytes    int             `json:"maxHeaderBytes"`
	MaxBodyBytes      int64           `json:"maxBodyBytes"`
	MaxConnections    int             `json:"maxConnections"`
	ReadHeaderTimeout object.Duration `json:"readHeaderTimeout"`
	IdleTimeout       object.Duration `json:"idleTimeout"`
}

// Operator configures the listener for operators, probes and metrics scrapers.
type Operator struct {
	Listen string `json:"listen"` // host:port
	TLS    TLS    `json:"tls"`
	// TokenFile is the path of the file with the operators' bearer token. Without a
	// token and without client certificates the listener must be on loopback.
	TokenFile    string `json:"tokenFile"`
	MaxBodyBytes int64  `json:"maxBodyBytes"`
}

// Mesh configures the listener for other entry instances.
type Mesh struct {
	Listen string `json:"listen"` // host:port over UDP
	// Advertise is the host:port that peers dial; empty means Listen.
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"` // host:port of other entry instances
	TLS       TLS      `json:"tls"`
}

// TLS holds the paths of PEM files. All are empty if TLS is off.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile holds the CA certificates for peers; if it is set, peers must present a
	// certificate.
	CAFile string `json:"caFile"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform configures the access to the platform and bounds the rate of calls to it.
type Platform struct {
	URL              string          `json:"url"`
	Timeout          object.Duration `json:"timeout"` // of one call
	WritesPerSecond  float64         `json:"writesPerSecond"`
	ReadsPerSecond   float64         `json:"readsPerSecond"`
	InstanceInterval object.Duration `json:"instanceInterval"` // between reads of the instance list
}

// Gateway bounds the request path of this entry instance.
type Gateway struct {
	BufferBytes      int64           `json:"bufferBytes"`    // bodies up to this size are buffered completely
	MaxResponseBytes int64           `json:"maxAnswerBytes"` // a response with a longer body fails
	DefaultTimeout   object.Duration `json:"defaultTimeout"` // for requests without a timeout
	TicketLifetime   object.Duration `json:"ticketLifetime"` // how long a ticket may be used
	ClaimRetention   object.Duration `json:"claimRetention"` // how long a caller's own idempotency key is kept
	// ClaimsPerSecond bounds the store writes for claims by all entry instances
	// together; each instance gets an equal share.
	ClaimsPerSecond float64 `json:"claimsPerSecond"`
}

// Fleet configures the fleet controllers of this entry instance.
type Fleet struct {
	Controllers bool `json:"controllers"` // this instance may run them
}

// Shutdown bounds the stages of a graceful shutdown.
type Shutdown struct {
	// ReadinessDelay is how long the listener stays open after readiness begins to fail.
	ReadinessDelay object.Duration `json:"readinessDelay"`
	// Grace is how long work in progress may take after that.
	Grace object.Duration `json:"grace"`
}

// Log configures the log.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // json or text
}

// Metrics bounds the number of time series.
type Metrics struct {
	MaxTenants int `json:"maxTenants"`
	MaxClasses int `json:"maxClasses"`
}

// Defaults of the settings.
const (
	defaultMaxHeaderBytes    = 32 << 10
	defaultMaxBodyBytes      = 8 << 20
	defaultOperatorBodyBytes = 1 << 20
	defaultMaxConnections    = 4096
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultPlatformTimeout   = 2 * time.Second
	defaultWritesPerSecond   = 20
	defaultReadsPerSecond    = 50
	defaultInstanceInterval  = time.Second
	defaultBufferBytes       = 256 << 10
	defaultMaxResponseBytes  = 64 << 20
	defaultRequestTimeout    = 30 * time.Second
	defaultTicketLifetime    = 10 * time.Minute
	defaultClaimRetention    = 24 * time.Hour
	defaultClaimsPerSecond   = 120
	defaultReadinessDelay    = 3 * time.Second
	defaultGrace             = 30 * time.Second
	defaultMetricsTenants    = 250
	defaultMetricsClasses    = 32
	defaultCallerListen      = ":8080"
	defaultOperatorListen    = "127.0.0.1:8081"
	defaultMeshListen        = ":8082"
	defaultLogLevel          = "info"

	jsonFormat = "json"
	textFormat = "text"
)

// Default returns the default settings, used for every field that the file does not set.
func Default() Settings {
	return Settings{
		Caller: Caller{
			Listen: defaultCallerListen, MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes,
			MaxConnections:    defaultMaxConnections,
			ReadHeaderTimeout: object.Duration(defaultReadHeaderTimeout),
			IdleTimeout:       object.Duration(defaultIdleTimeout),
		},
		Operator: Operator{Listen: defaultOperatorListen, MaxBodyBytes: defaultOperatorBodyBytes},
		Mesh:     Mesh{Listen: defaultMeshListen},
		Platform: Platform{
			Timeout: object.Duration(defaultPlatformTimeout), WritesPerSecond: defaultWritesPerSecond,
			ReadsPerSecond: defaultReadsPerSecond, InstanceInterval: object.Duration(defaultInstanceInterval),
		},
		Gateway: Gateway{
			BufferBytes: defaultBufferBytes, MaxResponseBytes: defaultMaxResponseBytes,
			DefaultTimeout: object.Duration(defaultRequestTimeout), TicketLifetime: object.Duration(defaultTicketLifetime),
			ClaimRetention: object.Duration(defaultClaimRetention), ClaimsPerSecond: defaultClaimsPerSecond,
		},
		Fleet:    Fleet{Controllers: true},
		Shutdown: Shutdown{ReadinessDelay: object.Duration(defaultReadinessDelay), Grace: object.Duration(defaultGrace)},
		Log:      Log{Level: defaultLogLevel, Format: jsonFormat},
		Metrics:  Metrics{MaxTenants: defaultMetricsTenants, MaxClasses: defaultMetricsClasses},
	}
}
