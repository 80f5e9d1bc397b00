// Package wire holds the public message types of notchmux, their codec and
// their validation. Clients may import it. Field names on the wire are the
// protocol's; the Go names are the field's usual terms.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest body that a request, or a response to a worker or
// user, may have.
const MaxBody = 64 << 10

// ErrMalformed is the error for a body that is no well-formed message.
var ErrMalformed = errors.New("malformed body")

// maxDepth bounds nesting, so that a hostile body cannot exhaust the stack.
const maxDepth = 32

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// MustMarshal encodes one of this package's own types, which cannot fail.
func MustMarshal(v any) []byte {
	b, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Unmarshal decodes one message. The body must hold exactly one value: it is
// walked first, so that lengths it only claims allocate nothing.
func Unmarshal(body []byte, v any) (err error) {
	if err := walk(body); err != nil {
		return err
	}
	// The decoder panics on some kinds of mismatch; a bad message must never
	// take the process down.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

// walk checks that body is exactly one well-formed value of bounded depth.
func walk(body []byte) error {
	rest, err := skip(body, maxDepth)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return ErrMalformed
	}
	return nil
}

func skip(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 || depth == 0 {
		return nil, ErrMalformed
	}
	c := b[0]
	b = b[1:]
	size := func(n int) (int, error) {
		if len(b) < n {
			return 0, ErrMalformed
		}
		v := 0
		for _, x := range b[:n] {
			v = v<<8 | int(x)
		}
		b = b[n:]
		return v, nil
	}
	take := func(n int) ([]byte, error) {
		if n < 0 || len(b) < n {
			return nil, ErrMalformed
		}
		return b[n:], nil
	}
	items := func(n int) ([]byte, error) {
		if n > len(b) {
			return nil, ErrMalformed
		}
		rest := b
		var err error
		for range n {
			if rest, err = skip(rest, depth-1); err != nil {
				return nil, err
			}
		}
		return rest, nil
	}
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return b, nil
	case c <= 0x8f:
		return items(2 * int(c&0x0f))
	case c <= 0x9f:
		return items(int(c & 0x0f))
	case c <= 0xbf:
		return take(int(c & 0x1f))
	}
	switch c {
	case 0xca:
		return take(4)
	case 0xcb:
		return take(8)
	case 0xcc, 0xd0:
		return take(1)
	case 0xcd, 0xd1:
		return take(2)
	case 0xce, 0xd2:
		return take(4)
	case 0xcf, 0xd3:
		return take(8)
	case 0xd9, 0xda, 0xdb:
		n, err := size(1 << (c - 0xd9))
		if err != nil {
			return nil, err
		}
		return take(n)
	case 0xdc, 0xdd:
		n, err := size(2 << (c - 0xdc))
		if err != nil {
			return nil, err
		}
		return items(n)
	case 0xde, 0xdf:
		n, err := size(2 << (c - 0xde))
		if err != nil {
			return nil, err
		}
		return items(2 * n)
	}
	return nil, ErrMalformed // binary and extension types are not ours
}

// JSONSize is the size of a value in its JSON form, which size limits count.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt
	}
	return len(b)
}

// Count is a whole number from 0 up to 2^64-1. A decimal number is taken where
// it is exact.
type Count uint64

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Count) DecodeMsgpack(d *msgpack.Decoder) error {
	v, err := d.DecodeInterface()
	if err != nil {
		return err
	}
	n, ok := asCount(v)
	if !ok {
		return ErrMalformed
	}
	*c = Count(n)
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c Count) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeUint(uint64(c)) }

func asCount(v any) (uint64, bool) {
	switch x := v.(type) {
	case int8:
		return uint64(x), x >= 0
	case int16:
		return uint64(x), x >= 0
	case int32:
		return uint64(x), x >= 0
	case int64:
		return uint64(x), x >= 0
	case uint8:
		return uint64(x), true
	case uint16:
		return uint64(x), true
	case uint32:
		return uint64(x), true
	case uint64:
		return x, true
	case float32:
		return asCount(float64(x))
	case float64:
		if x >= 0 && x < 1<<53 && x == math.Trunc(x) {
			return uint64(x), true
		}
	}
	return 0, false
}

func asAmount(v any) (float64, bool) {
	switch x := v.(type) {
	case float32:
		return asAmount(float64(x))
	case float64:
		return x, x >= 0 && !math.IsNaN(x) && !math.IsInf(x, 0)
	}
	n, ok := asCount(v)
	return float64(n), ok
}
