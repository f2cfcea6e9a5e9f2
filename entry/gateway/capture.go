package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/tarragonreach/tarragonreach/entry/backend"
)

// sized is a body that has been read whole already.
type sized interface{ Len() int }

// keptAnswer is an answer's body, and its bytes where a submission keeps them.
type capturedBody struct {
	reader io.Reader
	body   []byte
}

// wholeLength returns the length of a body that was read whole already; streamed is
// true if the body is still to come.
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

// keepAnswer reads a small, whole body of a submission into memory.
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
