package credential

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// identityScheme is the scheme of the URI in a certificate that names its process:
// wagtailshelf://ROLE/NAME.
const identityScheme = "wagtailshelf"

// ErrIdentity reports a certificate that does not name a host and a role, or names
// a host or a role that is not the expected one.
var ErrIdentity = merry.Sentinel("certificate does not prove the expected host")

// Identity names the process that a certificate belongs to: its host and its role.
type Identity struct {
	Name host.Name
	Role host.Role
}

// uri returns the URI that represents the identity in a certificate.
func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + string(i.Name)}
}

// check returns an error unless the identity has a name and a known role.
func (i Identity) check() error {
	if i.Name == "" || strings.ContainsAny(string(i.Name), "/?#%") {
		return merry.Appendf(ErrIdentity, "host name %q", i.Name)
	}
	if i.Role != host.Entry && i.Role != host.Sidecar {
		return merry.Appendf(ErrIdentity, "role %q", i.Role)
	}
	return nil
}

// PeerIdentity returns the identity of the other end of a verified connection, from
// its certificate.
func PeerIdentity(cs tls.ConnectionState) (Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return Identity{}, merry.Append(ErrIdentity, "no certificate")
	}
	return certificateIdentity(cs.PeerCertificates[0])
}

// certificateIdentity reads the identity from a certificate's URIs.
// A certificate with two identities is valid for neither.
func certificateIdentity(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		if u.Scheme != identityScheme {
			continue
		}
		found = append(found, Identity{
			Name: host.Name(strings.TrimPrefix(u.Path, "/")),
			Role: host.Role(u.Host),
		})
	}
	if len(found) != 1 {
		return Identity{}, merry.Appendf(ErrIdentity, "certificate has %d identities, want 1", len(found))
	}
	return found[0], found[0].check()
}
