package recovery

import (
	"context"
	"log/slog"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// pageSize is how many keys a failover reads with one request.
	pageSize = 1000
	// readRetryInterval is the pause after a read that failed.
	readRetryInterval = 100 * micro.Millisecond
)

// Reader reads what a failover needs from the store, for as long as it takes.
type Reader struct {
	store store.Store
	loop  *eventloop.Loop
	log   *slog.Logger
}

// NewReader makes one that gives up once the loop is stopped.
func NewReader(from store.Store, loop *eventloop.Loop, log *slog.Logger) *Reader {
	return &Reader{store: from, loop: loop, log: log}
}

// ReadAll reads all keys with a prefix, page by page, until it has them all; ok is false if
// the term ended before. The revision is the lowest of the pages': changes that are watched
// from there on miss nothing.
func (r *Reader) ReadAll(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool) {
	after := ""
	for {
		page, err := r.store.Range(ctx, store.Leadership, prefix, after, pageSize)
		if err != nil {
			r.log.Info("failover read failed", "prefix", prefix, "err", err)
			if !r.loop.Sleep(readRetryInterval) {
				return 0, false
			}
			continue
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, item := range page.Items {
			each(item)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, true
		}
	}
}
