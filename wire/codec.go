// Package wire defines the public message types of notchmux, their codec and their validation. Clients may import
// it. The field names on the wire are given by the protocol; the Go names are the usual terms of cluster scheduling.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest size in bytes of the body of a request, or of a response to an agent or user.
const MaxBody = 64 << 10

// ErrMalformed is returned for a body that is not a valid message.
var ErrMalformed = errors.New("malformed body")

// maxNesting is the maximum nesting depth of a body, so that a hostile body cannot exhaust the stack.
const maxNesting = 32

// Marshal encodes a message as MessagePack.
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

// MustMarshal encodes a value whose encoding cannot fail, such as the types of this package. It panics if the
// encoding fails.
func MustMarshal(v any) []byte {
	b, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Unmarshal decodes a body that holds exactly one value. The structure of the body is checked first, so that
// lengths which exceed the body do not cause allocations. Every error wraps ErrMalformed.
func Unmarshal(body []byte, v any) (err error) {
	if err := checkWellFormed(body); err != nil {
		return err
	}
	// The decoder panics on some type mismatches; a malformed message must never crash the process.
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

// checkWellFormed returns an error unless body is exactly one well-formed value, nested at most maxNesting deep.
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

// skipValue returns the data after the first value. The value may be nested at most depth deep.
func skipValue(data []byte, depth int) ([]byte, error) {
	if len(data) == 0 || depth == 0 {
		return nil, ErrMalformed
	}
	code, rest := data[0], data[1:]
	switch {
	case code <= 0x7f || code >= 0xe0 || code == 0xc0 || code == 0xc2 || code == 0xc3:
		return rest, nil // small integer, nil, false or true
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

// skipSized skips a string, array or map whose size follows its code.
func skipSized(code byte, data []byte, depth int) ([]byte, error) {
	var width int
	switch code {
	case 0xd9, 0xda, 0xdb: // strings
		width = 1 << (code - 0xd9)
	case 0xdc, 0xdd: // arrays
		width = 2 << (code - 0xdc)
	case 0xde, 0xdf: // maps
		width = 2 << (code - 0xde)
	default:
		return nil, ErrMalformed // the protocol has no binary and extension types
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

// skipBytes returns the data after the first n bytes.
func skipBytes(data []byte, n int) ([]byte, error) {
	if n < 0 || len(data) < n {
		return nil, ErrMalformed
	}
	return data[n:], nil
}

// skipItems skips count values. Each takes at least one byte, so a count above the length of the data is rejected
// before any value is read.
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

// JSONSize returns the size in bytes of a value encoded as JSON, to which size limits apply. It returns
// math.MaxInt if the value cannot be encoded.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt
	}
	return len(b)
}

// Count is an integer from 0 to 2^64-1. It is also decoded from a floating-point number below 2^53 that has no
// fraction.
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

// asCount converts a decoded number to a count. It returns false if value is not a non-negative integer.
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

// asAmount converts a decoded number to an amount. It returns false if value is not a finite non-negative number.
func asAmount(value any) (float64, bool) {
	switch number := value.(type) {
	case float32:
		return asAmount(float64(number))
	case float64:
		return number, number >= 0 && !math.IsNaN(number) && !math.IsInf(number, 0)
	}
	count, ok := asCount(value)
	return float64(count), ok
}
