// Package settings reads JSON with comments and checks it whole before anything starts.
//
// Checks are declared by struct tags on the target type:
//
//	json:"name"            the name of the field; each field needs one
//	check:"required"       the field must be present
//	check:"ip-port"        an address of an IP number and a port
//	check:"name"           a non-empty kebab-case name
//	min:"1" max:"10"       the allowed range of a number or duration
//	one-of:"a b c"         the allowed words
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

type (
	// Duration is a time.Duration written as a string, such as "550ms".
	Duration time.Duration

	// FileError reports a file that cannot be read.
	FileError struct {
		path  string
		cause error
	}
)

// Of returns the standard duration.
func (d Duration) Of() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration from a string such as "550ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "settings: duration")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "settings: duration")
	}
	*d = Duration(v)
	return nil
}

// Error names the file and the cause.
func (e *FileError) Error() string { return "settings: " + e.path + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// Load reads the file at path into target, a pointer to a struct. It returns a *FileError when
// the file cannot be read and Faults with every fault found when its content is wrong.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{path: path, cause: err}
	}
	return Decode(data, target)
}

// LoadKnown is Load for files that others write: names that target does not know are ignored and
// returned, such as "$.limits.colour".
func LoadKnown(path string, target any) (unknown []string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path: path, cause: err}
	}
	return DecodeKnown(data, target)
}

// DecodeKnown is Decode for data that others write; see LoadKnown.
func DecodeKnown(data []byte, target any) (unknown []string, err error) {
	return decode(data, target, true)
}

// Decode reads data into target, a pointer to a struct. Fields that data does not name keep the
// values that target already has. It returns Faults with every fault found.
func Decode(data []byte, target any) error {
	_, err := decode(data, target, false)
	return err
}

func decode(data []byte, target any, lenient bool) (unknown []string, err error) {
	ast, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{{path: "$", line: lineOfError(err), value: "", problem: err.Error()}}
	}
	ck := &checker{data: data, lenient: lenient}
	ck.value("$", &ast, reflect.TypeOf(target).Elem(), fieldRule{})
	if len(ck.faults) > 0 {
		return nil, ck.faults
	}
	ast.Standardize()
	dec := json.NewDecoder(bytes.NewReader(ast.Pack()))
	if !lenient {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(target); err != nil {
		return nil, Faults{{path: "$", line: 1, problem: err.Error()}}
	}
	return ck.unknown, nil
}
