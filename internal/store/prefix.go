package store

import (
	"context"
	"fmt"
	"strings"
)

// prefixPageSize is how many keys one request of ReadPrefix asks for.
const prefixPageSize = 1000

// ReadPrefix reads all keys with a prefix, in their order: one page, but for the largest jobs.
// The first error of the store or of visit ends it; visit gets the key without the prefix.
func ReadPrefix(
	ctx context.Context, from Store, class Class, prefix string, visit func(rest string, value []byte) error,
) error {
	for after, more := "", true; more; {
		page, err := from.Range(ctx, class, prefix, after, prefixPageSize)
		if err != nil {
			return fmt.Errorf("reading %q after %q: %w", prefix, after, err)
		}
		for _, item := range page.Items {
			if err := visit(strings.TrimPrefix(item.Key, prefix), item.Value); err != nil {
				return fmt.Errorf("decoding %q: %w", item.Key, err)
			}
			after = item.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return nil
}
