package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Names of the files that WriteFiles writes.
const (
	AuthorityFile     = "ca.pem"
	certificateSuffix = ".pem"
	keySuffix         = ".key"
)

const (
	certificateMode = 0o644
	keyMode         = 0o600
)

// Files holds the paths of the PEM files of one instance.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// WriteFiles issues a certificate for an instance and writes it, its key and the
// authority's certificate as PEM files into a directory. It overwrites existing files.
func (a *Authority) WriteFiles(dir string, id fleet.InstanceID) (Files, error) {
	files := Files{
		Certificate: filepath.Join(dir, string(id)+certificateSuffix),
		Key:         filepath.Join(dir, string(id)+keySuffix),
		Authority:   filepath.Join(dir, AuthorityFile),
	}
	config, err := a.Issue(id)
	if err != nil {
		return Files{}, err
	}
	pair := config.Certificates[0]
	key, err := x509.MarshalECPrivateKey(pair.PrivateKey.(*ecdsa.PrivateKey))
	if err != nil {
		return Files{}, fmt.Errorf("encode the key of %s: %w", id, err)
	}
	if err := savePEM(files.Certificate, "CERTIFICATE", pair.Certificate[0], certificateMode); err != nil {
		return Files{}, err
	}
	if err := savePEM(files.Key, "EC PRIVATE KEY", key, keyMode); err != nil {
		return Files{}, err
	}
	return files, savePEM(files.Authority, "CERTIFICATE", a.certificate.Raw, certificateMode)
}

func savePEM(path, kind string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, text, mode); err != nil {
		return fmt.Errorf("write a PEM file: %w", err)
	}
	return nil
}
