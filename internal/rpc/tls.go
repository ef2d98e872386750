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

// TLSFiles contains the paths of the PEM files of a process.
type TLSFiles struct {
	Cert string // certificate chain of the process
	Key  string // private key of the process
	CA   string // certificates of the authorities that sign the certificates of all peers
}

// Credentials are the certificate of a process and the trusted authorities. They are reloaded when the files
// change.
type Credentials struct {
	files TLSFiles

	mu     sync.Mutex
	stamps [3]fileStamp
	cert   *tls.Certificate
	roots  *x509.CertPool
}

// fileStamp is the modification time and size of a file. A change of either triggers a reload.
type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the files, which must be valid. If the files are invalid after a later change, the
// previous credentials stay in use until the files are valid again, because files are often replaced one
// after the other.
func LoadCredentials(files TLSFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	stamp, err := c.statFiles()
	if err != nil {
		return nil, err
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.stamps = stamp
	return c, nil
}

func (c *Credentials) statFiles() (stamp [3]fileStamp, err error) {
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, errors.Wrap(err, "read TLS files")
		}
		stamp[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamp, nil
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "read the certificate and its key")
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "read the certificates of the authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("%s contains no certificate", c.files.CA)
	}
	c.cert, c.roots = &cert, roots
	return nil
}

// current returns the certificate and the authorities. It reloads them if a file has changed.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamp, err := c.statFiles(); err == nil && stamp != c.stamps {
		if c.load() == nil {
			c.stamps = stamp
		}
	}
	return c.cert, c.roots
}

// Identity returns the identity in the certificate of this process.
func (c *Credentials) Identity() (Identity, error) {
	cert, _ := c.current()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return Identity{}, errors.Wrap(err, "parse the certificate")
	}
	return IdentityOf(leaf)
}

// ServerTLS returns the TLS configuration of a server. The handshake fails for peers without a valid
// certificate.
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
				// Session tickets are off so that every handshake verifies the peer's certificate
				// with the current authorities.
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
		// The URI in the certificate identifies a peer, not a host name. InsecureSkipVerify only turns
		// off the standard verification; verifyPeer verifies the certificate chain and the URI.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, roots, role, name)
		},
	}
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool, role model.Role, name string) error {
	if len(state.PeerCertificates) == 0 {
		return result.New(result.PeerUnknown, "the peer has no certificate")
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
		return result.New(result.PeerUnknown, "the peer is %s, expected role %q and name %q", id, role, name)
	}
	return nil
}
