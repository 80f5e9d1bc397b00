// Package golden compares encoded values with golden bytes in a test, so that the test
// detects a renamed, moved or reordered field.
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

// Binary checks that the value is encoded as want, its MessagePack form in hexadecimal, and that want is decoded
// to the value. Every exported field must be set, because a test does not cover a field without a value. To test
// the form without a field that is encoded only if it is set, pass the field's path in absent; another test has
// to cover the form with it.
func Binary(value any, want string, absent ...string) error {
	errs := []error{checkFields(value, absent)}
	if got := hex.EncodeToString(wire.MustMarshal(value)); got != want {
		errs = append(errs, fmt.Errorf("%T is encoded as %s, want %s", value, got, want))
	}
	body, err := hex.DecodeString(want)
	if err != nil {
		return errors.Join(append(errs, err)...)
	}
	decoded := reflect.New(reflect.TypeOf(value))
	if err := wire.Unmarshal(body, decoded.Interface()); err != nil {
		errs = append(errs, fmt.Errorf("decode %T: %w", value, err))
	} else if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, value) {
		errs = append(errs, fmt.Errorf("%T is decoded as %+v, want %+v", value, got, value))
	}
	return errors.Join(errs...)
}

// JSON checks that the value is encoded as want in JSON, which the command line prints and whose size the
// store's limit on a value applies to. The absent fields are as for Binary.
func JSON(value any, want string, absent ...string) error {
	got, err := json.Marshal(value)
	if err == nil && string(got) != want {
		err = fmt.Errorf("%T is encoded as %s, want %s", value, got, want)
	}
	return errors.Join(err, checkFields(value, absent))
}

// unsetError reports that the field with the path has no value.
type unsetError struct{ path, problem string }

func (e unsetError) Error() string { return e.path + " is " + e.problem }

// checkFields returns an error for each field of the value that is not set, except the absent ones, and for
// each absent path at which there is no unset field.
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

// flatten returns the errors that were joined into err, at any depth.
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

// checkSet returns joined unsetErrors for the exported fields of a value, at any depth, that have no value.
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

// checkItemsSet applies checkSet to the items of a slice or map of structs; other items are not checked.
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
