package store

import (
	"context"
	"fmt"
	"strings"
)

// prefixPageSize is the number of keys that ReadPrefix requests per page.
const prefixPageSize = 1000

// ReadPrefix reads all keys with a prefix in key order and calls visit with each key, less the
// prefix, and its value. It returns the first error of the store or of visit. All but the largest
// jobs fit into one page.
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
