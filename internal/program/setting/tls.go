package setting

import (
	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// Secret is a text that must not be printed.
type Secret string

// String hides the secret, so that a dump or a log line can't leak it.
func (s Secret) String() string { return "(hidden)" }

// GoString hides the secret.
func (s Secret) GoString() string { return "(hidden)" }

// MarshalText hides the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// TLS holds the process's certificate, its key and the authorities that it
// trusts, each either as PEM text or as the name of a file with PEM text.
type TLS struct {
	Certificate     string `yaml:"certificate"`
	CertificateFile string `yaml:"certificateFile"`
	Key             Secret `yaml:"key"`
	KeyFile         string `yaml:"keyFile"`
	Authorities     string `yaml:"authorities"`
	AuthoritiesFile string `yaml:"authoritiesFile"`
}

// Material returns the PEM texts, and uses read to get the contents of files.
func (t TLS) Material(read func(name string) ([]byte, error)) (credential.Material, error) {
	var m credential.Material
	parts := []struct {
		into       *[]byte
		text, file string
	}{
		{&m.Certificate, t.Certificate, t.CertificateFile},
		{&m.Key, string(t.Key), t.KeyFile},
		{&m.Authorities, t.Authorities, t.AuthoritiesFile},
	}
	for _, p := range parts {
		*p.into = []byte(p.text)
		if p.file == "" {
			continue
		}
		text, err := read(p.file)
		if err != nil {
			return credential.Material{}, merry.Prepend(err, "tls")
		}
		*p.into = text
	}
	return m, nil
}
