package gateway

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// maxIDBytes bounds the names and keys that a caller sends in headers.
const maxIDBytes = 256

// parse fills the exchange from the request line and headers. Its refusals come
// before any earlier copy could be looked up, so a keyed one asks the guard.
func (g *Gateway) parse(x *exchange, r *http.Request) *verdict.Error {
	t := g.table.Load()
	x.incoming = r.Header
	name, path := splitPath(r.URL.EscapedPath())
	x.service = t.services[name]
	if x.service == nil {
		return g.parseRefusal(x, r, verdict.CodeUnknownService, "no service "+strconv.Quote(name)+" is configured")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	x.request.Method, x.request.Path = r.Method, path
	if refusal := g.parseClass(x, r, t); refusal != nil {
		return refusal
	}
	if refusal := g.parseTenant(x, r, t); refusal != nil {
		return refusal
	}
	return g.parseHeaders(x, r)
}

// splitPath cuts /s/{service}/{path...} into the service and /{path}.
func splitPath(escaped string) (service, path string) {
	rest := strings.TrimPrefix(escaped, servicePrefix)
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// parseClass takes the class; a silent class leaves repeatable to the method, and
// without a class only safe methods are repeatable beside PUT and DELETE.
func (g *Gateway) parseClass(x *exchange, r *http.Request, t *table) *verdict.Error {
	x.repeatable = idempotentMethod(r.Method)
	name := r.Header.Get(header.Class)
	if name == "" {
		return nil
	}
	class, known := t.snapshot.Config.Classes[name]
	if !known {
		return g.parseRefusal(x, r, verdict.CodeUnknownClass, "no class "+strconv.Quote(name)+" is configured")
	}
	x.class = class.Spec
	if class.Spec.Repeatable != nil {
		x.repeatable = *class.Spec.Repeatable
	}
	return nil
}

// idempotentMethod reports whether RFC 9110 calls the method idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (g *Gateway) parseTenant(x *exchange, r *http.Request, t *table) *verdict.Error {
	x.tenant = r.Header.Get(header.Tenant)
	if x.tenant == "" {
		return nil
	}
	tenant, known := t.snapshot.Config.Tenants[x.tenant]
	if !known {
		name := x.tenant
		x.tenant = "" // An unknown name must not reach the metrics.
		return g.parseRefusal(x, r, verdict.CodeUnknownTenant, "no tenant "+strconv.Quote(name)+" is configured")
	}
	x.weight = tenant.Spec.Weight
	x.cap = tenant.Spec.MaxInFlight
	return nil
}

func (g *Gateway) parseHeaders(x *exchange, r *http.Request) *verdict.Error {
	x.key = r.Header.Get(header.IdempotencyKey)
	x.request.ID = r.Header.Get(header.RequestID)
	if len(x.key) > maxIDBytes || len(x.request.ID) > maxIDBytes {
		return g.parseRefusal(x, r, verdict.CodeBadRequest, "a key or request ID is longer than "+strconv.Itoa(maxIDBytes)+" bytes")
	}
	if x.request.ID == "" {
		x.request.ID = newRequestID()
	}
	if text := r.Header.Get(header.Attempt); text != "" {
		attempt, err := strconv.Atoi(text)
		if err != nil || attempt < 1 {
			x.attempt = unknownAttempt
			return g.parseRefusal(x, r, verdict.CodeBadRequest, header.Attempt+" must be a whole number from 1")
		}
		x.attempt = attempt
	}
	timeout, refusal := g.parseTimeout(x, r)
	if refusal != nil {
		return refusal
	}
	x.deadline = x.started.Add(timeout)
	return nil
}

// unknownAttempt stands for an unreadable count: not known to be the first.
const unknownAttempt = 2

func (g *Gateway) parseTimeout(x *exchange, r *http.Request) (time.Duration, *verdict.Error) {
	settings := g.options.Settings
	timeout := time.Duration(x.class.Timeout)
	if timeout <= 0 {
		timeout = settings.DefaultTimeout
	}
	if text := r.Header.Get(header.Timeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return 0, g.parseRefusal(x, r, verdict.CodeBadRequest, header.Timeout+" must be a positive duration such as 2s")
		}
		timeout = parsed
	}
	return min(timeout, settings.MaxTimeout), nil
}

// parseRefusal refuses a request that was not understood. Where a key came with
// it, the verdict speaks for the submission.
func (g *Gateway) parseRefusal(x *exchange, r *http.Request, code verdict.Code, detail string) *verdict.Error {
	x.key = r.Header.Get(header.IdempotencyKey)
	return verdict.New(g.refusalVerdict(x), code, detail)
}

// newRequestID returns 16 random bytes in hexadecimal.
func newRequestID() string {
	var id [16]byte
	binary.LittleEndian.PutUint64(id[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(id[8:], rand.Uint64())
	return hex.EncodeToString(id[:])
}
