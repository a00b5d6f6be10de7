package role

import (
	"os"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// ErrIdentity reports settings or keys that belong to another process.
var ErrIdentity = merry.Sentinel("the settings or keys are for another process")

// reload reads the settings again and replaces the process's keys and the operators'
// tokens by those of the settings. On an error nothing changes and the process keeps
// its keys, since without keys its host and the others could not connect to each other.
func (b *base) reload() error {
	s, err := b.reread()
	if err != nil {
		return err
	}
	material, err := s.TLS.Material(os.ReadFile)
	if err != nil {
		return err
	}
	id, err := material.Identity()
	if err != nil {
		return err
	}
	// Under another name or role, peers would refuse each new connection of this
	// host, which would look like a network failure to them.
	own := credential.Identity{Name: b.identity.Name, Role: b.identity.Role}
	if id != own || s.Name != own.Name || s.Role != own.Role {
		return merry.Appendf(ErrIdentity, "%s %q", id.Role, id.Name)
	}
	operators, err := s.TokenSet()
	if err != nil {
		return err
	}
	if err := b.keys.Replace(material); err != nil {
		return err
	}
	b.operators.Replace(operators)
	return nil
}

// reread returns the current settings. Settings from standard input can't be read
// twice, so they stay as they are; the files that they name are read again.
func (b *base) reread() (setting.Settings, error) {
	if b.file == "-" {
		return b.settings, nil
	}
	text, err := os.ReadFile(b.file)
	if err != nil {
		return setting.Settings{}, err
	}
	s, findings := setting.Load(b.file, text)
	return s, findings.Err()
}
