// Package rpc runs net/rpc over mutual TLS 1.3. It adds the identity of the peer, timeouts of calls, reads and
// writes, limits on concurrent calls and message size, result codes of errors, and automatic reconnection.
package rpc

import (
	"crypto/x509"
	"net/url"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// identityScheme is the scheme of the URI in a certificate, greengagelock://ROLE/NAME.
const identityScheme = "greengagelock"

var knownRoles = []model.Role{model.RoleBalancer, model.RoleAgent, model.RoleController, model.RoleOperator}

// Identity is the role and the name of a peer, as stated in its certificate.
type Identity struct {
	Role model.Role
	Name string
}

// URI returns the identity in the form in which certificates contain it.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// String returns the URI as text.
func (i Identity) String() string { return i.URI().String() }

// IdentityOf returns the identity in a certificate, which the caller must have verified.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range cert.URIs {
		if uri.Scheme == identityScheme {
			found = append(found, Identity{Role: model.Role(uri.Host), Name: strings.TrimPrefix(uri.Path, "/")})
		}
	}
	if len(found) != 1 {
		return Identity{}, result.New(result.PeerUnknown, "the certificate has %d identities, expected one URI %s://ROLE/NAME", len(found), identityScheme)
	}
	id := found[0]
	if !slices.Contains(knownRoles, id.Role) || id.Name == "" || strings.Contains(id.Name, "/") {
		return Identity{}, result.New(result.PeerUnknown, "the certificate has the identity %s, expected a known role and a name", id)
	}
	return id, nil
}
