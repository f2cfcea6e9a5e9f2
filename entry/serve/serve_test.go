package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/tarragonreach/tarragonreach/entry/settings"
	"gotest.tools/v3/assert"
)

func startServer(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Open(o)
	assert.NilError(t, err)
	s.Start(func(err error) { t.Error(err) })
	return s
}

func TestOpenReportsAPortInUse(t *testing.T) {
	s := startServer(t, Options{Name: "caller", Handler: http.NotFoundHandler()})
	_, err := Open(Options{Name: "operator", Listen: s.Addr()})
	assert.ErrorContains(t, err, "open the operator listener on "+s.Addr())
	assert.NilError(t, s.Shutdown(context.Background()))
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	s := startServer(t, Options{Name: "caller", Handler: http.NotFoundHandler(), MaxConnections: 1})
	first, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer first.Close()
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = first.Read(make([]byte, 1))
	assert.NilError(t, err)

	second, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	first.Close()
	assert.NilError(t, s.Shutdown(context.Background()))
}

func TestTLSConfigReportsAMissingCertificate(t *testing.T) {
	_, err := TLSConfig(settings.TLS{CertFile: "absent.pem", KeyFile: "absent.key"})
	assert.ErrorContains(t, err, "load certificate absent.pem")
}

func TestLoadCAPoolRefusesAFileWithoutCertificates(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ca.pem")
	assert.NilError(t, os.WriteFile(path, []byte("nothing"), 0o600))
	_, err := loadCAPool(path)
	assert.ErrorContains(t, err, "holds no PEM certificate")
}
