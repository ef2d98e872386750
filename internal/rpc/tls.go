package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Files names the PEM files of a process.
type Files struct {
	Cert string // certificate chain of the process
	Key  string // its private key
	CA   string // authorities that sign the certificates of all peers
}

// Credentials holds the certificates of a process and reads them again when the files change.
type Credentials struct {
	files Files

	mu    sync.Mutex
	stamp [3]fileStamp
	cert  *tls.Certificate
	roots *x509.CertPool
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the files. They must be valid now; later, a change that is not valid is
// ignored until it is, because files are often replaced one after the other.
func LoadCredentials(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	stamp, err := c.stat()
	if err != nil {
		return nil, err
	}
	if err := c.read(); err != nil {
		return nil, err
	}
	c.stamp = stamp
	return c, nil
}

func (c *Credentials) stat() (stamp [3]fileStamp, err error) {
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, errors.Wrap(err, "read TLS files")
		}
		stamp[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamp, nil
}

func (c *Credentials) read() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "read the certificate")
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "read the authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("%s holds no certificate", c.files.CA)
	}
	c.cert, c.roots = &cert, roots
	return nil
}

// current returns the certificate and the authorities, read again if a file changed.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamp, err := c.stat(); err == nil && stamp != c.stamp {
		if c.read() == nil {
			c.stamp = stamp
		}
	}
	return c.cert, c.roots
}

// Identity returns the identity of this process.
func (c *Credentials) Identity() (Identity, error) {
	cert, _ := c.current()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return Identity{}, errors.Wrap(err, "parse the certificate")
	}
	return IdentityOf(leaf)
}

// ServerTLS returns the TLS configuration of a server. Peers without a valid certificate fail the
// handshake.
func (c *Credentials) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
				// Without tickets every handshake verifies the certificate against the current files.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientTLS returns the TLS configuration of a client that expects a server with the given role,
// and with the given name unless it is empty.
func (c *Credentials) ClientTLS(role model.Role, name string) *tls.Config {
	cert, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// Peers are named by the URI in the certificate and not by a host name, so verify does
		// the whole verification.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, roots, role, name)
		},
	}
}

func verify(state tls.ConnectionState, roots *x509.CertPool, role model.Role, name string) error {
	if len(state.PeerCertificates) == 0 {
		return result.New(result.PeerUnknown, "peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Wrap(err, "verify the certificate of the peer")
	}
	id, err := IdentityOf(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	if id.Role != role || (name != "" && id.Name != name) {
		return result.New(result.PeerUnknown, "peer is %s, expected role %q and name %q", id, role, name)
	}
	return nil
}
