package credential

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Protocol is the application protocol (ALPN) that both ends of a connection have to
// offer in the TLS handshake.
const Protocol = "wagtailshelf/1"

// ErrMaterial reports a certificate, key or list of authorities that is unusable.
var ErrMaterial = merry.Sentinel("unusable TLS material")

// Material is the TLS material of a process: its certificate, its key and the
// authorities that it trusts, each as PEM text.
type Material struct {
	Certificate []byte // the process's own certificate, followed by any intermediate ones
	Key         []byte
	Authorities []byte // one or several; during a rotation, the old and the new
}

// material is a parsed [Material].
type material struct {
	certificate tls.Certificate
	identity    Identity
	authorities *x509.CertPool
}

// Store holds the TLS material in use. It is safe for concurrent use.
type Store struct {
	now     func() time.Time
	current atomic.Pointer[material]
}

// NewStore returns a store with the material m. Certificates are verified at the time
// that now returns.
func NewStore(m Material, now func() time.Time) (*Store, error) {
	s := &Store{now: now}
	if err := s.Replace(m); err != nil {
		return nil, err
	}
	return s, nil
}

// Replace replaces the material in use by m. If m is unusable, the store keeps its
// material and returns an error that wraps [ErrMaterial].
func (s *Store) Replace(m Material) error {
	next, err := parseMaterial(m)
	if err != nil {
		return err
	}
	// With an expired certificate, or one of another authority, each later handshake
	// would fail at the other end, where the cause is hard to see. So the new
	// certificate is verified here with its own authorities.
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	if err := next.verify(next.chain(), usage, s.now()); err != nil {
		return merry.Prependf(err, "own certificate")
	}
	s.current.Store(next)
	return nil
}

// Identity returns the identity in the certificate in use.
func (s *Store) Identity() Identity {
	return s.current.Load().identity
}

// Expiry returns the time at which the certificate in use expires.
func (s *Store) Expiry() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

// Server returns the TLS configuration of the accepting end. It always uses the
// current material, so it stays valid when the material is replaced.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.handshakeConfig(), nil
		},
		// GetCertificate is never called, since GetConfigForClient comes first. It
		// is set for libraries that check that a configuration is complete.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// handshakeConfig returns the accepting end's configuration for one handshake.
func (s *Store) handshakeConfig() *tls.Config {
	current := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{current.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session presents the certificate of its first handshake, so a
		// host could go on using a replaced certificate. Besides, early data of a
		// resumed handshake can be replayed.
		SessionTicketsDisabled: true,
		Time:                   s.now,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// Client returns the TLS configuration of the connecting end for a connection to the
// process on the named host. With an empty name it accepts any process of the
// deployment; [PeerIdentity] then returns which one it is.
func (s *Store) Client(name host.Name) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ServerName: string(name),
		Time:       s.now,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// crypto/tls would compare the dialled address with the names in the
		// certificate, and would use the authorities from the time at which this
		// configuration was made. VerifyConnection does the whole verification
		// instead: chain, usage, dates, host and role.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageServerAuth, name)
		},
	}
}

// verifyPeer checks the other end's certificate chain and identity.
func (s *Store) verifyPeer(cs tls.ConnectionState, usage x509.ExtKeyUsage, want host.Name) error {
	if cs.NegotiatedProtocol != Protocol {
		return merry.Appendf(ErrIdentity, "protocol %q, want %q", cs.NegotiatedProtocol, Protocol)
	}
	current := s.current.Load()
	if err := current.verify(cs.PeerCertificates, []x509.ExtKeyUsage{usage}, s.now()); err != nil {
		return err
	}
	id, err := certificateIdentity(cs.PeerCertificates[0])
	if err != nil {
		return err
	}
	if want != "" && id.Name != want {
		return merry.Appendf(ErrIdentity, "certificate is for host %q, want %q", id.Name, want)
	}
	return nil
}

// parseMaterial parses m and checks that the key matches the certificate and that
// the certificate has an identity.
func parseMaterial(m Material) (*material, error) {
	cert, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return nil, merry.Appendf(ErrMaterial, "certificate and key: %v", err)
	}
	id, err := certificateIdentity(cert.Leaf)
	if err != nil {
		return nil, merry.Appendf(ErrMaterial, "certificate: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authorities) {
		return nil, merry.Append(ErrMaterial, "authorities: no certificate found")
	}
	return &material{certificate: cert, identity: id, authorities: pool}, nil
}

// chain returns the process's own certificate and its intermediate ones.
func (s *material) chain() []*x509.Certificate {
	chain := []*x509.Certificate{s.certificate.Leaf}
	for _, der := range s.certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

// verify checks a certificate chain, the leaf first, with the authorities.
func (s *material) verify(chain []*x509.Certificate, usage []x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return merry.Append(ErrIdentity, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         s.authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     usage,
	})
	if err != nil {
		return merry.Appendf(ErrMaterial, "verify certificate: %v", err)
	}
	return nil
}

// Identity returns the identity in the certificate, if the key matches it and there
// are authorities. It doesn't check whether the certificate is valid at present.
func (m Material) Identity() (Identity, error) {
	parsed, err := parseMaterial(m)
	if err != nil {
		return Identity{}, err
	}
	return parsed.identity, nil
}
