// Package serve opens listeners and runs HTTP servers with limits and TLS.
package serve

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// TLSConfig loads the PEM files of t. It returns nil if TLS is off. If a CA file is set,
// peers must present a certificate signed by one of its CAs.
func TLSConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", t.CertFile, t.KeyFile, err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if t.CAFile == "" {
		return config, nil
	}
	pool, err := loadCAPool(t.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs, config.RootCAs = pool, pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func loadCAPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s holds no PEM certificate", path)
	}
	return pool, nil
}
