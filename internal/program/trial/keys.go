package trial

import (
	"bufio"
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// keys issues the certificate of a process.
func (d *Deployment) keys(name host.Name, role host.Role) (*credential.Store, error) {
	id := credential.Identity{Name: name, Role: role}
	material, err := d.authority.Issue(time.Now(), id, credential.ShortLifetime)
	if err != nil {
		return nil, err
	}
	s, err := credential.NewStore(material, time.Now)
	if err != nil {
		return nil, err
	}
	d.stores = append(d.stores, s)
	return s, nil
}

// RotateKeys replaces the authority and all certificates while the processes
// run: all trust both authorities, then get new certificates, then trust the
// new authority only.
func (d *Deployment) RotateKeys() error {
	next, err := credential.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	both := slices.Concat(d.authority.Certificate(), next.Certificate())
	steps := []struct {
		issuer  *credential.Authority
		trusted []byte
	}{
		{d.authority, both},
		{next, both},
		{next, next.Certificate()},
	}
	for _, step := range steps {
		for _, s := range d.stores {
			if err := reissue(s, step.issuer, step.trusted); err != nil {
				return err
			}
		}
	}
	d.authority = next
	return nil
}

func reissue(s *credential.Store, issuer *credential.Authority, trusted []byte) error {
	m, err := issuer.Issue(time.Now(), s.Identity(), credential.ShortLifetime)
	if err != nil {
		return err
	}
	m.Authorities = trusted
	return s.Replace(m)
}

// newSet returns the metrics of a process.
func (d *Deployment) newSet() *metrics.Set {
	s := metrics.NewSet()
	d.sets = append(d.sets, s)
	return s
}

// Violations returns the counters of violated invariants of all processes that
// ran, as metrics lines.
func (d *Deployment) Violations() []string {
	var found []string
	for _, s := range d.sets {
		var text bytes.Buffer
		s.WritePrometheus(&text)
		lines := bufio.NewScanner(&text)
		for lines.Scan() {
			if violated(lines.Text()) {
				found = append(found, lines.Text())
			}
		}
	}
	return found
}

func violated(line string) bool {
	name, value, _ := strings.Cut(line, " ")
	if !strings.HasPrefix(name, "wagtailshelf_violations_total") {
		return false
	}
	n, err := strconv.ParseFloat(value, 64)
	return err != nil || n > 0
}
