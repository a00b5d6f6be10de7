package credential

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

var (
	start   = time.Date(2030, 3, 4, 9, 0, 0, 0, time.UTC)
	entry   = Identity{Name: "mtl-a-entry-1", Role: host.Entry}
	sidecar = Identity{Name: "mtl-a-redaction-1", Role: host.Sidecar}
)

// clock returns a time that a test sets.
type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(start)
	require.NoError(t, err)
	return a
}

func issue(t *testing.T, a *Authority, id Identity) Material {
	t.Helper()
	m, err := a.Issue(start, id, ShortLifetime)
	require.NoError(t, err)
	return m
}

func newStore(t *testing.T, m Material) *Store {
	t.Helper()
	s, err := NewStore(m, (&clock{now: start}).time)
	require.NoError(t, err)
	return s
}

// connect returns the two ends of a TCP connection. Unlike net.Pipe it is buffered:
// without a buffer, two ends that send a TLS alert at the same time would block
// each other for ever.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	return near, far
}

// handshake connects the two configurations and returns the state of each end. A
// client learns only from its first read whether the server accepted its
// certificate, so the server sends one byte.
func handshake(t *testing.T, client, server *tls.Config) (clientState, serverState tls.ConnectionState, err error) {
	t.Helper()
	near, far := connect(t)
	c, s := tls.Client(near, client), tls.Server(far, server)
	done := make(chan error, 1)
	go func() {
		defer far.Close()
		_, err := s.Write([]byte{1})
		done <- err
	}()
	_, clientErr := c.Read(make([]byte, 1))
	near.Close()
	err = errors.Join(clientErr, <-done)
	return c.ConnectionState(), s.ConnectionState(), err
}

func assertRefused(t *testing.T, client, server *tls.Config, want error) {
	t.Helper()
	_, _, err := handshake(t, client, server)
	require.Error(t, err)
	if want != nil {
		assert.ErrorIs(t, err, want)
	}
}

func TestBothEndsAuthenticate(t *testing.T) {
	a := newAuthority(t)
	server := newStore(t, issue(t, a, sidecar))
	client := newStore(t, issue(t, a, entry))
	for _, name := range []host.Name{sidecar.Name, ""} {
		atClient, atServer, err := handshake(t, client.Client(name), server.Server())
		require.NoError(t, err)
		got, err := PeerIdentity(atClient)
		require.NoError(t, err)
		assert.Equal(t, sidecar, got)
		got, err = PeerIdentity(atServer)
		require.NoError(t, err)
		assert.Equal(t, entry, got)
	}
}

func TestWrongCertificatesAreRefused(t *testing.T) {
	a := newAuthority(t)
	server := newStore(t, issue(t, a, sidecar)).Server()
	client := newStore(t, issue(t, a, entry))
	stranger := newStore(t, issue(t, newAuthority(t), entry))

	t.Run("another host than the one dialled", func(t *testing.T) {
		assertRefused(t, client.Client("mtl-a-redaction-2"), server, ErrIdentity)
	})
	t.Run("client of another authority", func(t *testing.T) {
		cfg := stranger.Client(sidecar.Name)
		cfg.VerifyConnection = nil
		assertRefused(t, cfg, server, ErrMaterial)
	})
	t.Run("server of another authority", func(t *testing.T) {
		assertRefused(t, client.Client(entry.Name), stranger.Server(), ErrMaterial)
	})
	t.Run("client without a certificate", func(t *testing.T) {
		cfg := client.Client(sidecar.Name)
		cfg.GetClientCertificate = nil
		assertRefused(t, cfg, server, nil)
	})
	t.Run("another protocol", func(t *testing.T) {
		cfg := client.Client(sidecar.Name)
		cfg.NextProtos = []string{"h3"}
		assertRefused(t, cfg, server, nil)
	})
	t.Run("no protocol", func(t *testing.T) {
		cfg := client.Client(sidecar.Name)
		cfg.NextProtos = nil
		assertRefused(t, cfg, server, ErrIdentity)
	})
	t.Run("expired", func(t *testing.T) {
		expiryClock := &clock{now: start}
		s, err := NewStore(issue(t, a, sidecar), expiryClock.time)
		require.NoError(t, err)
		expiryClock.now = start.Add(ShortLifetime + time.Minute)
		assertRefused(t, client.Client(sidecar.Name), s.Server(), ErrMaterial)
	})
}

