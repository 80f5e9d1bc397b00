// Package golden compares what the project encodes with bytes that a test holds, so
// that a renamed, moved or reordered field shows.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"notchmux.dev/notchmux/wire"
)

// Binary compares a value with its binary form, in hexadecimal, both ways: the value is
// written as these bytes, and these bytes are read as the value. Every field has to be
// set: one that is left out would not be held. Of a field that is written only where it is set,
// the form without it is held by naming the field as absent; another test holds the form with it.
func Binary(value any, want string, absent ...string) error {
	errs := []error{checkFields(value, absent)}
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
// the store's limits on a value count. Absent fields are as with Binary.
func JSON(value any, want string, absent ...string) error {
	got, err := json.Marshal(value)
	if err == nil && string(got) != want {
		err = fmt.Errorf("%T is printed as %s, want %s", value, got, want)
	}
	return errors.Join(err, checkFields(value, absent))
}

// unsetError says that a field of a value, by its path, has no value.
type unsetError struct{ path, problem string }

func (e unsetError) Error() string { return e.path + " is " + e.problem }

// checkFields reports the fields of a value that are not set, but for the absent ones: each of
// those must not be set.
func checkFields(value any, absent []string) error {
	remaining := slices.Clone(absent)
	var errs []error
	for _, err := range flatten(checkSet(fmt.Sprintf("%T", value), reflect.ValueOf(value))) {
		var missing unsetError
		if errors.As(err, &missing) && slices.Contains(remaining, missing.path) {
			remaining = slices.DeleteFunc(remaining, func(path string) bool { return path == missing.path })
			continue
		}
		errs = append(errs, err)
	}
	for _, path := range remaining {
		errs = append(errs, fmt.Errorf("%s is set, or does not exist", path))
	}
	return errors.Join(errs...)
}

// flatten lists the errors that were joined into one.
func flatten(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var errs []error
	for _, each := range joined.Unwrap() {
		errs = append(errs, flatten(each)...)
	}
	return errs
}

// checkSet names the exported fields of a value, at any depth, that have no value.
func checkSet(path string, value reflect.Value) error {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return unsetError{path, "not set"}
		}
		return checkSet(path, value.Elem())
	case reflect.Struct:
		var errs []error
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				errs = append(errs, checkSet(path+"."+field.Name, value.Field(i)))
			}
		}
		return errors.Join(errs...)
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			return unsetError{path, "empty"}
		}
		return checkItemsSet(path, value)
	default:
		if value.IsZero() && value.Kind() != reflect.Array {
			return unsetError{path, "not set"}
		}
		return nil
	}
}

// checkItemsSet is unset for the items of a list of structures, or of a map of them.
func checkItemsSet(path string, value reflect.Value) error {
	if value.Type().Elem().Kind() != reflect.Struct {
		return nil
	}
	var errs []error
	if value.Kind() == reflect.Map {
		for _, key := range value.MapKeys() {
			errs = append(errs, checkSet(fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key)))
		}
		return errors.Join(errs...)
	}
	for i := range value.Len() {
		errs = append(errs, checkSet(fmt.Sprintf("%s[%d]", path, i), value.Index(i)))
	}
	return errors.Join(errs...)
}
