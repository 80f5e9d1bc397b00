package main

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// object is a decoded MessagePack map with text keys.
type object = map[string]any

var errMalformed = errors.New("malformed MessagePack")

// encode returns the MessagePack form of a value built from object, []any, string, numbers, bool and nil.
func encode(v any) []byte { return appendValue(nil, v) }

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(b, 0xc0)
	case bool:
		if v {
			return append(b, 0xc3)
		}
		return append(b, 0xc2)
	case int:
		return appendInt(b, int64(v))
	case int64:
		return appendInt(b, v)
	case uint64:
		return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(v))
	case string:
		return append(appendHead(b, len(v), 0xa0, 32, 0xda, 0xdb), v...)
	case []string:
		b = appendHead(b, len(v), 0x90, 16, 0xdc, 0xdd)
		for _, item := range v {
			b = appendValue(b, item)
		}
		return b
	case []any:
		b = appendHead(b, len(v), 0x90, 16, 0xdc, 0xdd)
		for _, item := range v {
			b = appendValue(b, item)
		}
		return b
	case object:
		b = appendHead(b, len(v), 0x80, 16, 0xde, 0xdf)
		keys := make([]string, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			b = appendValue(appendValue(b, key), v[key])
		}
		return b
	}
	panic("value of a type that the protocol does not have")
}

func appendInt(b []byte, v int64) []byte {
	if v >= 0 && v < 128 {
		return append(b, byte(v))
	}
	if v >= 0 {
		return binary.BigEndian.AppendUint64(append(b, 0xcf), uint64(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(v))
}

func appendHead(b []byte, n int, small byte, limit int, code16, code32 byte) []byte {
	switch {
	case n < limit:
		return append(b, small|byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, code16), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, code32), uint32(n))
}

// decode decodes a body that holds one value.
func decode(b []byte) (v any, err error) {
	defer func() {
		if recover() != nil {
			err = errMalformed
		}
	}()
	v, rest := take(b)
	if len(rest) != 0 {
		return nil, errMalformed
	}
	return v, nil
}

// decodeObject decodes a body that holds a map; any other body gives an empty map.
func decodeObject(b []byte) object {
	v, err := decode(b)
	if m, ok := v.(object); ok && err == nil {
		return m
	}
	return object{}
}

func take(b []byte) (any, []byte) {
	code, b := b[0], b[1:]
	switch {
	case code < 0x80:
		return int64(code), b
	case code >= 0xe0:
		return int64(int8(code)), b
	case code <= 0x8f:
		return takeMap(b, int(code&15))
	case code <= 0x9f:
		return takeList(b, int(code&15))
	case code <= 0xbf:
		return string(b[:code&31]), b[code&31:]
	}
	switch code {
	case 0xc0:
		return nil, b
	case 0xc2:
		return false, b
	case 0xc3:
		return true, b
	case 0xca:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(b))), b[4:]
	case 0xcb:
		return math.Float64frombits(binary.BigEndian.Uint64(b)), b[8:]
	case 0xcc:
		return int64(b[0]), b[1:]
	case 0xcd:
		return int64(binary.BigEndian.Uint16(b)), b[2:]
	case 0xce:
		return int64(binary.BigEndian.Uint32(b)), b[4:]
	case 0xcf:
		if n := binary.BigEndian.Uint64(b); n > math.MaxInt64 {
			return n, b[8:]
		}
		return int64(binary.BigEndian.Uint64(b)), b[8:]
	case 0xd0:
		return int64(int8(b[0])), b[1:]
	case 0xd1:
		return int64(int16(binary.BigEndian.Uint16(b))), b[2:]
	case 0xd2:
		return int64(int32(binary.BigEndian.Uint32(b))), b[4:]
	case 0xd3:
		return int64(binary.BigEndian.Uint64(b)), b[8:]
	case 0xd9:
		n := int(b[0])
		return string(b[1 : 1+n]), b[1+n:]
	case 0xda:
		n := int(binary.BigEndian.Uint16(b))
		return string(b[2 : 2+n]), b[2+n:]
	case 0xdb:
		n := int(binary.BigEndian.Uint32(b))
		return string(b[4 : 4+n]), b[4+n:]
	case 0xdc:
		return takeList(b[2:], int(binary.BigEndian.Uint16(b)))
	case 0xdd:
		return takeList(b[4:], int(binary.BigEndian.Uint32(b)))
	case 0xde:
		return takeMap(b[2:], int(binary.BigEndian.Uint16(b)))
	case 0xdf:
		return takeMap(b[4:], int(binary.BigEndian.Uint32(b)))
	}
	panic(errMalformed)
}

func takeList(b []byte, n int) (any, []byte) {
	list := []any{}
	for range n {
		var v any
		v, b = take(b)
		list = append(list, v)
	}
	return list, b
}

func takeMap(b []byte, n int) (any, []byte) {
	m := object{}
	for range n {
		var k, v any
		k, b = take(b)
		v, b = take(b)
		m[k.(string)] = v
	}
	return m, b
}

// number returns a decoded number as a float, and 0 for anything else.
func number(v any) float64 {
	switch v := v.(type) {
	case int64:
		return float64(v)
	case uint64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}

// whole returns a decoded whole number, and 0 for anything else.
func whole(v any) uint64 {
	switch v := v.(type) {
	case int64:
		return uint64(v)
	case uint64:
		return v
	case float64:
		return uint64(v)
	}
	return 0
}

// text returns a decoded text, and "" for anything else.
func text(v any) string { s, _ := v.(string); return s }

// list returns a decoded list, and nil for anything else.
func list(v any) []any { l, _ := v.([]any); return l }

// flag returns a decoded boolean, and false for anything else.
func flag(v any) bool { b, _ := v.(bool); return b }
