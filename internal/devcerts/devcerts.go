// Package devcerts implements a certificate authority for tests and the demonstration. It keeps its
// private key in memory only and writes the certificates to a folder.
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

// validity is the lifetime of a certificate: enough for a demonstration, too short for a deployment.
const validity = 7 * 24 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial atomic.Int64
}

// New creates an authority with a new key and writes its certificate to the folder.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the authority")
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

// Issue issues a certificate for a role and a name, and returns its files. Issuing the same identity
// again overwrites them.
func (a *Authority) Issue(role model.Role, name string) (rpc.TLSFiles, error) {
	return a.IssueWithURIs(string(role)+"-"+name, rpc.Identity{Role: role, Name: name}.URI())
}

// IssueWithURIs issues a certificate with arbitrary URIs, for tests of certificates that peers must refuse.
func (a *Authority) IssueWithURIs(file string, uris ...*url.URL) (rpc.TLSFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "generate the key of a certificate")
	}
	template := a.template(file)
	template.URIs = uris
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "sign a certificate")
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return rpc.TLSFiles{}, errors.Wrap(err, "encode a key")
	}
	base := filepath.Join(a.dir, file)
	files := rpc.TLSFiles{Cert: base + ".pem", Key: base + ".key", CA: a.caFile()}
	if err := writePEM(files.Key, "PRIVATE KEY", encodedKey); err != nil {
		return rpc.TLSFiles{}, err
	}
	return files, writePEM(files.Cert, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(file, data, 0o600), "write %s", filepath.Base(file))
}
