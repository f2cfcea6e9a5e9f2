// Package keys issues and loads the certificates by which entry instances authenticate each
// other. The subject's common name is the instance ID of the holder.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// Protocol is the protocol name that both ends negotiate in TLS (ALPN).
	Protocol = "tarragonreach-mesh/1"

	certificateValidity = 365 * 24 * time.Hour
	clockSkew           = time.Hour
	serialNumberBits    = 62
)

// ErrNoIdentity reports that a peer has no certificate or one without an instance ID.
var ErrNoIdentity = errors.New("peer certificate without an instance ID")

// Authority is a certificate authority in memory, for tests and trials on one machine.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the key of the mesh authority: %w", err)
	}
	template, err := newTemplate("tarragonreach mesh")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create the certificate of the mesh authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse the certificate of the mesh authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue returns the TLS configuration of one instance, with a new key and certificate.
func (a *Authority) Issue(id fleet.InstanceID) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the key of %s: %w", id, err)
	}
	template, err := newTemplate(string(id))
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("create the certificate of %s: %w", id, err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return newConfig(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots), nil
}

// Load returns the TLS configuration of an instance from the PEM files of its certificate,
// its key and the authorities that it trusts.
func Load(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("mesh certificate: %w", err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("mesh authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("mesh authority: no certificate in %s", authorityFile)
	}
	return newConfig(pair, roots), nil
}

// Identity returns the instance ID in the verified certificate of a peer.
func Identity(state tls.ConnectionState) (fleet.InstanceID, error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoIdentity
	}
	name := state.PeerCertificates[0].Subject.CommonName
	if name == "" {
		return "", ErrNoIdentity
	}
	return fleet.InstanceID(name), nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, fmt.Errorf("generate a serial number for %s: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateValidity),
	}, nil
}

func newConfig(pair tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		// The standard verification also checks the host name, but addresses are reused and
		// peers are identified by the instance ID in their certificate. VerifyConnection
		// checks the certificate chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyAgainst(roots),
	}
}

// verifyAgainst returns a function that checks the peer's certificate chain, for both sides
// of a connection.
func verifyAgainst(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrNoIdentity
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		if err != nil {
			return fmt.Errorf("peer not trusted: %w", err)
		}
		_, err = Identity(state)
		return err
	}
}
