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
	valueShownBytes    = 60
	nearestMaxDistance = 4
)

type (
	checker struct {
		data   []byte
		faults Faults
		// lenient checkers collect unknown names instead of faulting them.
		lenient bool
		unknown []string
	}

	fieldRule struct {
		check string
		min   string
		max   string
		oneOf string
	}

	member struct {
		name  string
		value *hujson.Value
	}
)

var (
	durationType = reflect.TypeFor[Duration]()
	kebabName    = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)
)

func (ck *checker) value(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == durationType {
		ck.duration(path, v, rule)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		ck.object(path, v, t)
	case reflect.Slice:
		ck.array(path, v, t, rule)
	case reflect.Map:
		ck.table(path, v, t, rule)
	case reflect.String:
		ck.text(path, v, rule)
	case reflect.Bool:
		ck.boolean(path, v)
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		ck.number(path, v, t, rule)
	default:
	}
}

func (ck *checker) object(path string, v *hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		ck.fault(path, v, "must be an object")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range obj.Members {
		mb := memberOf(&obj.Members[i])
		sf, known := fields[mb.name]
		switch {
		case seen[mb.name]:
			ck.fault(path+"."+mb.name, mb.value, "is named twice")
		case !known && ck.lenient:
			ck.unknown = append(ck.unknown, path+"."+mb.name)
		case !known:
			ck.fault(path+"."+mb.name, mb.value, unknownName(mb.name, fields))
		default:
			ck.value(path+"."+mb.name, mb.value, sf.Type, ruleOf(sf))
		}
		seen[mb.name] = true
	}
	for name, sf := range fields {
		if strings.Contains(sf.Tag.Get("check"), "required") && !seen[name] {
			ck.faults = append(ck.faults, Fault{path: path + "." + name, line: ck.line(v), problem: "is missing"})
		}
	}
	slices.SortStableFunc(ck.faults, func(a, b Fault) int {
		if a.line != b.line {
			return a.line - b.line
		}
		return strings.Compare(a.path, b.path)
	})
}

func (ck *checker) array(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		ck.fault(path, v, "must be a list")
		return
	}
	for i := range arr.Elements {
		ck.value(fmt.Sprintf("%s[%d]", path, i), &arr.Elements[i], t.Elem(), rule)
	}
}

func (ck *checker) table(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		ck.fault(path, v, "must be an object")
		return
	}
	for i := range obj.Members {
		mb := memberOf(&obj.Members[i])
		ck.value(path+"."+mb.name, mb.value, t.Elem(), rule)
	}
}

func (ck *checker) text(path string, v *hujson.Value, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		ck.fault(path, v, "must be a string")
		return
	}
	text := lit.String()
	switch {
	case strings.Contains(rule.check, "ip-port"):
		if ap, err := netip.ParseAddrPort(text); err != nil || ap.Port() == 0 {
			ck.fault(path, v, "must be an IP number and a port from 1 to 65535, such as 10.0.0.1:8080")
		}
	case strings.Contains(rule.check, "name"):
		if !kebabName.MatchString(text) {
			ck.fault(path, v, "must be a kebab-case name")
		}
	case rule.oneOf != "":
		if !slices.Contains(strings.Fields(rule.oneOf), text) {
			ck.fault(path, v, "must be one of: "+strings.ReplaceAll(rule.oneOf, " ", ", "))
		}
	}
}

func (ck *checker) boolean(path string, v *hujson.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		ck.fault(path, v, "must be true or false")
	}
}

func (ck *checker) number(path string, v *hujson.Value, t reflect.Type, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		ck.fault(path, v, "must be a number"+rangeText(rule))
		return
	}
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || (t.Kind() != reflect.Float64 && f != float64(int64(f))) {
		ck.fault(path, v, "must be a whole number"+rangeText(rule))
		return
	}
	lo, hasLo := parseFloat(rule.min)
	hi, hasHi := parseFloat(rule.max)
	if (hasLo && f < lo) || (hasHi && f > hi) {
		ck.fault(path, v, "is out of range"+rangeText(rule))
	}
}

func (ck *checker) duration(path string, v *hujson.Value, rule fieldRule) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		ck.fault(path, v, `must be a duration such as "550ms"`+rangeText(rule))
		return
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		ck.fault(path, v, `must be a duration such as "550ms"`+rangeText(rule))
		return
	}
	lo, loErr := time.ParseDuration(rule.min)
	hi, hiErr := time.ParseDuration(rule.max)
	if (loErr == nil && d < lo) || (hiErr == nil && d > hi) {
		ck.fault(path, v, "is out of range"+rangeText(rule))
	}
}

func (ck *checker) fault(path string, v *hujson.Value, problem string) {
	ck.faults = append(ck.faults, Fault{path: path, line: ck.line(v), value: shown(v), problem: problem})
}

func (ck *checker) line(v *hujson.Value) int {
	return 1 + bytes.Count(ck.data[:min(v.StartOffset, len(ck.data))], []byte("\n"))
}

func memberOf(m *hujson.ObjectMember) member {
	name := ""
	if lit, ok := m.Name.Value.(hujson.Literal); ok {
		name = lit.String()
	}
	return member{name: name, value: &m.Value}
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
		check: sf.Tag.Get("check"),
		min:   sf.Tag.Get("min"),
		max:   sf.Tag.Get("max"),
		oneOf: sf.Tag.Get("one-of"),
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

func unknownName(name string, fields map[string]reflect.StructField) string {
	best, bestDistance := "", nearestMaxDistance+1
	for known := range fields {
		d := editDistance(name, known)
		if d < bestDistance || (d == bestDistance && known < best) {
			best, bestDistance = known, d
		}
	}
	if best == "" {
		return "is not a known name"
	}
	return fmt.Sprintf("is not a known name; the nearest is %q", best)
}

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

func shown(v *hujson.Value) string {
	cp := v.Clone()
	cp.Minimize()
	text := strings.TrimSpace(cp.String())
	if len(text) > valueShownBytes {
		text = text[:valueShownBytes] + "..."
	}
	return text
}

func parseFloat(text string) (float64, bool) {
	f, err := strconv.ParseFloat(text, 64)
	return f, err == nil
}
