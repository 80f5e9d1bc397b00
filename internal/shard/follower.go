package shard

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// How the keys of shards are followed. Watches are opened anew after such pauses: each
// costs the store a request.
const (
	WatchPause   = 300 * micro.Millisecond
	WatchTimeout = 10 * micro.Second
	ReadRetry    = 300 * micro.Millisecond
)

// CommitTimeout is how long a transaction on a shard's record, or a read that decides about
// one, may take.
const CommitTimeout = 1200 * time.Millisecond

// recordPageSize is how many records are read with one request.
const recordPageSize = 1000

// Follower keeps a table of the shards as the store has it. Run writes the table on the
// goroutine that calls it; all else may be called from any goroutine.
type Follower struct {
	table   Table
	read    atomic.Bool
	store   store.Store
	log     *slog.Logger
	changed func()
}

// NewFollower makes the follower of an empty table, which is read once Run is called. It
// calls changed after each change, on the goroutine that found it.
func NewFollower(st store.Store, log *slog.Logger, changed func()) *Follower {
	return &Follower{store: st, log: log, changed: changed}
}

// Snapshot is the table as it is now.
func (f *Follower) Snapshot() Snapshot { return f.table.Snapshot() }

// HasRead reports whether the table was read since the start.
func (f *Follower) HasRead() bool { return f.read.Load() }

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.Read(ctx)
		if err == nil {
			err = f.watch(ctx, revision)
		}
		if err != nil {
			f.log.Debug("shard table not read", "err", err)
		}
		pause(ctx, ReadRetry)
	}
	return nil
}

// Read reads all records once, and returns the revision from which changes are to be watched.
func (f *Follower) Read(ctx context.Context) (revision uint64, err error) {
	var entries []Entry
	after := ""
	for {
		page, err := f.store.Range(ctx, store.Leadership, RecordPrefix, after, recordPageSize)
		if err != nil {
			return 0, fmt.Errorf("read shard records after %q: %w", after, err)
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, item := range page.Items {
			after = item.Key
			if entry, ok := f.parse(item.Key, item.Value, uint64(item.Version)); ok {
				entries = append(entries, entry)
			}
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	f.table.Replace(entries)
	f.read.Store(true)
	f.changed()
	return revision, nil
}

// parse reads a record; one that cannot be read is logged and counts as none.
func (f *Follower) parse(key string, value []byte, version uint64) (Entry, bool) {
	entry, err := ParseRecord(key, value, version)
	if err != nil {
		f.log.Debug("shard record not understood", "key", key, "err", err)
	}
	return entry, err == nil
}

// ParseRecord reads a shard's record as the store holds it.
func ParseRecord(key string, value []byte, version uint64) (Entry, error) {
	entry := Entry{Name: key[len(RecordPrefix):], Version: version}
	if err := wire.Unmarshal(value, &entry.Record); err != nil {
		return entry, fmt.Errorf("decode shard record %s: %w", key, err)
	}
	return entry, nil
}

// watch takes in changes, until they cannot be followed.
func (f *Follower) watch(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		events, err := f.store.Watch(ctx, RecordPrefix, revision, WatchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			return fmt.Errorf("watch shard records from revision %d: %w", revision, err)
		}
		if err == nil {
			revision = max(revision, uint64(events.Revision))
			f.apply(events)
		}
		pause(ctx, WatchPause)
	}
	return nil
}

func (f *Follower) apply(events wire.Events) {
	for _, event := range events.Events {
		if event.Delete != "" {
			f.table.Delete(event.Delete[len(RecordPrefix):], uint64(event.Version))
			continue
		}
		if entry, ok := f.parse(event.Put, event.Value, uint64(event.Version)); ok {
			f.table.Put(entry)
		}
	}
	if len(events.Events) > 0 {
		f.changed()
	}
}

func pause(ctx context.Context, d micro.Time) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
