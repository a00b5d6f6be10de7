package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

const (
	entryPrefix object.Key   = "entries/"
	causeEntry  object.Cause = "entries"

	// maxEntries bounds the entries that are known. It is ten times the number of
	// processes that an installation is expected to have in two years.
	maxEntries = 4096

	// registerPause is the time between two attempts to register. The platform may be
	// out for minutes; meanwhile entries only undercount those that share their targets.
	registerPause = time.Second
)

// entryRecord is the object with which an entry registers itself for the others. It is
// written once for each host, since a restart changes nothing in it.
type entryRecord struct {
	Name       host.Name       `json:"name"`
	DataCentre host.DataCentre `json:"dataCentre"`
}

// followEntries registers this entry and learns which others there are. The entries
// share the targets among them; an entry that some do not know of only makes the load
// less balanced.
func (e *Entry) followEntries(ctx context.Context) error {
	registered := make(chan error, 1)
	go func() { registered <- e.register(ctx) }()
	follower := watch.New(watch.Config{Prefix: entryPrefix, Cause: causeEntry, Limit: maxEntries}, e.newRand())
	e.cfg.Platform.Follow(ctx, follower, entryPrefix, e.entriesChanged, func() {})
	<-registered
	return context.Cause(ctx)
}

// register writes the entry's record unless it is already stored, and retries until it
// succeeds or ctx ends. Two processes of one host write the same record, so it does not
// matter which is first.
func (e *Entry) register(ctx context.Context) error {
	own := entryRecord{Name: e.cfg.Identity.Name, DataCentre: e.cfg.Identity.DataCentre}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	key := entryPrefix + object.Key(own.Name)
	for {
		stored := e.cfg.Platform.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: causeEntry})
		if r, ok := decodeEntry(stored.Object); stored.Status == object.Done && ok && r == own {
			return nil
		}
		if stored.Status == object.Done || stored.Status == object.NotFound {
			put := object.Call{Op: object.Put, Key: key, Version: stored.Object.Version, Value: value, Cause: causeEntry}
			if e.cfg.Platform.Do(ctx, put).Status == object.Done {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(registerPause):
		}
	}
}

// decodeEntry decodes the record of an entry; false if it is not valid.
func decodeEntry(o object.Object) (entryRecord, bool) {
	var r entryRecord
	err := json.Unmarshal(o.Value, &r)
	return r, err == nil && string(r.Name) == o.Key.Name()
}

func (e *Entry) entriesChanged(objects []object.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range objects {
		r, ok := decodeEntry(o)
		name := host.Name(o.Key.Name())
		e.recordVersions[name] = o.Version
		gone := e.hosts[name].State == hostGone
		e.entryChanged(target.Member{Name: name, DataCentre: r.DataCentre}, ok && !gone)
		if o.Value == nil {
			delete(e.recordVersions, name)
		} else if gone {
			e.unregister(name)
		}
	}
}

// unregister deletes the record of an entry whose host is gone for good. Otherwise
// several records would accumulate each day. Only the first entry by name deletes it; if
// two entries each consider themselves the first, one of them gets a conflict. A failed
// deletion is retried when the list or the record changes the next time. Failures are
// visible in the metric of platform calls, by cause and status. The caller holds e.mu.
func (e *Entry) unregister(name host.Name) {
	version, found := e.recordVersions[name]
	names := slices.Sorted(maps.Keys(e.entries))
	if !found || len(names) == 0 || names[0] != e.cfg.Identity.Name {
		return
	}
	e.background.Go(func() {
		key := entryPrefix + object.Key(name)
		e.cfg.Platform.Do(e.ctx, object.Call{Op: object.Delete, Key: key, Version: version, Cause: causeEntry})
	})
}

// knownEntries returns the entries that share the targets. The caller holds e.mu.
func (e *Entry) knownEntries() []target.Member {
	known := make([]target.Member, 0, len(e.entries))
	for _, m := range e.entries {
		known = append(known, m)
	}
	return known
}

// entryChanged adds an entry to those that share the targets, or removes it. The caller
// holds e.mu.
func (e *Entry) entryChanged(m target.Member, present bool) {
	if _, found := e.entries[m.Name]; found == present {
		return
	}
	if present {
		e.entries[m.Name] = m
	} else {
		delete(e.entries, m.Name)
	}
	for _, r := range e.routers {
		r.send(e.ctx, routerMessage{kind: memberMessage, member: m, present: present})
	}
}
