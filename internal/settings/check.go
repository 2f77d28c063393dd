package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

const (
	maxExcerptBytes       = 60
	maxSuggestionDistance = 4
)

type (
	checker struct {
		data   []byte
		faults Faults
		// lenient makes the checker collect unknown names instead of reporting them as faults.
		lenient      bool
		unknownPaths []string
	}

	fieldRule struct {
		checks string
		min    string
		max    string
		oneOf  string
	}

	objectMember struct {
		name  string
		value *hujson.Value
	}
)

var (
	durationType     = reflect.TypeFor[Duration]()
	kebabCasePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)
)

// checkValue adds a fault for each part of v that does not fit type t or breaks a rule. Types that have
// no case are left to the decoder.
func (ck *checker) checkValue(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == durationType {
		ck.checkDuration(path, v, rule)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		ck.checkObject(path, v, t)
	case reflect.Slice:
		ck.checkArray(path, v, t, rule)
	case reflect.Map:
		ck.checkMap(path, v, t, rule)
	case reflect.String:
		ck.checkString(path, v, rule)
	case reflect.Bool:
		ck.checkBool(path, v)
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		ck.checkNumber(path, v, t, rule)
	default:
	}
}

func (ck *checker) checkObject(path string, v *hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		ck.addFault(path, v, "must be an object")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range obj.Members {
		mb := newObjectMember(&obj.Members[i])
		sf, known := fields[mb.name]
		switch {
		case seen[mb.name]:
			ck.addFault(path+"."+mb.name, mb.value, "is named twice")
		case !known && ck.lenient:
			ck.unknownPaths = append(ck.unknownPaths, path+"."+mb.name)
		case !known:
			ck.addFault(path+"."+mb.name, mb.value, unknownNameProblem(mb.name, fields))
		default:
			ck.checkValue(path+"."+mb.name, mb.value, sf.Type, ruleOf(sf))
		}
		seen[mb.name] = true
	}
	for name, sf := range fields {
		if strings.Contains(sf.Tag.Get("check"), "required") && !seen[name] {
			ck.faults = append(ck.faults, Fault{path: path + "." + name, line: ck.lineOf(v), problem: "is missing"})
		}
	}
	slices.SortStableFunc(ck.faults, func(a, b Fault) int {
		if a.line != b.line {
			return a.line - b.line
		}
		return strings.Compare(a.path, b.path)
	})
}

func (ck *checker) checkArray(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		ck.addFault(path, v, "must be a list")
		return
	}
	for i := range arr.Elements {
		ck.checkValue(fmt.Sprintf("%s[%d]", path, i), &arr.Elements[i], t.Elem(), rule)
	}
}

func (ck *checker) checkMap(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		ck.addFault(path, v, "must be an object")
		return
	}
	for i := range obj.Members {
		mb := newObjectMember(&obj.Members[i])
		ck.checkValue(path+"."+mb.name, mb.value, t.Elem(), rule)
	}
}

func (ck *checker) checkString(path string, v *hujson.Value, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		ck.addFault(path, v, "must be a string")
		return
	}
	text := lit.String()
	switch {
	case strings.Contains(rule.checks, "ip-port"):
		if ap, err := netip.ParseAddrPort(text); err != nil || ap.Port() == 0 {
			ck.addFault(path, v, "must be an IP number and a port from 1 to 65535, such as 10.0.0.1:8080")
		}
	case strings.Contains(rule.checks, "name"):
		if !kebabCasePattern.MatchString(text) {
			ck.addFault(path, v, "must be a kebab-case name")
		}
	case rule.oneOf != "":
		if !slices.Contains(strings.Fields(rule.oneOf), text) {
			ck.addFault(path, v, "must be one of: "+strings.ReplaceAll(rule.oneOf, " ", ", "))
		}
	}
}

func (ck *checker) checkBool(path string, v *hujson.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		ck.addFault(path, v, "must be true or false")
	}
}

func (ck *checker) checkNumber(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		ck.addFault(path, v, "must be a number"+rangeText(rule))
		return
	}
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || (t.Kind() != reflect.Float64 && f != float64(int64(f))) {
		ck.addFault(path, v, "must be a whole number"+rangeText(rule))
		return
	}
	lo, hasLo := parseFloat(rule.min)
	hi, hasHi := parseFloat(rule.max)
	if (hasLo && f < lo) || (hasHi && f > hi) {
		ck.addFault(path, v, "is out of range"+rangeText(rule))
	}
}

func (ck *checker) checkDuration(path string, v *hujson.Value, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		ck.addFault(path, v, `must be a duration such as "550ms"`+rangeText(rule))
		return
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		ck.addFault(path, v, `must be a duration such as "550ms"`+rangeText(rule))
		return
	}
	lo, loErr := time.ParseDuration(rule.min)
	hi, hiErr := time.ParseDuration(rule.max)
	if (loErr == nil && d < lo) || (hiErr == nil && d > hi) {
		ck.addFault(path, v, "is out of range"+rangeText(rule))
	}
}

func (ck *checker) addFault(path string, v *hujson.Value, problem string) {
	ck.faults = append(ck.faults, Fault{path: path, line: ck.lineOf(v), value: excerpt(v), problem: problem})
}

func (ck *checker) lineOf(v *hujson.Value) int {
	return 1 + bytes.Count(ck.data[:min(v.StartOffset, len(ck.data))], []byte("\n"))
}

func newObjectMember(m *hujson.ObjectMember) objectMember {
	name := ""
	if lit, ok := m.Name.Value.(hujson.Literal); ok {
		name = lit.String()
	}
	return objectMember{name: name, value: &m.Value}
}

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	out := make(map[string]reflect.StructField)
	for i := range t.NumField() {
		sf := t.Field(i)
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = sf
		}
	}
	return out
}

func ruleOf(sf reflect.StructField) fieldRule {
	return fieldRule{
		checks: sf.Tag.Get("check"),
		min:    sf.Tag.Get("min"),
		max:    sf.Tag.Get("max"),
		oneOf:  sf.Tag.Get("one-of"),
	}
}

func rangeText(rule fieldRule) string {
	switch {
	case rule.min != "" && rule.max != "":
		return ", from " + rule.min + " to " + rule.max
	case rule.min != "":
		return ", at least " + rule.min
	case rule.max != "":
		return ", at most " + rule.max
	default:
		return ""
	}
}

func unknownNameProblem(name string, fields map[string]reflect.StructField) string {
	nearest, nearestDistance := "", maxSuggestionDistance+1
	for known := range fields {
		d := editDistance(name, known)
		if d < nearestDistance || (d == nearestDistance && known < nearest) {
			nearest, nearestDistance = known, d
		}
	}
	if nearest == "" {
		return "is not a known name"
	}
	return fmt.Sprintf("is not a known name; the nearest is %q", nearest)
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		prev := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := prev
			if a[i] != b[j] {
				cost++
			}
			prev = row[j+1]
			row[j+1] = min(cost, row[j]+1, prev+1)
		}
	}
	return row[len(b)]
}

// excerpt returns the beginning of a value, without comments and white space.
func excerpt(v *hujson.Value) string {
	cp := v.Clone()
	cp.Minimize()
	text := strings.TrimSpace(cp.String())
	if len(text) > maxExcerptBytes {
		text = text[:maxExcerptBytes] + "..."
	}
	return text
}

func parseFloat(text string) (float64, bool) {
	f, err := strconv.ParseFloat(text, 64)
	return f, err == nil
}
