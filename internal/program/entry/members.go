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

	// maxEntries bounds the entries that are known: ten times as many as the
	// processes that an installation is to have in two years.
	maxEntries = 4096

	// registerPause is between two tries to register. The platform may be out for
	// minutes; until then the entry only counts fewer that share its targets.
	registerPause = time.Second
)

// entryRecord is the object by which an entry makes itself known to the others. It is
// written once in a host's time, since it says nothing that a restart changes.
type entryRecord struct {
	Name       host.Name       `json:"name"`
	DataCentre host.DataCentre `json:"dataCentre"`
}

// followEntries makes this entry known and learns which others there are. They share
// the targets between them; an entry that is not known to all costs balance only.
func (e *Entry) followEntries(ctx context.Context) error {
	registered := make(chan error, 1)
	go func() { registered <- e.register(ctx) }()
	follower := watch.New(watch.Config{Prefix: entryPrefix, Cause: causeEntry, Limit: maxEntries}, e.newRand())
	e.cfg.Platform.Follow(ctx, follower, entryPrefix, e.entriesChanged, func() {})
	<-registered
	return context.Cause(ctx)
}

// register writes the entry's record, unless it is there, until that is done or ctx
// ends. Two processes of one host write the same, so it does not matter who is first.
func (e *Entry) register(ctx context.Context) error {
	own := entryRecord{Name: e.cfg.Identity.Name, DataCentre: e.cfg.Identity.DataCentre}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	key := entryPrefix + object.Key(own.Name)
	for {
		there := e.cfg.Platform.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: causeEntry})
		if r, ok := decodeEntry(there.Object); there.Status == object.Done && ok && r == own {
			return nil
		}
		if there.Status == object.Done || there.Status == object.NotFound {
			put := object.Call{Op: object.Put, Key: key, Version: there.Object.Version, Value: value, Cause: causeEntry}
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

// decodeEntry reads the record of an entry; false if it is not one.
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
		e.records[name] = o.Version
		gone := e.hosts[name].State == hostGone
		e.entryChanged(target.Member{Name: name, DataCentre: r.DataCentre}, ok && !gone)
		if o.Value == nil {
			delete(e.records, name)
		} else if gone {
			e.unregister(name)
		}
	}
}

// unregister deletes the record of an entry whose host is gone for good. Records
// would pile up otherwise, some for each day. One entry does it, the first by name;
// should two take themselves for it, one of them meets a conflict. What fails is
// tried again when the list or the record is next seen to change, and calls are
// counted by cause and by how they ended. The caller holds e.mu.
func (e *Entry) unregister(name host.Name) {
	version, there := e.records[name]
	first := slices.Sorted(maps.Keys(e.entries))
	if !there || len(first) == 0 || first[0] != e.cfg.Identity.Name {
		return
	}
	e.duties.Go(func() {
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

// entryChanged keeps the entries that share the targets. The caller holds e.mu.
func (e *Entry) entryChanged(m target.Member, present bool) {
	if _, known := e.entries[m.Name]; known == present {
		return
	}
	if present {
		e.entries[m.Name] = m
	} else {
		delete(e.entries, m.Name)
	}
	for _, r := range e.routers {
		r.ask(e.ctx, routerMessage{kind: tellMember, member: m, present: present})
	}
}
