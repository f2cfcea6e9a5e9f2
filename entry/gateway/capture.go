package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/tarragonreach/tarragonreach/entry/backend"
)

// sized is a body that is already in memory.
type sized interface{ Len() int }

// capturedBody is the reader of a response's body, and its bytes where they are recorded
// with the outcome of a submission.
type capturedBody struct {
	reader io.Reader
	body   []byte
}

// bufferedLength returns the length in bytes of a body that is already in memory;
// streaming is true if the body is still to be read from the executor.
func bufferedLength(response *backend.Response) (length int, streaming bool) {
	if response.Body == nil || response.Body == http.NoBody {
		return 0, false
	}
	body, buffered := response.Body.(sized)
	if !buffered {
		return 0, true
	}
	return body.Len(), false
}

// captureBody reads the body of a response to a submission if it is in memory and at most
// maxCapturedBytes long. Any other body is returned unread.
func (g *Gateway) captureBody(x *exchange, response *backend.Response) capturedBody {
	if response.Body == nil {
		return capturedBody{reader: http.NoBody}
	}
	length, streaming := bufferedLength(response)
	if x.permit == nil || streaming || length > maxCapturedBytes {
		return capturedBody{reader: response.Body}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return capturedBody{reader: io.MultiReader(bytes.NewReader(body), failingReader{err})}
	}
	return capturedBody{reader: bytes.NewReader(body), body: body}
}

// failingReader returns its error from every Read.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
