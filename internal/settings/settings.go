// Package settings reads JSON with comments and validates the whole document before it sets a field.
//
// The constraints are declared by struct tags on the target type:
//
//	json:"name"            the name of the field; every field must have this tag
//	check:"required"       the field must be present
//	check:"ip-port"        an IP address and a port
//	check:"name"           a non-empty kebab-case name, which may contain dots
//	min:"1" max:"10"       the allowed range of a number or duration
//	one-of:"a b c"         the allowed values of a string
//
// On a list or a map, all but check:"required" apply to each element.
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
	// Duration is a time.Duration that is encoded as a string, such as "550ms".
	Duration time.Duration

	// FileError reports a file that cannot be read.
	FileError struct {
		path  string
		cause error
	}
)

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration from a string such as "550ms".
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

// Load reads the file at path into target, a pointer to a struct. It returns a *FileError if the
// file cannot be read, and Faults that list every fault if its content is invalid.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{path: path, cause: err}
	}
	return Decode(data, target)
}

// LoadLenient is like Load but ignores unknown names, for files written by other systems. It returns
// the paths of the ignored names, such as "$.limits.colour".
func LoadLenient(path string, target any) (unknown []string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path: path, cause: err}
	}
	return DecodeLenient(data, target)
}

// DecodeLenient is like Decode but ignores unknown names and returns their paths.
func DecodeLenient(data []byte, target any) (unknown []string, err error) {
	return decode(data, target, true)
}

// Decode decodes data into target, a pointer to a struct. Fields that are absent from data keep
// their present values in target. It returns Faults that list every fault.
func Decode(data []byte, target any) error {
	_, err := decode(data, target, false)
	return err
}

func decode(data []byte, target any, lenient bool) (unknown []string, err error) {
	ast, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{{path: "$", line: parseErrorLine(err), value: "", problem: err.Error()}}
	}
	ck := &checker{data: data, lenient: lenient}
	ck.checkValue("$", &ast, reflect.TypeOf(target).Elem(), fieldRule{})
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
	return ck.unknownPaths, nil
}
