// Package devcerts is a certificate authority for tests and the demonstration. It keeps its key
// in memory and writes certificates to a folder.
package devcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// validity is long enough for a demonstration and too short for a deployment.
const validity = 7 * 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial atomic.Int64
}

// New returns a new authority that writes to a folder.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the key of the authority")
	}
	a := &Authority{dir: dir, key: key}
	template := a.template("greengagelock development authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the certificate of the authority")
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "parse the certificate of the authority")
	}
	return a, writePEM(a.caFile(), "CERTIFICATE", der)
}

func (a *Authority) caFile() string { return filepath.Join(a.dir, "ca.pem") }

func (a *Authority) template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial.Add(1)),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

// Issue writes a certificate for a role and a name, and returns its files. Issuing the same
// identity again replaces the files.
func (a *Authority) Issue(role model.Role, name string) (rpc.TLSFiles, error) {
	return a.IssueURI(string(role)+"-"+name, rpc.Identity{Role: role, Name: name}.URI())
}

// IssueURI writes a certificate with any URI, for tests of what peers refuse.
func (a *Authority) IssueURI(file string, uris ...*url.URL) (rpc.TLSFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "make a key")
	}
	template := a.template(file)
	template.URIs = uris
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "sign a certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "encode a key")
	}
	base := filepath.Join(a.dir, file)
	files := rpc.TLSFiles{Cert: base + ".pem", Key: base + ".key", CA: a.caFile()}
	if err := writePEM(files.Key, "PRIVATE KEY", secret); err != nil {
		return rpc.TLSFiles{}, err
	}
	return files, writePEM(files.Cert, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(file, data, 0o600), "write %s", filepath.Base(file))
}
