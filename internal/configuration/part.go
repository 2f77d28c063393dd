package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Head names the parts of one revision. It is the only key that a change swaps, so a change
	// over several parts is atomic: parts are named by their content and written first.
	Head struct {
		Revision uint64            `json:"revision"`
		Author   string            `json:"author"`
		Parts    map[string]string `json:"parts"`
	}

	// PartError reports a part that is missing or damaged.
	PartError struct {
		part  string
		cause error
	}

	partMissing string
)

const (
	headKey    = "configuration/head"
	partPrefix = "configuration/part/"

	teamBuckets     = 64
	endpointBuckets = 16
	partHashDigits  = 20
)

// Error names the part.
func (e *PartError) Error() string {
	return fmt.Sprintf("configuration: part %q: %v", e.part, e.cause)
}

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.cause }

func (e partMissing) Error() string { return "no content with hash " + string(e) }

// split cuts a document into parts, each well below the value limit of the service. A change of
// one team rewrites one of its buckets only.
func split(doc Document) (map[string][]byte, error) {
	groups := map[string]*Document{
		"base": {Classes: doc.Classes, Models: doc.Models, Zones: doc.Zones, Hosts: doc.Hosts, Fleet: doc.Fleet},
		"back": {StoreHosts: doc.StoreHosts, Services: doc.Services},
	}
	group := func(name string) *Document {
		if groups[name] == nil {
			groups[name] = &Document{}
		}
		return groups[name]
	}
	for _, t := range doc.Teams {
		g := group(fmt.Sprintf("teams-%02d", rendezvous.Hash(t.Name)%teamBuckets))
		g.Teams = append(g.Teams, t)
	}
	for _, e := range doc.Endpoints {
		g := group(fmt.Sprintf("endpoints-%02d", rendezvous.Hash(e.Name)%endpointBuckets))
		g.Endpoints = append(g.Endpoints, e)
	}
	out := make(map[string][]byte, len(groups))
	for name, g := range groups {
		data, err := json.Marshal(g)
		if err != nil {
			return nil, &PartError{part: name, cause: err}
		}
		if len(data) > keyvalue.ValueLimit {
			return nil, &PartError{part: name, cause: keyvalue.NewSizeError(name, len(data))}
		}
		out[name] = data
	}
	return out, nil
}

// join puts the parts of a head together. Parts are taken in the order of their names.
func join(hd Head, content map[string][]byte) (Document, error) {
	var doc Document
	for _, name := range sortedKeys(hd.Parts) {
		hash := hd.Parts[name]
		data, ok := content[hash]
		if !ok {
			return Document{}, &PartError{part: name, cause: partMissing(hash)}
		}
		var g Document
		if err := json.Unmarshal(data, &g); err != nil {
			return Document{}, &PartError{part: name, cause: err}
		}
		doc.Classes = append(doc.Classes, g.Classes...)
		doc.Models = append(doc.Models, g.Models...)
		doc.Zones = append(doc.Zones, g.Zones...)
		doc.Hosts = append(doc.Hosts, g.Hosts...)
		if g.Fleet != (Fleet{}) {
			doc.Fleet = g.Fleet
		}
		doc.StoreHosts = append(doc.StoreHosts, g.StoreHosts...)
		doc.Services = append(doc.Services, g.Services...)
		doc.Teams = append(doc.Teams, g.Teams...)
		doc.Endpoints = append(doc.Endpoints, g.Endpoints...)
	}
	return doc, nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])[:partHashDigits]
}
