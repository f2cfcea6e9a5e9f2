// Package keys makes and loads the certificates by which entry instances know
// each other. The subject's common name is the instance ID of the holder.
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
	// Protocol is the protocol name that both ends negotiate over TLS.
	Protocol = "tarragonreach-mesh/1"

	certificateValidity = 365 * 24 * time.Hour
	clockSkew           = time.Hour
	serialNumberBits    = 62 // bits
)

// ErrNoIdentity says that a peer's certificate names no instance.
var ErrNoIdentity = errors.New("certificate names no instance")

// Authority signs certificates in memory, for tests and for trials on one machine.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("key of the authority: %w", err)
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
		return nil, fmt.Errorf("certificate of the authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certificate of the authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue returns the TLS settings of one instance.
func (a *Authority) Issue(id fleet.InstanceID) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("key of %s: %w", id, err)
	}
	template, err := newTemplate(string(id))
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", id, err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return newConfig(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots), nil
}

// Load reads an instance's certificate and key and the authorities that it
// trusts from PEM files.
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

// Identity returns the instance ID that a peer has proved.
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
		return nil, fmt.Errorf("serial number for %s: %w", name, err)
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
		// Peers are known by the instance ID of their certificate, not by a host
		// name: addresses are reused. VerifyConnection checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyAgainst(roots),
	}
}

// verifyAgainst returns a check of the peer's chain on both sides of a connection.
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
