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
	// pageSize is the maximum number of keys that one request reads.
	pageSize = 1000
	// readRetryInterval is the pause before a failed read is retried.
	readRetryInterval = 100 * micro.Millisecond
)

// Reader reads records from the store for a failover. It retries failed reads until the loop is
// stopped.
type Reader struct {
	store store.Store
	loop  *eventloop.Loop
	log   *slog.Logger
}

// NewReader returns a Reader that stops retrying once the loop is stopped.
func NewReader(from store.Store, loop *eventloop.Loop, log *slog.Logger) *Reader {
	return &Reader{store: from, loop: loop, log: log}
}

// ReadAll calls each for every key with a prefix, reading page by page. ok is false if the loop was
// stopped first. The returned revision is the lowest of all pages, so that a watch from there misses
// no change.
func (r *Reader) ReadAll(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool) {
	after := ""
	for {
		page, err := r.store.Range(ctx, store.Leadership, prefix, after, pageSize)
		if err != nil {
			r.log.Info("failover read failed, will be retried", "prefix", prefix, "err", err)
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
