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

// issueCredentials issues the certificate of a process.
func (d *Deployment) issueCredentials(name host.Name, role host.Role) (*credential.Store, error) {
	id := credential.Identity{Name: name, Role: role}
	material, err := d.authority.Issue(time.Now(), id, credential.ShortLifetime)
	if err != nil {
		return nil, err
	}
	s, err := credential.NewStore(material, time.Now)
	if err != nil {
		return nil, err
	}
	d.credentialStores = append(d.credentialStores, s)
	return s, nil
}

// RotateKeys replaces the authority and all certificates while the processes
// run: first all processes trust both authorities, then they get new
// certificates, then they trust the new authority only.
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
		for _, s := range d.credentialStores {
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

// newMetricSet returns the set for the metrics of a process.
func (d *Deployment) newMetricSet() *metrics.Set {
	s := metrics.NewSet()
	d.metricSets = append(d.metricSets, s)
	return s
}

// Violations returns the counters of violated invariants that are above zero,
// as metrics lines, for all processes that the deployment started.
func (d *Deployment) Violations() []string {
	var found []string
	for _, s := range d.metricSets {
		var text bytes.Buffer
		s.WritePrometheus(&text)
		lines := bufio.NewScanner(&text)
		for lines.Scan() {
			if isViolation(lines.Text()) {
				found = append(found, lines.Text())
			}
		}
	}
	return found
}

// isViolation reports whether a metrics line counts violated invariants and is
// above zero.
func isViolation(line string) bool {
	name, value, _ := strings.Cut(line, " ")
	if !strings.HasPrefix(name, "wagtailshelf_violations_total") {
		return false
	}
	n, err := strconv.ParseFloat(value, 64)
	return err != nil || n > 0
}
