// Package rpc carries net/rpc over mutual TLS 1.3. It adds what net/rpc lacks: the identity of the
// peer, a deadline on every call, read and write, and bounds on concurrency and message size.
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

var roles = []model.Role{model.RoleBalancer, model.RoleAgent, model.RoleController, model.RoleOperator}

// Identity is who a peer is, from its certificate.
type Identity struct {
	Role model.Role
	Name string
}

// URI returns the identity as it stands in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// String returns the identity as text.
func (i Identity) String() string { return i.URI().String() }

// IdentityOf returns the identity in a certificate that has been verified.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range cert.URIs {
		if uri.Scheme == identityScheme {
			found = append(found, Identity{Role: model.Role(uri.Host), Name: strings.TrimPrefix(uri.Path, "/")})
		}
	}
	if len(found) != 1 {
		return Identity{}, result.New(result.PeerUnknown, "certificate has %d identities, expected one URI %s://ROLE/NAME", len(found), identityScheme)
	}
	id := found[0]
	if !slices.Contains(roles, id.Role) || id.Name == "" || strings.Contains(id.Name, "/") {
		return Identity{}, result.New(result.PeerUnknown, "certificate has the identity %s, expected a known role and a name", id)
	}
	return id, nil
}
