package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

type (
	// Fault is one thing wrong in a file.
	Fault struct {
		path    string
		line    int
		value   string
		problem string
	}

	// Faults lists everything wrong in a file, in the order of the file.
	Faults []Fault
)

var lineInError = regexp.MustCompile(`line (\d+)`)

// Path returns the place in the document, such as "$.limits.body".
func (f Fault) Path() string { return f.path }

// Line returns the line of the file, from 1.
func (f Fault) Line() int { return f.line }

// Value returns the value as written.
func (f Fault) Value() string { return f.value }

// Problem returns what is wrong and what is allowed.
func (f Fault) Problem() string { return f.problem }

// String returns the fault in one line.
func (f Fault) String() string {
	if f.value == "" {
		return fmt.Sprintf("line %d: %s: %s", f.line, f.path, f.problem)
	}
	return fmt.Sprintf("line %d: %s: %s (found %s)", f.line, f.path, f.problem, f.value)
}

// Error returns all faults, one in a line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs)+1)
	lines = append(lines, fmt.Sprintf("settings: %d fault(s)", len(fs)))
	for _, f := range fs {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func lineOfError(err error) int {
	m := lineInError.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, convErr := strconv.Atoi(m[1])
	if convErr != nil {
		return 1
	}
	return n
}
