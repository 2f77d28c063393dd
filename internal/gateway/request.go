// Package gateway accepts requests from clients, forwards each to an endpoint of the service that the
// operators' configuration assigns to its route, and relays the response.
package gateway

import (
	"net/http"
	"time"

	"github.com/bergamotway/bergamotway/internal/catalog"
)

type (
	// Part is a contiguous piece of a prompt. Requests with equal leading parts share their KV cache.
	Part struct {
		// ID identifies the content of the part.
		ID string
		// Tokens is the length of the part in tokens.
		Tokens int
	}

	// Request is a client request.
	Request struct {
		// ID identifies the request; a client uses a new one for each of its own retries.
		ID string
		// Method, Host and URI are as the client sent them.
		Method string
		Host   string
		URI    string
		// Header is the header as the client sent it.
		Header http.Header
		// Key is the API key, empty if there is none.
		Key string
		// Limit is the client's timeout; zero means that it announced none.
		Limit time.Duration
		// Model is the name of a model, empty for other services.
		Model string
		// Parts are the parts of the prompt in order; the last is specific to this request.
		Parts []Part
		// PromptTokens is the length of the prompt, OutputTokens the limit of generated tokens.
		PromptTokens int
		OutputTokens int
		// Body is the whole body.
		Body []byte

		// LastEvent is the ID of the last event that the client received; empty if none.
		LastEvent string

		route    *catalog.Route
		service  *catalog.Service
		team     *catalog.Team
		arrived  time.Time
		deadline time.Time
	}

	// Delivery holds the values that the host adds to a request when it sends it to an endpoint.
	Delivery struct {
		// Instance is the only endpoint that may run the request.
		Instance string
		// Left is the time that remains until the deadline.
		Left time.Duration
		// Team is the name of the team, empty on public routes.
		Team string
		// Urgency is the scheduling rank at the endpoint, from 0 (first) to 9.
		Urgency int
		// Salt separates the KV cache of weight versions and exclusive teams; empty without a model.
		Salt string
		// Version is the only weight version that may run the request; zero means any.
		Version uint64
		// Fetch and Save hold for each part the address of the cache store to fetch it from and to save
		// it to, empty for none.
		Fetch []string
		Save  []string
		// FetchUntil is the deadline of the fetch, in milliseconds of the endpoints' clock.
		FetchUntil int64
		// LastEvent is the ID of the event after which a stream resumes; empty means from its start.
		LastEvent string
	}

	// Meta holds the metadata in the header of an endpoint's response.
	Meta struct {
		// RequestID is the ID of the request that the response belongs to; empty if not given.
		RequestID string
		// Instance is the ID of the endpoint that responded; empty if not given.
		Instance string
		// Sealed reports that the endpoint confirms the response as its own.
		Sealed bool
		// NotRun reports that the endpoint has not run the request and will not.
		NotRun bool
		// Misdirected reports that the endpoint or its weight version is not the expected one.
		Misdirected bool
		// Encoded reports a content encoding, which was added on the way from the endpoint.
		Encoded bool
		// Version is the weight version; zero if not given.
		Version uint64
		// ColdFor is the time for which the endpoint remains cold.
		ColdFor time.Duration
		// Leaving reports that the endpoint asks to close the connection.
		Leaving bool
	}

	// Codec translates between HTTP messages and the types of this package.
	Codec interface {
		// Request reads the header of a client's request.
		Request(hr *http.Request) (*Request, error)
		// Head encodes the header of a request to an endpoint, including the empty line at its end.
		Head(rq *Request, dl Delivery) []byte
		// Meta reads the header of an endpoint's response.
		Meta(status int, hd http.Header) Meta
		// Answer copies the header of an endpoint's response to that of the client's response.
		Answer(dst, src http.Header)
		// Refuse writes the header of a response that the host creates itself; a zero retryAfter adds no
		// Retry-After.
		Refuse(dst http.Header, rq *Request, retryAfter time.Duration)
	}
)

// conversationID returns the ID of the last part that other requests share; it identifies the
// conversation.
func (rq *Request) conversationID() string {
	if len(rq.Parts) < 2 {
		return ""
	}
	return rq.Parts[len(rq.Parts)-2].ID
}

// memoryTokens returns the KV cache memory that the request adds at an engine, in tokens. It leaves out
// the leading parts that many conversations share, as an engine holds these once for all of them.
func (rq *Request) memoryTokens() int {
	own := rq.PromptTokens + rq.OutputTokens
	for k := range max(0, len(rq.Parts)-2) {
		own -= rq.Parts[k].Tokens
	}
	return max(0, own)
}

// urgency returns the scheduling rank of the request; the priority of its team overrides that of its
// route.
func (rq *Request) urgency() int {
	if rq.team != nil && rq.team.HasPriority {
		return min(max(rq.team.Priority, 0), 9)
	}
	return min(max(rq.route.Priority, 0), 9)
}
