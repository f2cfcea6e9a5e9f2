package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Ticket is the response body of POST /v1/tickets.
type Ticket struct {
	Ticket string `json:"ticket"`
}

// serveTicket mints a ticket for the tenant of the request.
func (g *Gateway) serveTicket(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		g.refuseTicket(w, verdict.CodeBadRequest, "tickets are issued by POST only")
		return
	}
	if g.options.Guard == nil {
		g.refuseTicket(w, verdict.CodeClaimUnavailable, "this entry instance issues no tickets")
		return
	}
	tenant := r.Header.Get(header.Tenant)
	if !g.knownTenant(tenant) {
		g.refuseTicket(w, verdict.CodeUnknownTenant, "no tenant "+strconv.Quote(tenant)+" is configured")
		return
	}
	body, _ := json.Marshal(Ticket{Ticket: g.options.Guard.NextTicket(tenant)}) // A string always marshals.
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(header.Verdict, verdict.Ran.String())
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body) // The caller may have disconnected.
}

func (g *Gateway) refuseTicket(w http.ResponseWriter, code verdict.Code, detail string) {
	g.metrics.recordCode(code)
	writeProblem(w, verdict.New(verdict.NotRun, code, detail), "")
}

// knownTenant reports whether the tenant is configured. An empty tenant is always known.
func (g *Gateway) knownTenant(tenant string) bool {
	if tenant == "" {
		return true
	}
	config := g.table.Load().snapshot.Config
	if config == nil {
		return false
	}
	_, known := config.Tenants[tenant]
	return known
}
