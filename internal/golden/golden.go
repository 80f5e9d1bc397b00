// Package golden compares what the project encodes with bytes that a test holds, so
// that a renamed, moved or reordered field shows.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"notchmux.dev/notchmux/wire"
)

// Binary compares a value with its binary form, in hexadecimal, both ways: the value is
// written as these bytes, and these bytes are read as the value. Every field has to be
// set: one that is left out would not be held.
func Binary(value any, want string) error {
	errs := []error{unset(fmt.Sprintf("%T", value), reflect.ValueOf(value))}
	if got := hex.EncodeToString(wire.MustMarshal(value)); got != want {
		errs = append(errs, fmt.Errorf("%T is written as %s, want %s", value, got, want))
	}
	body, err := hex.DecodeString(want)
	if err != nil {
		return errors.Join(append(errs, err)...)
	}
	read := reflect.New(reflect.TypeOf(value))
	if err := wire.Unmarshal(body, read.Interface()); err != nil {
		errs = append(errs, fmt.Errorf("%T is not read: %w", value, err))
	} else if got := read.Elem().Interface(); !reflect.DeepEqual(got, value) {
		errs = append(errs, fmt.Errorf("%T is read as %+v, want %+v", value, got, value))
	}
	return errors.Join(errs...)
}

// JSON compares a value with its form as JSON: what the command line prints, and what
// the store's limits on a value count.
func JSON(value any, want string) error {
	got, err := json.Marshal(value)
	if err == nil && string(got) != want {
		err = fmt.Errorf("%T is printed as %s, want %s", value, got, want)
	}
	return errors.Join(err, unset(fmt.Sprintf("%T", value), reflect.ValueOf(value)))
}

// unset names the first exported field of a value, at any depth, that has no value.
func unset(path string, value reflect.Value) error {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return fmt.Errorf("%s is not set", path)
		}
		return unset(path, value.Elem())
	case reflect.Struct:
		var errs []error
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				errs = append(errs, unset(path+"."+field.Name, value.Field(i)))
			}
		}
		return errors.Join(errs...)
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			return fmt.Errorf("%s is empty", path)
		}
		return unsetItems(path, value)
	default:
		if value.IsZero() && value.Kind() != reflect.Array {
			return fmt.Errorf("%s is not set", path)
		}
		return nil
	}
}

// unsetItems is unset for the items of a list of structures, or of a map of them.
func unsetItems(path string, value reflect.Value) error {
	if value.Type().Elem().Kind() != reflect.Struct {
		return nil
	}
	var errs []error
	if value.Kind() == reflect.Map {
		for _, key := range value.MapKeys() {
			errs = append(errs, unset(fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key)))
		}
		return errors.Join(errs...)
	}
	for i := range value.Len() {
		errs = append(errs, unset(fmt.Sprintf("%s[%d]", path, i), value.Index(i)))
	}
	return errors.Join(errs...)
}
