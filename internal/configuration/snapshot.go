package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	"github.com/bergamotway/bergamotway/internal/settings"
)

// Snapshot is one revision of the configuration. It is immutable and safe for concurrent use.
// At revision zero there is no configuration, and the host is not ready.
type Snapshot struct {
	revision         uint64
	author           string
	doc              Document
	classes          map[string]Class
	models           map[string]Model
	zones            map[string]Zone
	services         map[string]Service
	teams            map[string]Team
	teamByTokenHash  map[string]string
	endpointsByModel map[string][]Endpoint
	endpoints        map[string]Endpoint
	leavingHosts     map[string]bool
}

const defaultColdStartTime = settings.Duration(30 * time.Second)

// NewSnapshot indexes a document and fills in the defaults of numbers that are zero.
func NewSnapshot(revision uint64, author string, doc Document) *Snapshot {
	sn := &Snapshot{
		revision:         revision,
		author:           author,
		doc:              doc,
		classes:          make(map[string]Class, len(doc.Classes)),
		models:           make(map[string]Model, len(doc.Models)),
		zones:            make(map[string]Zone, len(doc.Zones)),
		services:         make(map[string]Service, len(doc.Services)),
		teams:            make(map[string]Team, len(doc.Teams)),
		teamByTokenHash:  make(map[string]string, len(doc.Teams)),
		endpointsByModel: make(map[string][]Endpoint, len(doc.Models)),
		endpoints:        make(map[string]Endpoint, len(doc.Endpoints)),
		leavingHosts:     make(map[string]bool),
	}
	for _, c := range doc.Classes {
		sn.classes[c.Name] = c.withDefaults()
	}
	for _, m := range doc.Models {
		sn.models[m.Name] = m.withDefaults()
	}
	for _, z := range doc.Zones {
		sn.zones[z.Name] = z
	}
	for _, s := range doc.Services {
		sn.services[s.Name] = s
	}
	for _, e := range doc.Endpoints {
		sn.endpointsByModel[e.Model] = append(sn.endpointsByModel[e.Model], e)
		sn.endpoints[e.Name] = e
	}
	for _, h := range doc.Hosts {
		sn.leavingHosts[h.Name] = h.Leaving
	}
	sn.indexTeams()
	return sn
}

func (sn *Snapshot) indexTeams() {
	for _, t := range sn.doc.Teams {
		if t.Weight == 0 {
			t.Weight = 1
		}
		sn.teams[t.Name] = t
		for _, th := range t.TokenHashes {
			sn.teamByTokenHash[th] = t.Name
		}
	}
}

func (c Class) withDefaults() Class {
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.RetryShare == 0 {
		c.RetryShare = defaultRetryShare
	}
	return c
}

func (m Model) withDefaults() Model {
	if m.ContextWindow == 0 {
		m.ContextWindow = defaultContextWindow
	}
	if m.ColdRequestLimit == 0 {
		m.ColdRequestLimit = defaultColdRequestLimit
	}
	if m.ColdStartTime == 0 {
		m.ColdStartTime = defaultColdStartTime
	}
	if m.PrefillRate == 0 {
		m.PrefillRate = defaultPrefillRate
	}
	return m
}

// Revision returns the revision; zero means that no configuration has been received yet.
func (sn *Snapshot) Revision() uint64 { return sn.revision }

// Author returns the author of the revision.
func (sn *Snapshot) Author() string { return sn.author }

// Document returns the document. The caller must not change it.
func (sn *Snapshot) Document() Document { return sn.doc }

// Class returns the class with the given name.
func (sn *Snapshot) Class(name string) (Class, bool) {
	c, ok := sn.classes[name]
	return c, ok
}

// Model returns the model with the given name.
func (sn *Snapshot) Model(name string) (Model, bool) {
	m, ok := sn.models[name]
	return m, ok
}

// Zone returns the availability zone with the given name; an unknown zone counts as in service.
func (sn *Snapshot) Zone(name string) Zone { return sn.zones[name] }

// Service returns the plain service with the given name.
func (sn *Snapshot) Service(name string) (Service, bool) {
	s, ok := sn.services[name]
	return s, ok
}

// Team returns the team with the given name.
func (sn *Snapshot) Team(name string) (Team, bool) {
	t, ok := sn.teams[name]
	return t, ok
}

// TeamOfToken returns the team that a bearer token authenticates.
func (sn *Snapshot) TeamOfToken(token string) (Team, bool) {
	th := HashToken(token)
	t, ok := sn.teams[sn.teamByTokenHash[th]]
	if !ok {
		return Team{}, false
	}
	match := slices.ContainsFunc(t.TokenHashes, func(known string) bool {
		return subtle.ConstantTimeCompare([]byte(known), []byte(th)) == 1
	})
	return t, match
}

// EndpointsOf returns all endpoints of a model. The caller must not change the slice.
func (sn *Snapshot) EndpointsOf(model string) []Endpoint { return sn.endpointsByModel[model] }

// Endpoint returns the endpoint with the given name.
func (sn *Snapshot) Endpoint(name string) (Endpoint, bool) {
	e, ok := sn.endpoints[name]
	return e, ok
}

// StoreHosts returns all store hosts. The caller must not change the slice.
func (sn *Snapshot) StoreHosts() []StoreHost { return sn.doc.StoreHosts }

// IsHostLeaving reports whether an operator ordered the entry host to drain.
func (sn *Snapshot) IsHostLeaving(host string) bool { return sn.leavingHosts[host] }

// LoadLimit returns the maximum number of endpoints that load weights concurrently.
func (sn *Snapshot) LoadLimit() int {
	if sn.doc.Fleet.LoadLimit == 0 {
		return defaultLoadLimit
	}
	return sn.doc.Fleet.LoadLimit
}

// LinkRateOrDefault returns the bandwidth budget of the link to the store host, in bytes/s.
func (sh StoreHost) LinkRateOrDefault() float64 {
	if sh.LinkRate == 0 {
		return defaultLinkRate
	}
	return sh.LinkRate
}

// HashToken returns the hash under which a bearer token is stored, in hexadecimal digits.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
