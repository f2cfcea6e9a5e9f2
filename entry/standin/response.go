package standin

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// Body returns the response body for a request: its ID repeated up to n bytes.
func Body(requestID string, n int) []byte {
	if requestID == "" {
		requestID = "-"
	}
	return []byte(strings.Repeat(requestID+" ", n/(len(requestID)+1)+1)[:n])
}

// respond sends the response to a request that has run, altered by the fault.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, conn *serverConn, fault Fault) {
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
		conn.duplicateNext.Store(true)
	}
	w.WriteHeader(http.StatusOK)
	if fault == Truncate || fault == TruncateChunked {
		s.truncate(w, body[:length/2])
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

// truncate sends the first part of a body and closes the connection.
func (s *Server) truncate(w http.ResponseWriter, head []byte) {
	_, _ = w.Write(head)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// stall blocks until the client disconnects or the server is closed, and then closes the
// connection without a response.
func (s *Server) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}
