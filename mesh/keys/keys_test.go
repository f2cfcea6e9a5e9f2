package keys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// handshake runs a TLS handshake over a pipe and returns the results of both ends.
func handshake(client, server *tls.Config) (clientState tls.ConnectionState, clientErr, serverErr error) {
	a, b := net.Pipe()
	defer a.Close()
	done := make(chan error, 1)
	go func() {
		defer b.Close()
		done <- tls.Server(b, server).Handshake()
	}()
	conn := tls.Client(a, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, _ = conn.Read(make([]byte, 1)) // in TLS 1.3, a refused client gets the error here
	}
	a.Close()
	return conn.ConnectionState(), clientErr, <-done
}

func TestPeersIdentifyEachOtherByCertificate(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	client, err := authority.Issue("entry-a")
	assert.NilError(t, err)
	server, err := authority.Issue("entry-b")
	assert.NilError(t, err)
	state, clientErr, serverErr := handshake(client, server)
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
	id, err := Identity(state)
	assert.NilError(t, err)
	assert.Equal(t, string(id), "entry-b")
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	other, err := NewAuthority()
	assert.NilError(t, err)
	own, err := authority.Issue("entry-a")
	assert.NilError(t, err)
	foreign, err := other.Issue("entry-a")
	assert.NilError(t, err)
	nameless, err := authority.Issue("")
	assert.NilError(t, err)
	noCertificate := own.Clone()
	noCertificate.Certificates = nil

	for name, peer := range map[string]*tls.Config{"untrusted": foreign, "nameless": nameless, "certificateless": noCertificate} {
		_, _, serverErr := handshake(peer, own)
		assert.Assert(t, serverErr != nil, "%s client accepted", name)
	}
	_, clientErr, _ := handshake(own, foreign)
	assert.ErrorContains(t, clientErr, "not trusted")
}

func TestLoadReadsIssuedCertificates(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	issued, err := authority.Issue("entry-a")
	assert.NilError(t, err)
	key, err := x509.MarshalECPrivateKey(issued.Certificates[0].PrivateKey.(*ecdsa.PrivateKey))
	assert.NilError(t, err)
	certificateFile := writePEM(t, "CERTIFICATE", issued.Certificates[0].Certificate[0])
	keyFile := writePEM(t, "EC PRIVATE KEY", key)
	authorityFile := writePEM(t, "CERTIFICATE", authority.certificate.Raw)

	loaded, err := Load(certificateFile, keyFile, authorityFile)
	assert.NilError(t, err)
	_, clientErr, serverErr := handshake(loaded, issued)
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)

	_, err = Load(certificateFile, keyFile, keyFile)
	assert.ErrorContains(t, err, "no certificate")
	_, err = Load(keyFile, certificateFile, authorityFile)
	assert.ErrorContains(t, err, "mesh certificate")
	_, err = Load(certificateFile, keyFile, filepath.Join(t.TempDir(), "none"))
	assert.ErrorContains(t, err, "mesh authority")
}

func writePEM(t *testing.T, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	return file
}
