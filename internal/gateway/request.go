// Package gateway takes requests from clients, forwards each to an endpoint of the service that
// the operators' configuration names, and returns the endpoint's answer.
package gateway

import (
	"net/http"
	"time"

	"github.com/bergamotway/bergamotway/internal/catalog"
)

type (
	// Part is one part of a prompt. Requests with equal parts share their KV cache.
	Part struct {
		// ID identifies the content of the part.
		ID string
		// Tokens is the length of the part.
		Tokens int
	}

	// Request is what a client asks for.
	Request struct {
		// ID identifies the request; each attempt of a client has its own.
		ID string
		// Method, Host and URI are as the client sent them.
		Method string
		Host   string
		URI    string
		// Header is the header as the client sent it.
		Header http.Header
		// Key is the API key, empty if there is none.
		Key string
		// Limit is how long the client waits; zero means that it does not say.
		Limit time.Duration
		// Model is the name of a model, empty for other services.
		Model string
		// Parts are the parts of the prompt in order; the last belongs to the request itself.
		Parts []Part
		// PromptTokens and OutputTokens are the length of the prompt and the most that is generated.
		PromptTokens int
		OutputTokens int
		// Body is the whole body.
		Body []byte

		// LastEvent is the last event that the client has; empty if it has none.
		LastEvent string

		route   *catalog.Route
		service *catalog.Service
		team    *catalog.Team
		arrived time.Time
		until   time.Time
	}

	// Delivery is what the host adds when it sends a request to an endpoint.
	Delivery struct {
		// Instance is the only endpoint that may run the request.
		Instance string
		// Left is how long the endpoint may work on it.
		Left time.Duration
		// Team is the name of the team, empty on public routes.
		Team string
		// Urgency is from 0, which goes first, to 9.
		Urgency int
		// Salt separates the KV cache of versions and exclusive teams; empty means no model.
		Salt string
		// Version is the only version of the weights that may run the request; zero means any.
		Version uint64
		// Fetch and Save name a cache store's address for each part, or are empty.
		Fetch []string
		Save  []string
		// FetchUntil ends the fetch, in milliseconds of the endpoints' clock.
		FetchUntil int64
		// LastEvent is the event after which a stream goes on; empty means from its start.
		LastEvent string
	}

	// Meta is what the header of an endpoint's answer says.
	Meta struct {
		// RequestID is the request that the answer belongs to; empty if it does not say.
		RequestID string
		// Instance is the endpoint that answered; empty if it does not say.
		Instance string
		// Sealed answers are confirmed by the endpoint as its own.
		Sealed bool
		// NotRun reports that the request has not run there, and will not.
		NotRun bool
		// Misdirected reports that the endpoint or its weights are not the expected ones.
		Misdirected bool
		// Encoded reports a body in another encoding than the endpoint's own.
		Encoded bool
		// Version is that of the weights; zero if it does not say.
		Version uint64
		// ColdFor is how much longer the endpoint is cold.
		ColdFor time.Duration
		// Leaving reports an endpoint that asks to close the connection.
		Leaving bool
	}

	// Codec translates between HTTP messages and the types of this package.
	Codec interface {
		// Request reads the header of a client's request.
		Request(hr *http.Request) (*Request, error)
		// Head returns the header of a request to an endpoint, up to the empty line.
		Head(rq *Request, dl Delivery) []byte
		// Meta reads the header of an endpoint's answer.
		Meta(status int, hd http.Header) Meta
		// Answer copies the header of an endpoint's answer to the client's.
		Answer(dst, src http.Header)
		// Refuse writes the header of an answer of the host's own; after is when to come back.
		Refuse(dst http.Header, rq *Request, after time.Duration)
	}
)

// session returns the last part that other requests share, which names the conversation.
func (rq *Request) session() string {
	if len(rq.Parts) < 2 {
		return ""
	}
	return rq.Parts[len(rq.Parts)-2].ID
}

// tokens returns the memory that the request takes at an engine for itself. Parts with which many
// conversations begin are there once for all of them.
func (rq *Request) tokens() int {
	own := rq.PromptTokens + rq.OutputTokens
	for k := range max(0, len(rq.Parts)-2) {
		own -= rq.Parts[k].Tokens
	}
	return max(0, own)
}

// urgency returns the rank of the request; teams go before routes.
func (rq *Request) urgency() int {
	if rq.team != nil && rq.team.HasPriority {
		return min(max(rq.team.Priority, 0), 9)
	}
	return min(max(rq.route.Priority, 0), 9)
}
