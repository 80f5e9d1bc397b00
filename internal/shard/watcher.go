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

// Watcher keeps a table of the shards as the store has it. Run writes the table on the
// goroutine that calls it; all else may be called from any goroutine.
type Watcher struct {
	table    Table
	hasRead  atomic.Bool
	store    store.Store
	log      *slog.Logger
	onChange func()
}

// NewWatcher makes the follower of an empty table, which is read once Run is called. It
// calls changed after each change, on the goroutine that found it.
func NewWatcher(st store.Store, log *slog.Logger, onChange func()) *Watcher {
	return &Watcher{store: st, log: log, onChange: onChange}
}

// Snapshot is the table as it is now.
func (w *Watcher) Snapshot() Snapshot { return w.table.Snapshot() }

// HasRead reports whether the table was read since the start.
func (w *Watcher) HasRead() bool { return w.hasRead.Load() }

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := w.Read(ctx)
		if err == nil {
			err = w.watch(ctx, revision)
		}
		if err != nil {
			w.log.Debug("shard table not read", "err", err)
		}
		sleep(ctx, ReadRetry)
	}
	return nil
}

// Read reads all records once, and returns the revision from which changes are to be watched.
func (w *Watcher) Read(ctx context.Context) (revision uint64, err error) {
	var entries []Entry
	after := ""
	for {
		page, err := w.store.Range(ctx, store.Leadership, RecordPrefix, after, recordPageSize)
		if err != nil {
			return 0, fmt.Errorf("read shard records after %q: %w", after, err)
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, item := range page.Items {
			after = item.Key
			if entry, ok := w.decodeRecord(item.Key, item.Value, uint64(item.Version)); ok {
				entries = append(entries, entry)
			}
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	w.table.Replace(entries)
	w.hasRead.Store(true)
	w.onChange()
	return revision, nil
}

// decodeRecord reads a record; one that cannot be read is logged and counts as none.
func (w *Watcher) decodeRecord(key string, value []byte, version uint64) (Entry, bool) {
	entry, err := ParseRecord(key, value, version)
	if err != nil {
		w.log.Debug("shard record not understood", "key", key, "err", err)
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
func (w *Watcher) watch(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		events, err := w.store.Watch(ctx, RecordPrefix, revision, WatchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			return fmt.Errorf("watch shard records from revision %d: %w", revision, err)
		}
		if err == nil {
			revision = max(revision, uint64(events.Revision))
			w.apply(events)
		}
		sleep(ctx, WatchPause)
	}
	return nil
}

func (w *Watcher) apply(events wire.Events) {
	for _, event := range events.Events {
		if event.Delete != "" {
			w.table.Delete(event.Delete[len(RecordPrefix):], uint64(event.Version))
			continue
		}
		if entry, ok := w.decodeRecord(event.Put, event.Value, uint64(event.Version)); ok {
			w.table.Put(entry)
		}
	}
	if len(events.Events) > 0 {
		w.onChange()
	}
}

func sleep(ctx context.Context, d micro.Time) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
