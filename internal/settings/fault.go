package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

type (
	// Fault is one problem in a settings file.
	Fault struct {
		path    string
		line    int
		value   string
		problem string
	}

	// Faults lists all problems in a settings file, in the order of their lines.
	Faults []Fault
)

var errorLinePattern = regexp.MustCompile(`line (\d+)`)

// Path returns the path of the field in the document, such as "$.limits.body".
func (f Fault) Path() string { return f.path }

// Line returns the line number in the file, counted from 1.
func (f Fault) Line() int { return f.line }

// Value returns the beginning of the value as written, or an empty string if the field is missing.
func (f Fault) Value() string { return f.value }

// Problem describes the fault and the allowed values.
func (f Fault) Problem() string { return f.problem }

// String formats the fault as one line.
func (f Fault) String() string {
	if f.value == "" {
		return fmt.Sprintf("line %d: %s: %s", f.line, f.path, f.problem)
	}
	return fmt.Sprintf("line %d: %s: %s (found %s)", f.line, f.path, f.problem, f.value)
}

// Error lists all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs)+1)
	lines = append(lines, fmt.Sprintf("settings: %d fault(s)", len(fs)))
	for _, f := range fs {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func parseErrorLine(err error) int {
	m := errorLinePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, convErr := strconv.Atoi(m[1])
	if convErr != nil {
		return 1
	}
	return n
}
