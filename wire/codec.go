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

// MaxBody is the largest body that a request, or a response to an agent or
// user, may have.
const MaxBody = 64 << 10

// ErrMalformed is the error for a body that is no well-formed message.
var ErrMalformed = errors.New("malformed body")

// maxNesting bounds nesting, so that a hostile body cannot exhaust the stack.
const maxNesting = 32

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
	if err := checkWellFormed(body); err != nil {
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
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// checkWellFormed checks that body is exactly one well-formed value of bounded depth.
func checkWellFormed(body []byte) error {
	rest, err := skipValue(body, maxNesting)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return ErrMalformed
	}
	return nil
}

// skipValue gives what follows the first value of b. The value may nest so deep.
func skipValue(data []byte, depth int) ([]byte, error) {
	if len(data) == 0 || depth == 0 {
		return nil, ErrMalformed
	}
	code, rest := data[0], data[1:]
	switch {
	case code <= 0x7f || code >= 0xe0 || code == 0xc0 || code == 0xc2 || code == 0xc3:
		return rest, nil // a small number, nil, false or true
	case code <= 0x8f:
		return skipItems(rest, 2*int(code&0x0f), depth-1)
	case code <= 0x9f:
		return skipItems(rest, int(code&0x0f), depth-1)
	case code <= 0xbf:
		return skipBytes(rest, int(code&0x1f))
	}
	switch code {
	case 0xcc, 0xd0:
		return skipBytes(rest, 1)
	case 0xcd, 0xd1:
		return skipBytes(rest, 2)
	case 0xca, 0xce, 0xd2:
		return skipBytes(rest, 4)
	case 0xcb, 0xcf, 0xd3:
		return skipBytes(rest, 8)
	}
	return skipSized(code, rest, depth)
}

// skipSized skips a text, list or map whose size follows its code.
func skipSized(code byte, data []byte, depth int) ([]byte, error) {
	var width int
	switch code {
	case 0xd9, 0xda, 0xdb: // texts
		width = 1 << (code - 0xd9)
	case 0xdc, 0xdd: // lists
		width = 2 << (code - 0xdc)
	case 0xde, 0xdf: // maps
		width = 2 << (code - 0xde)
	default:
		return nil, ErrMalformed // binary and extension types are not ours
	}
	if len(data) < width {
		return nil, ErrMalformed
	}
	size := 0
	for _, octet := range data[:width] {
		size = size<<8 | int(octet)
	}
	rest := data[width:]
	switch {
	case code <= 0xdb:
		return skipBytes(rest, size)
	case code <= 0xdd:
		return skipItems(rest, size, depth-1)
	}
	return skipItems(rest, 2*size, depth-1)
}

func skipBytes(data []byte, n int) ([]byte, error) {
	if n < 0 || len(data) < n {
		return nil, ErrMalformed
	}
	return data[n:], nil
}

// skipItems skips so many values. Each takes a byte at least: a count beyond that
// is refused before any is looked at.
func skipItems(data []byte, count, depth int) ([]byte, error) {
	if count > len(data) {
		return nil, ErrMalformed
	}
	var err error
	for range count {
		if data, err = skipValue(data, depth); err != nil {
			return nil, err
		}
	}
	return data, nil
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

func asCount(value any) (uint64, bool) {
	switch number := value.(type) {
	case int8:
		return uint64(number), number >= 0
	case int16:
		return uint64(number), number >= 0
	case int32:
		return uint64(number), number >= 0
	case int64:
		return uint64(number), number >= 0
	case uint8:
		return uint64(number), true
	case uint16:
		return uint64(number), true
	case uint32:
		return uint64(number), true
	case uint64:
		return number, true
	case float32:
		return asCount(float64(number))
	case float64:
		if number >= 0 && number < 1<<53 && number == math.Trunc(number) {
			return uint64(number), true
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
