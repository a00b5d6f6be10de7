package role

import (
	"os"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// ErrIdentity reports settings or keys that are for another process.
var ErrIdentity = merry.Sentinel("the settings or keys are for another process")

// reload reads the settings again and takes over the keys and the operators of
// them. Whatever is wrong, nothing changes: the process goes on with what it
// has, since without keys its host would be lost to the others.
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
	// Peers that know this host under its name would refuse each new
	// connection, which looks like a network failure to them.
	own := credential.Identity{Name: b.identity.Name, Role: b.identity.Role}
	if id != own || s.Name != own.Name || s.Role != own.Role {
		return merry.Appendf(ErrIdentity, "%s %q", id.Role, id.Name)
	}
	ring, err := s.Ring()
	if err != nil {
		return err
	}
	if err := b.keys.Replace(material); err != nil {
		return err
	}
	b.ring.Replace(ring)
	return nil
}

// reread returns the settings as they are now. Those from standard input can't
// be read twice; the files that they name can.
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
