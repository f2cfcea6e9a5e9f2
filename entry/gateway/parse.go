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

// maxIDBytes bounds the idempotency key and the request ID that a caller sends.
const maxIDBytes = 256

// parse fills the exchange from the request line and headers. It runs before any earlier
// copy of a keyed request has been looked up, so the guard provides the verdict if parse
// refuses such a request.
func (g *Gateway) parse(x *exchange, r *http.Request) *verdict.Error {
	t := g.table.Load()
	x.incoming = r.Header
	if refusal := g.parseSubmission(x); refusal != nil {
		return refusal
	}
	name, path := splitPath(r.URL.EscapedPath())
	x.service = t.services[name]
	if x.service == nil {
		return g.refuse(x, verdict.CodeUnknownService, "no service "+strconv.Quote(name)+" is configured")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	x.request.Method, x.request.Path = r.Method, path
	if refusal := g.parseClass(x, t); refusal != nil {
		return refusal
	}
	if refusal := g.parseTenant(x, t); refusal != nil {
		return refusal
	}
	x.request.Class, x.request.Repeatable = x.class.Name, x.repeatable
	timeout, refusal := g.parseTimeout(x)
	x.deadline = x.started.Add(timeout)
	return refusal
}

// parseSubmission reads the tenant, idempotency key, request ID and attempt number, so
// that the verdict of any later refusal can cover the whole submission.
func (g *Gateway) parseSubmission(x *exchange) *verdict.Error {
	x.submission.Tenant = x.incoming.Get(header.Tenant)
	x.submission.Value = x.incoming.Get(header.IdempotencyKey)
	x.request.ID = x.incoming.Get(header.RequestID)
	if len(x.submission.Value) > maxIDBytes || len(x.request.ID) > maxIDBytes {
		x.request.ID = ""
		return g.refuse(x, verdict.CodeBadRequest, "the idempotency key or the request ID is longer than "+strconv.Itoa(maxIDBytes)+" bytes")
	}
	if x.request.ID == "" {
		x.request.ID = newRequestID()
	}
	text := x.incoming.Get(header.Attempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 {
		x.callerAttempt = unknownAttempt
		return g.refuse(x, verdict.CodeBadRequest, header.Attempt+" must be a whole number from 1")
	}
	x.callerAttempt = attempt
	return nil
}

// splitPath splits /s/{service}/{path...} into the service and /{path}.
func splitPath(escaped string) (service, path string) {
	rest := strings.TrimPrefix(escaped, servicePrefix)
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// parseClass sets the class and whether the request is repeatable. Without a class, or
// with a class that does not specify it, a request is repeatable if its method is
// idempotent.
func (g *Gateway) parseClass(x *exchange, t *table) *verdict.Error {
	x.repeatable = idempotentMethod(x.request.Method)
	name := x.incoming.Get(header.Class)
	if name == "" {
		return nil
	}
	class, known := t.snapshot.Config.Classes[name]
	if !known {
		return g.refuse(x, verdict.CodeUnknownClass, "no class "+strconv.Quote(name)+" is configured")
	}
	x.class = class.Spec
	if class.Spec.Repeatable != nil {
		x.repeatable = *class.Spec.Repeatable
	}
	return nil
}

// idempotentMethod reports whether the method is idempotent by RFC 9110.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (g *Gateway) parseTenant(x *exchange, t *table) *verdict.Error {
	x.tenant = x.submission.Tenant
	if x.tenant == "" {
		return nil
	}
	tenant, known := t.snapshot.Config.Tenants[x.tenant]
	if !known {
		name := x.tenant
		x.tenant = "" // An unknown name must not become a value of a metric's tag.
		return g.refuse(x, verdict.CodeUnknownTenant, "no tenant "+strconv.Quote(name)+" is configured")
	}
	x.weight = tenant.Spec.Weight
	x.tenantLimit = tenant.Spec.MaxInFlight
	return nil
}

// unknownAttempt replaces an invalid attempt number. It is not 1, since the request may
// not be the first attempt.
const unknownAttempt = 2

func (g *Gateway) parseTimeout(x *exchange) (time.Duration, *verdict.Error) {
	settings := g.options.Settings
	timeout := time.Duration(x.class.Timeout)
	if timeout <= 0 {
		timeout = settings.DefaultTimeout
	}
	if text := x.incoming.Get(header.Timeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return 0, g.refuse(x, verdict.CodeBadRequest, header.Timeout+" must be a positive duration such as 2s")
		}
		timeout = parsed
	}
	return min(timeout, settings.MaxTimeout), nil
}

// refuse returns the refusal of a request that is invalid or names an unknown object.
func (g *Gateway) refuse(x *exchange, code verdict.Code, detail string) *verdict.Error {
	return verdict.New(g.refusalVerdict(x), code, detail)
}

// newRequestID returns 16 random bytes in hexadecimal.
func newRequestID() string {
	var id [16]byte
	binary.LittleEndian.PutUint64(id[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(id[8:], rand.Uint64())
	return hex.EncodeToString(id[:])
}
