package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strconv"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/strictjson"
)

const maxPort = 65535

// checker reports faults of decoded settings at their position in the text.
type checker struct {
	doc *strictjson.Document
}

func check(s *Settings, doc *strictjson.Document) {
	c := checker{doc}
	c.instance(s.Instance)
	c.listeners(s)
	c.platform(s.Platform)
	c.limits(s)
	c.log(s.Log)
}

func (c checker) instance(i Instance) {
	c.required("/instance/id", string(i.ID), "the instance's name, unique in the fleet")
	c.required("/instance/zone", string(i.Zone), "the availability zone's name")
}

func (c checker) listeners(s *Settings) {
	c.address("/caller/listen", s.Caller.Listen)
	c.address("/operator/listen", s.Operator.Listen)
	c.address("/mesh/listen", s.Mesh.Listen)
	c.advertise(s.Mesh)
	for i, seed := range s.Mesh.Seeds {
		c.address("/mesh/seeds/"+strconv.Itoa(i), seed)
	}
	c.tls("/caller/tls", s.Caller.TLS)
	c.tls("/operator/tls", s.Operator.TLS)
	c.meshTLS(s.Mesh.TLS)
	c.operatorAccess(s.Operator)
}

// advertise requires mesh.advertise if mesh.listen has no host that peers could dial.
func (c checker) advertise(m Mesh) {
	if m.Advertise != "" {
		c.address("/mesh/advertise", m.Advertise)
		return
	}
	host, _, err := net.SplitHostPort(m.Listen)
	if err == nil && (host == "" || net.ParseIP(host).IsUnspecified()) {
		c.doc.Report("/mesh/advertise", "is missing: want the host:port that peers dial, since mesh.listen is not a specific address")
	}
}

// operatorAccess requires authentication for an operator listener beyond loopback.
func (c checker) operatorAccess(o Operator) {
	if o.TokenFile != "" {
		c.file("/operator/tokenFile", o.TokenFile)
		return
	}
	if o.TLS.CAFile != "" || isLoopback(o.Listen) {
		return
	}
	c.doc.Report("/operator/listen", "a listener beyond loopback needs operator.tokenFile or operator.tls.caFile")
}

func (c checker) meshTLS(t TLS) {
	if t.CertFile == "" || t.KeyFile == "" || t.CAFile == "" {
		c.doc.Report("/mesh/tls", "the mesh always uses mutual TLS: set certFile, keyFile and caFile")
	}
	c.files("/mesh/tls", t)
}

func (c checker) tls(path string, t TLS) {
	if !t.Enabled() {
		return
	}
	if t.CertFile == "" || t.KeyFile == "" {
		c.doc.Report(path, "TLS needs both certFile and keyFile")
	}
	c.files(path, t)
}

func (c checker) files(path string, t TLS) {
	c.file(path+"/certFile", t.CertFile)
	c.file(path+"/keyFile", t.KeyFile)
	c.file(path+"/caFile", t.CAFile)
}

func (c checker) file(path, name string) {
	if name == "" {
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.doc.Report(path, fmt.Sprintf("cannot read the file: %v", err))
		return
	}
	f.Close()
}

func (c checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.doc.Report("/platform/url", fmt.Sprintf("%q: want a URL such as https://platform.internal:2380", p.URL))
	}
	c.positive("/platform/timeout", p.Timeout)
	c.positive("/platform/instanceInterval", p.InstanceInterval)
	c.positiveNumber("/platform/writesPerSecond", p.WritesPerSecond)
	c.positiveNumber("/platform/readsPerSecond", p.ReadsPerSecond)
}

func (c checker) limits(s *Settings) {
	c.positiveNumber("/caller/maxHeaderBytes", float64(s.Caller.MaxHeaderBytes))
	c.positiveNumber("/caller/maxBodyBytes", float64(s.Caller.MaxBodyBytes))
	c.positiveNumber("/caller/maxConnections", float64(s.Caller.MaxConnections))
	c.positive("/caller/readHeaderTimeout", s.Caller.ReadHeaderTimeout)
	c.positive("/caller/idleTimeout", s.Caller.IdleTimeout)
	c.positiveNumber("/operator/maxBodyBytes", float64(s.Operator.MaxBodyBytes))
	c.positiveNumber("/gateway/bufferBytes", float64(s.Gateway.BufferBytes))
	c.positiveNumber("/gateway/maxAnswerBytes", float64(s.Gateway.MaxResponseBytes))
	c.positive("/gateway/defaultTimeout", s.Gateway.DefaultTimeout)
	c.positive("/gateway/ticketLifetime", s.Gateway.TicketLifetime)
	c.positive("/gateway/claimRetention", s.Gateway.ClaimRetention)
	c.positiveNumber("/gateway/claimsPerSecond", s.Gateway.ClaimsPerSecond)
	c.positive("/shutdown/readinessDelay", s.Shutdown.ReadinessDelay)
	c.positive("/shutdown/grace", s.Shutdown.Grace)
	c.positiveNumber("/metrics/maxTenants", float64(s.Metrics.MaxTenants))
	c.positiveNumber("/metrics/maxClasses", float64(s.Metrics.MaxClasses))
}

func (c checker) log(l Log) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		c.doc.Report("/log/level", fmt.Sprintf("%q: want debug, info, warn or error", l.Level))
	}
	if l.Format != jsonFormat && l.Format != textFormat {
		c.doc.Report("/log/format", fmt.Sprintf("%q: want json or text", l.Format))
	}
}

func (c checker) required(path, value, what string) {
	if value == "" {
		c.doc.Report(path, "is missing: want "+what)
	}
}

func (c checker) address(path, address string) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		c.doc.Report(path, fmt.Sprintf("%q: want host:port", address))
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		c.doc.Report(path, fmt.Sprintf("port %q: want a number from 0 to %d", port, maxPort))
	}
}

func (c checker) positive(path string, d object.Duration) {
	if d <= 0 {
		c.doc.Report(path, "want a duration above zero")
	}
}

func (c checker) positiveNumber(path string, n float64) {
	if n <= 0 {
		c.doc.Report(path, "want a number above zero")
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	return host == "localhost" || net.ParseIP(host).IsLoopback()
}
