// Package key implements the commands that create keys: the certificate authority of a
// deployment, the certificates of its hosts, and operators' tokens.
//
// The authority's private key stays with whoever issues certificates; no process of
// the system needs it.
package key

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// Names of the files that the commands write.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	certificateFile  = "certificate.pem"
	keyFile          = "key.pem"
	authoritiesFile  = "authorities.pem"
)

const (
	defaultLifetime = 30 * 24 * time.Hour
	secretMode      = 0o600
	publicMode      = 0o644
	directoryMode   = 0o700
)

// Commands returns the command "keys" and its subcommands.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "keys",
		Usage: "make the keys of hosts and operators",
		Commands: []*cli.Command{
			{
				Name:      "issue",
				Usage:     "issue certificates for hosts, and make the authority if there is none yet",
				ArgsUsage: "HOST...",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Value: "keys", Usage: "`DIRECTORY` with the authority; each host gets one below it"},
					&cli.StringFlag{Name: "role", Value: string(host.Entry), Usage: "`ROLE` of the hosts, entry or sidecar"},
					&cli.DurationFlag{Name: "lifetime", Value: defaultLifetime, Usage: "`DURATION` for which the certificates hold"},
				},
				Action: issue,
			},
			{
				Name:   "token",
				Usage:  "make a token for an operator or a workspace, and the digest that settings and documents hold",
				Action: token,
			},
		},
	}}
}

func token(_ context.Context, cmd *cli.Command) error {
	t := credential.NewToken()
	_, err := fmt.Fprintf(cmd.Root().Writer, "token:  %s\ndigest: %s\n", t, credential.DigestOf(t))
	return err
}

func issue(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return merry.New("name one or several hosts")
	}
	now := time.Now()
	dir := cmd.String("dir")
	authority, err := openAuthority(dir, now)
	if err != nil {
		return err
	}
	for _, name := range cmd.Args().Slice() {
		id := credential.Identity{Name: host.Name(name), Role: host.Role(cmd.String("role"))}
		m, err := authority.Issue(now, id, cmd.Duration("lifetime"))
		if err != nil {
			return err
		}
		if err := write(filepath.Join(dir, name), m); err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: %s, until %s\n",
			filepath.Join(dir, name), id.Role, now.Add(cmd.Duration("lifetime")).UTC().Format(time.RFC3339))
	}
	return nil
}

// openAuthority reads the authority in a directory, or creates one there if there is none.
func openAuthority(dir string, now time.Time) (*credential.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return makeAuthority(dir, now)
	}
	if err != nil {
		return nil, err
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, err
	}
	return credential.ParseAuthority(certificate, key)
}

func makeAuthority(dir string, now time.Time) (*credential.Authority, error) {
	authority, err := credential.NewAuthority(now)
	if err != nil {
		return nil, err
	}
	key, err := authority.Key()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, err
	}
	if err := writeNew(filepath.Join(dir, authorityKeyFile), key, secretMode); err != nil {
		return nil, err
	}
	return authority, writeNew(filepath.Join(dir, authorityFile), authority.Certificate(), publicMode)
}

// write writes a host's keys and certificates. Each file is replaced atomically, so that
// a process that reads its keys at that moment doesn't read a partial file.
func write(dir string, m credential.Material) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	files := []struct {
		name string
		text []byte
		mode fs.FileMode
	}{
		{keyFile, m.Key, secretMode},
		{certificateFile, m.Certificate, publicMode},
		{authoritiesFile, m.Authorities, publicMode},
	}
	for _, f := range files {
		path := filepath.Join(dir, f.name)
		if err := os.WriteFile(path+".new", f.text, f.mode); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

// writeNew writes a file that must not exist yet: if a second authority replaced the
// first, all hosts with certificates of the first would be refused.
func writeNew(path string, text []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
