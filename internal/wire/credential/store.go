package credential

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Protocol is the application protocol that both ends of a connection must
// name in the TLS handshake.
const Protocol = "wagtailshelf/1"

// ErrMaterial reports a certificate, key or list of authorities that cannot be used.
var ErrMaterial = merry.Sentinel("unusable TLS material")

// Material is a certificate with its key and the authorities that it trusts,
// each as PEM text.
type Material struct {
	Certificate []byte // the process's own certificate, then any intermediate ones
	Key         []byte
	Authorities []byte // one or several; during a rotation, the old and the new
}

// state is one parsed [Material].
type state struct {
	certificate tls.Certificate
	identity    Identity
	authorities *x509.CertPool
}

// Store holds the TLS material in use. It is safe for concurrent use.
type Store struct {
	now     func() time.Time
	current atomic.Pointer[state]
}

// NewStore returns a store that holds m. The function now tells the time at
// which certificates are verified.
func NewStore(m Material, now func() time.Time) (*Store, error) {
	s := &Store{now: now}
	if err := s.Replace(m); err != nil {
		return nil, err
	}
	return s, nil
}

// Replace puts m in the place of the material in use. If m is unusable the
// store keeps what it has and returns an error that wraps [ErrMaterial].
func (s *Store) Replace(m Material) error {
	next, err := parse(m)
	if err != nil {
		return err
	}
	// An expired or foreign certificate would make each later handshake fail
	// at the other end, where the cause is hard to see. Proving the new one
	// against its own authorities keeps such a rotation from taking effect.
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	if err := next.verify(next.chain(), usage, s.now()); err != nil {
		return merry.Prependf(err, "own certificate")
	}
	s.current.Store(next)
	return nil
}

// Identity returns what the certificate in use proves.
func (s *Store) Identity() Identity {
	return s.current.Load().identity
}

// Expiry returns the time at which the certificate in use ends.
func (s *Store) Expiry() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

// Server returns the configuration of the accepting end. It stays valid when
// the material is replaced.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(), nil
		},
		// Never reached, since GetConfigForClient answers first; it makes the
		// configuration complete for libraries that check it.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// serverNow returns the accepting end's configuration for one handshake.
func (s *Store) serverNow() *tls.Config {
	cur := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{cur.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session shows the certificate of its first handshake, so
		// that a host would go on proving itself with a replaced one, and data
		// sent ahead of a resumed handshake can be replayed.
		SessionTicketsDisabled: true,
		Time:                   s.now,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// Client returns the configuration of the connecting end for the process on
// the named host. With an empty name any process of the deployment is
// accepted; the caller then learns which one from [PeerIdentity].
func (s *Store) Client(name host.Name) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ServerName: string(name),
		Time:       s.now,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The library would compare the address dialled with the names in the
		// certificate, and would keep the authorities of the moment at which
		// the configuration was made. VerifyConnection does the whole
		// verification in its place: chain, usage, dates, host and role.
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
	cur := s.current.Load()
	if err := cur.verify(cs.PeerCertificates, []x509.ExtKeyUsage{usage}, s.now()); err != nil {
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

// parse reads m and checks that the key fits the certificate and that the
// certificate has an identity.
func parse(m Material) (*state, error) {
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
	return &state{certificate: cert, identity: id, authorities: pool}, nil
}

// chain returns the process's own certificates.
func (s *state) chain() []*x509.Certificate {
	chain := []*x509.Certificate{s.certificate.Leaf}
	for _, der := range s.certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

// verify checks a chain, the leaf first, against the authorities.
func (s *state) verify(chain []*x509.Certificate, usage []x509.ExtKeyUsage, now time.Time) error {
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

// Identity returns what the certificate proves, if the key fits it and there
// are authorities. It does not look at dates.
func (m Material) Identity() (Identity, error) {
	s, err := parse(m)
	if err != nil {
		return Identity{}, err
	}
	return s.identity, nil
}
