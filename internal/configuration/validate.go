package configuration

import (
	"encoding/json"
	"strings"

	"github.com/bergamotway/bergamotway/internal/settings"
)

// InvalidError lists the problems of an invalid document. Nothing was changed.
type InvalidError struct {
	problems []string
}

// Error lists all problems, one per line.
func (e *InvalidError) Error() string {
	return "configuration: invalid:\n  " + strings.Join(e.problems, "\n  ")
}

// Problems returns the problems. All faults of single fields, such as values out of range, share one
// element.
func (e *InvalidError) Problems() []string { return e.problems }

// Validate checks the fields of a document, the uniqueness of names and the references by name. It
// returns an *InvalidError that lists every problem.
func Validate(doc Document) error {
	var problems []string
	if data, err := json.Marshal(doc); err != nil {
		problems = append(problems, err.Error())
	} else if err := settings.Decode(data, &Document{}); err != nil {
		problems = append(problems, err.Error())
	}
	models := checkUniqueNames(&problems, "model", doc.Models, func(m Model) string { return m.Name })
	zones := checkUniqueNames(&problems, "availability zone", doc.Zones, func(z Zone) string { return z.Name })
	checkUniqueNames(&problems, "class", doc.Classes, func(c Class) string { return c.Name })
	checkUniqueNames(&problems, "team", doc.Teams, func(t Team) string { return t.Name })
	checkUniqueNames(&problems, "endpoint", doc.Endpoints, func(e Endpoint) string { return e.Name })
	checkUniqueNames(&problems, "store host", doc.StoreHosts, func(s StoreHost) string { return s.Name })
	checkUniqueNames(&problems, "service", doc.Services, func(s Service) string { return s.Name })
	for _, c := range doc.Classes {
		if !models[c.Model] {
			problems = append(problems, "class "+c.Name+" names the unknown model "+c.Model)
		}
	}
	for _, e := range doc.Endpoints {
		if !models[e.Model] {
			problems = append(problems, "endpoint "+e.Name+" names the unknown model "+e.Model)
		}
		if !zones[e.Zone] {
			problems = append(problems, "endpoint "+e.Name+" names the unknown availability zone "+e.Zone)
		}
	}
	for _, s := range doc.StoreHosts {
		if !zones[s.Zone] {
			problems = append(problems, "store host "+s.Name+" names the unknown availability zone "+s.Zone)
		}
	}
	if len(problems) > 0 {
		return &InvalidError{problems: problems}
	}
	return nil
}

func checkUniqueNames[T any](problems *[]string, kind string, items []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		if seen[name(it)] {
			*problems = append(*problems, kind+" "+name(it)+" is named twice")
		}
		seen[name(it)] = true
	}
	return seen
}
