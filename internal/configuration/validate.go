package configuration

import (
	"encoding/json"
	"strings"

	"github.com/bergamotway/bergamotway/internal/settings"
)

// InvalidError lists the rules that a document breaks. Nothing was changed.
type InvalidError struct {
	problems []string
}

// Error returns all problems, one in a line.
func (e *InvalidError) Error() string {
	return "configuration: invalid:\n  " + strings.Join(e.problems, "\n  ")
}

// Problems returns one sentence for each broken rule.
func (e *InvalidError) Problems() []string { return e.problems }

// Validate checks fields, unique names and references between the parts of a document. It
// returns an *InvalidError with every problem.
func Validate(doc Document) error {
	var problems []string
	if data, err := json.Marshal(doc); err != nil {
		problems = append(problems, err.Error())
	} else if err := settings.Decode(data, &Document{}); err != nil {
		problems = append(problems, err.Error())
	}
	models := uniqueNames(&problems, "model", doc.Models, func(m Model) string { return m.Name })
	zones := uniqueNames(&problems, "availability zone", doc.Zones, func(z Zone) string { return z.Name })
	uniqueNames(&problems, "class", doc.Classes, func(c Class) string { return c.Name })
	uniqueNames(&problems, "team", doc.Teams, func(t Team) string { return t.Name })
	uniqueNames(&problems, "endpoint", doc.Endpoints, func(e Endpoint) string { return e.Name })
	uniqueNames(&problems, "store host", doc.StoreHosts, func(s StoreHost) string { return s.Name })
	uniqueNames(&problems, "service", doc.Services, func(s Service) string { return s.Name })
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

func uniqueNames[T any](problems *[]string, kind string, items []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		if seen[name(it)] {
			*problems = append(*problems, kind+" "+name(it)+" is named twice")
		}
		seen[name(it)] = true
	}
	return seen
}