// The client gets no error during the whole rotation. First both ends trust the old
// and the new authority, then each gets a certificate of the new one, then both
// remove the old one. Each handshake uses the current material, so configurations
// made before the rotation stay usable.
func TestRotationWithoutRestart(t *testing.T) {
	oldAuth, newAuth := newAuthority(t), newAuthority(t)
	server, client := newStore(t, issue(t, oldAuth, sidecar)), newStore(t, issue(t, oldAuth, entry))
	serverConfig, clientConfig := server.Server(), client.Client(sidecar.Name)
	both := append(oldAuth.Certificate(), newAuth.Certificate()...)

	replace := func(s *Store, a *Authority, id Identity, trusted []byte) {
		m := issue(t, a, id)
		m.Authorities = trusted
		require.NoError(t, s.Replace(m))
		_, _, err := handshake(t, clientConfig, serverConfig)
		require.NoError(t, err)
	}
	replace(server, oldAuth, sidecar, both)
	replace(client, oldAuth, entry, both)
	replace(server, newAuth, sidecar, both)
	replace(client, newAuth, entry, both)
	replace(server, newAuth, sidecar, newAuth.Certificate())
	replace(client, newAuth, entry, newAuth.Certificate())

	notRotated := newStore(t, issue(t, oldAuth, entry))
	cfg := notRotated.Client(sidecar.Name)
	cfg.VerifyConnection = nil
	assertRefused(t, cfg, serverConfig, ErrMaterial)
}

func TestReplaceKeepsUsableMaterial(t *testing.T) {
	a := newAuthority(t)
	good := issue(t, a, entry)
	s := newStore(t, good)
	other := issue(t, newAuthority(t), entry)
	expired, err := a.Issue(start.Add(-48*time.Hour), entry, time.Hour)
	require.NoError(t, err)

	for name, m := range map[string]Material{
		"empty":             {},
		"key of another":    {Certificate: good.Certificate, Key: other.Key, Authorities: good.Authorities},
		"authority unknown": {Certificate: good.Certificate, Key: good.Key, Authorities: other.Authorities},
		"authorities empty": {Certificate: good.Certificate, Key: good.Key},
		"expired":           expired,
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, s.Replace(m), ErrMaterial)
			assert.Equal(t, entry, s.Identity())
			assert.Equal(t, start.Add(ShortLifetime), s.Expiry())
		})
	}
}

func TestAuthority(t *testing.T) {
	a := newAuthority(t)
	key, err := a.Key()
	require.NoError(t, err)

	t.Run("is read back", func(t *testing.T) {
		again, err := ParseAuthority(a.Certificate(), key)
		require.NoError(t, err)
		server, client := newStore(t, issue(t, again, sidecar)), newStore(t, issue(t, a, entry))
		_, _, err = handshake(t, client.Client(sidecar.Name), server.Server())
		assert.NoError(t, err)
	})
	t.Run("key of another", func(t *testing.T) {
		otherKey, err := newAuthority(t).Key()
		require.NoError(t, err)
		_, err = ParseAuthority(a.Certificate(), otherKey)
		assert.ErrorIs(t, err, ErrMaterial)
	})
	t.Run("issues to hosts only", func(t *testing.T) {
		for _, id := range []Identity{{}, {Name: "a"}, {Name: "a/b", Role: host.Entry}, {Name: "a", Role: "root"}} {
			_, err := a.Issue(start, id, ShortLifetime)
			assert.ErrorIs(t, err, ErrIdentity)
		}
	})
}
