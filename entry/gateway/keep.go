package gateway

import (
	"bytes"
	"io"

	"github.com/tarragonreach/tarragonreach/entry/backend"
)

// keptAnswer is an answer's body, and its bytes where a submission keeps them.
type keptAnswer struct {
	reader io.Reader
	body   []byte
}

// keepAnswer reads a small, whole body of a submission into memory.
func (g *Gateway) keepAnswer(x *exchange, answer *backend.Answer, whole sized) keptAnswer {
	if answer.Body == nil {
		return keptAnswer{reader: bytes.NewReader(nil)}
	}
	if x.pass == nil || whole == nil || whole.Len() > maxKeptBytes {
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
