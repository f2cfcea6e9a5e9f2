package standin

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// Body returns the body of the answer to a request: its ID over and over, n bytes long.
func Body(requestID string, n int) []byte {
	if requestID == "" {
		requestID = "-"
	}
	return []byte(strings.Repeat(requestID+" ", n/(len(requestID)+1)+1)[:n])
}

// answer answers a request that has run.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, conn *serverConn, fault Fault) {
	id := r.Header.Get(header.RequestID)
	switch fault {
	case Stall:
		s.stall(r)
	case CloseAfterRun:
		panic(http.ErrAbortHandler)
	case Late:
		s.wait(r.Context(), s.settings.Delay)
	case MismatchedEcho:
		id = "other-" + id
	}
	length := s.settings.ResponseBytes
	if fault == Oversize {
		length = s.settings.OversizeBytes
	}
	body := Body(id, length)
	if id != "" {
		w.Header().Set(header.RequestID, id)
	}
	if fault != TruncateChunked && fault != Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	if fault == Duplicate {
		conn.duplicate.Store(true)
	}
	w.WriteHeader(http.StatusOK)
	if fault == Truncate || fault == TruncateChunked {
		s.cut(w, body[:length/2])
	}
	if fault == Chunked {
		_ = http.NewResponseController(w).Flush()
	}
	if fault == PauseInBody {
		n, _ := w.Write(body[:length/2])
		_ = http.NewResponseController(w).Flush()
		s.wait(r.Context(), s.settings.Delay)
		body = body[n:]
	}
	_, _ = w.Write(body)
}

// cut sends the first part of a body and breaks the connection.
func (s *Server) cut(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// stall holds the request until the client or the server goes away.
func (s *Server) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}
