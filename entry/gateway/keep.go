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
type keptAnswer struct {
	reader io.Reader
	body   []byte
}

// wholeLength returns the length of a body that was read whole already; streamed is
// true if the body is still to come.
func wholeLength(answer *backend.Response) (length int, streamed bool) {
	if answer.Body == nil || answer.Body == http.NoBody {
		return 0, false
	}
	body, whole := answer.Body.(sized)
	if !whole {
		return 0, true
	}
	return body.Len(), false
}

// keepAnswer reads a small, whole body of a submission into memory.
func (g *Gateway) keepAnswer(x *exchange, answer *backend.Response) keptAnswer {
	if answer.Body == nil {
		return keptAnswer{reader: http.NoBody}
	}
	length, streamed := wholeLength(answer)
	if x.pass == nil || streamed || length > maxKeptBytes {
		return keptAnswer{reader: answer.Body}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return keptAnswer{reader: io.MultiReader(bytes.NewReader(body), failingReader{err})}
	}
	return keptAnswer{reader: bytes.NewReader(body), body: body}
}

// failingReader returns its error from every Read.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
