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

// Intervals at which the keys of shards are read and watched.
const (
	// WatchPause is the delay before the next watch request is sent: each costs the store a request.
	WatchPause = 300 * micro.Millisecond
	// WatchTimeout is how long a watch request waits for a change.
	WatchTimeout = 10 * micro.Second
	// ReadRetry is the delay before keys are read again after a failed read or watch.
	ReadRetry = 300 * micro.Millisecond
)

// CommitTimeout limits the duration of a transaction on a shard's record, and of a read that decides about such a
// transaction.
const CommitTimeout = 1200 * time.Millisecond

// recordPageSize is the number of records that one request reads.
const recordPageSize = 1000

// Watcher keeps a local table of the shards up to date with the store. Run updates the table on the goroutine that
// calls it; all other methods may be called from any goroutine.
type Watcher struct {
	table    Table
	hasRead  atomic.Bool
	store    store.Store
	log      *slog.Logger
	onChange func()
}

// NewWatcher returns a watcher with an empty table, which is read once Run is called. It calls onChange after each
// change, on the goroutine that detected the change.
func NewWatcher(st store.Store, log *slog.Logger, onChange func()) *Watcher {
	return &Watcher{store: st, log: log, onChange: onChange}
}

// Snapshot returns the current table.
func (w *Watcher) Snapshot() Snapshot { return w.table.Snapshot() }

// HasRead reports whether the table has been read since the start.
func (w *Watcher) HasRead() bool { return w.hasRead.Load() }

// Run keeps the table up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := w.Read(ctx)
		if err == nil {
			err = w.watch(ctx, revision)
		}
		if err != nil {
			w.log.Debug("read or watch of shard table failed; retrying", "err", err)
		}
		sleep(ctx, ReadRetry)
	}
	return nil
}

// Read reads all records once, and returns the revision from which changes must be watched.
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

// decodeRecord decodes a record. A record that cannot be decoded is logged and ignored.
func (w *Watcher) decodeRecord(key string, value []byte, version uint64) (Entry, bool) {
	entry, err := ParseRecord(key, value, version)
	if err != nil {
		w.log.Debug("decode shard record failed; ignoring it", "key", key, "err", err)
	}
	return entry, err == nil
}

// ParseRecord decodes a shard's record from its key, value and version in the store.
func ParseRecord(key string, value []byte, version uint64) (Entry, error) {
	entry := Entry{Name: key[len(RecordPrefix):], Version: version}
	if err := wire.Unmarshal(value, &entry.Record); err != nil {
		return entry, fmt.Errorf("decode shard record %s: %w", key, err)
	}
	return entry, nil
}

// watch applies changes after the revision until the context ends, or until the store no longer has them.
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
