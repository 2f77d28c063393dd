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
	// Head maps the name of each part of one revision to the hash of its content. It is the only
	// key that a change swaps, so a change of several parts is atomic: parts are
	// content-addressed and written before the head.
	Head struct {
		Revision uint64            `json:"revision"`
		Author   string            `json:"author"`
		Parts    map[string]string `json:"parts"`
	}

	// PartError reports a part of the configuration that is missing or corrupt, or too large to write.
	PartError struct {
		part  string
		cause error
	}

	missingPartError string
)

const (
	headKey    = "configuration/head"
	partPrefix = "configuration/part/"

	teamBucketCount     = 64
	endpointBucketCount = 16
	partHashHexDigits   = 20
)

// Error names the part and the cause.
func (e *PartError) Error() string {
	return fmt.Sprintf("configuration: part %q: %v", e.part, e.cause)
}

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.cause }

func (e missingPartError) Error() string { return "no content with hash " + string(e) }

// splitParts encodes a document as parts, each well below the value size limit of the store. Teams
// and endpoints are spread over hash buckets, so that a change of one team rewrites a single part.
func splitParts(doc Document) (map[string][]byte, error) {
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
		g := group(fmt.Sprintf("teams-%02d", rendezvous.Hash(t.Name)%teamBucketCount))
		g.Teams = append(g.Teams, t)
	}
	for _, e := range doc.Endpoints {
		g := group(fmt.Sprintf("endpoints-%02d", rendezvous.Hash(e.Name)%endpointBucketCount))
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

// joinParts decodes the document from the parts of a head, in the order of the part names.
func joinParts(hd Head, content map[string][]byte) (Document, error) {
	var doc Document
	for _, name := range sortedKeys(hd.Parts) {
		hash := hd.Parts[name]
		data, ok := content[hash]
		if !ok {
			return Document{}, &PartError{part: name, cause: missingPartError(hash)}
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

func partHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])[:partHashHexDigits]
}
