// Package settings holds the settings of one entry instance: their form, their
// defaults, and the checks that name every fault before anything starts.
package settings

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Settings is the whole settings file of one entry instance.
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

// Instance says who this entry instance is.
type Instance struct {
	ID   fleet.InstanceID       `json:"id"`
	Zone fleet.AvailabilityZone `json:"zone"`
}

// Caller is the listener for callers.
type Caller struct {
	Listen            string          `json:"listen"` // host:port
	TLS               TLS             `json:"tls"`
	MaxHeaderBytes    int             `json:"maxHeaderBytes"`
	MaxBodyBytes      int64           `json:"maxBodyBytes"`
	MaxConnections    int             `json:"maxConnections"`
	ReadHeaderTimeout object.Duration `json:"readHeaderTimeout"`
	IdleTimeout       object.Duration `json:"idleTimeout"`
}

// Operator is the listener for operators, probes and scrapers of metrics.
type Operator struct {
	Listen string `json:"listen"` // host:port
	TLS    TLS    `json:"tls"`
	// TokenFile holds the operators' bearer token. Without a token and without
	// client certificates the listener must be on loopback.
	TokenFile    string `json:"tokenFile"`
	MaxBodyBytes int64  `json:"maxBodyBytes"`
}

// Mesh is the listener for other entry instances.
type Mesh struct {
	Listen string `json:"listen"` // host:port over UDP
	// Advertise is the host:port that peers dial; empty takes Listen.
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"` // host:port of other entry instances
	TLS       TLS      `json:"tls"`
}

// TLS names PEM files. All are empty where TLS is off.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile signs the peers' certificates; where set, peers must present one.
	CAFile string `json:"caFile"`
}

// Enabled reports whether any file is named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform says how to reach the platform and how much of its rates to take.
type Platform struct {
	URL              string          `json:"url"`
	Timeout          object.Duration `json:"timeout"` // of one call
	WritesPerSecond  float64         `json:"writesPerSecond"`
	ReadsPerSecond   float64         `json:"readsPerSecond"`
	InstanceInterval object.Duration `json:"instanceInterval"` // between readings of the instance list
}

// Gateway bounds the request path of this entry instance.
type Gateway struct {
	BufferBytes      int64           `json:"bufferBytes"`    // bodies up to this size are buffered whole
	MaxResponseBytes int64           `json:"maxAnswerBytes"` // a longer answer is cut visibly
	DefaultTimeout   object.Duration `json:"defaultTimeout"` // for requests that name none
	TicketLifetime   object.Duration `json:"ticketLifetime"` // how long a ticket may be used
	ClaimRetention   object.Duration `json:"claimRetention"` // how long a caller's own key is remembered
	// ClaimsPerSecond bounds the store's writes for claims by all entry instances
	// together; each takes an equal part.
	ClaimsPerSecond float64 `json:"claimsPerSecond"`
}

// Fleet says which controllers this entry instance may run.
type Fleet struct {
	Controllers bool `json:"controllers"`
}

// Shutdown bounds the stages of a graceful shutdown.
type Shutdown struct {
	// ReadinessDelay is how long the listener stays after readiness fails.
	ReadinessDelay object.Duration `json:"readinessDelay"`
	// Grace is how long work in progress may take afterwards.
	Grace object.Duration `json:"grace"`
}

// Log says what is logged and how.
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

// Default returns the settings for every field that a file does not set.
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
