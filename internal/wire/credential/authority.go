package credential

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
)

// Lifetimes of certificates.
const (
	AuthorityLifetime = 2 * 365 * 24 * time.Hour // an authority's own certificate
	ShortLifetime     = 24 * time.Hour           // a host's certificate, in tests and the trial run
)

// backdate is how long before its issue a certificate becomes valid, for hosts whose
// clocks are behind.
const backdate = 5 * time.Minute

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Authority issues the certificates of one deployment.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority returns an authority with a new key, valid from now on for
// [AuthorityLifetime].
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "authority key")
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "wagtailshelf authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := sign(template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}
	return &Authority{certificate: cert, key: key}, nil
}

// ParseAuthority returns the authority with the given certificate and key in PEM.
func ParseAuthority(certificate, key []byte) (*Authority, error) {
	certDER, err := decodeBlock(certificate, certificateBlock)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, merry.Appendf(ErrMaterial, "authority certificate: %v", err)
	}
	keyDER, err := decodeBlock(key, keyBlock)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, merry.Appendf(ErrMaterial, "authority key: %v", err)
	}
	signer, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, merry.Append(ErrMaterial, "authority key: not an ECDSA key")
	}
	if !signer.PublicKey.Equal(cert.PublicKey) {
		return nil, merry.Append(ErrMaterial, "authority key does not match its certificate")
	}
	return &Authority{certificate: cert, key: signer}, nil
}

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: a.certificate.Raw})
}

// Key returns the authority's private key in PEM.
func (a *Authority) Key() ([]byte, error) {
	return encodeKey(a.key)
}

// Issue returns a new key with a certificate for id, valid from now on for the
// lifetime. The authority is the only one that the material trusts.
func (a *Authority) Issue(now time.Time, id Identity, lifetime time.Duration) (Material, error) {
	if err := id.check(); err != nil {
		return Material{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, merry.Prepend(err, "host key")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(id.Name)},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{id.uri()},
	}
	der, err := sign(template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Material{}, err
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return Material{}, err
	}
	return Material{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         keyPEM,
		Authorities: a.Certificate(),
	}, nil
}

// sign completes the template with a random serial number and signs it.
func sign(template, parent *x509.Certificate, pub crypto.PublicKey, key crypto.Signer) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, merry.Prepend(err, "serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, pub, key)
	if err != nil {
		return nil, merry.Prepend(err, "sign certificate")
	}
	return der, nil
}

// encodeKey returns a private key in PEM.
func encodeKey(key crypto.Signer) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, merry.Prepend(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

// decodeBlock returns the contents of the first PEM block, which must be of type kind.
func decodeBlock(text []byte, kind string) ([]byte, error) {
	b, _ := pem.Decode(text)
	if b == nil || b.Type != kind {
		return nil, merry.Appendf(ErrMaterial, "no PEM block of type %s", kind)
	}
	return b.Bytes, nil
}
