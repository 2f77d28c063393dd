// Package gateway accepts requests from clients, forwards each to an endpoint of the service that the
// operators' configuration assigns to its route, and relays the response.
package gateway

import (
	"net/http"
	"time"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

type (
	// PromptPart is a contiguous piece of a prompt. Requests with equal leading parts share their KV cache.
	PromptPart struct {
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
		// APIKey is the API key, empty if there is none.
		APIKey string
		// Timeout is the client's timeout; zero means that it announced none.
		Timeout time.Duration
		// Model is the name of a model, empty for other services.
		Model string
		// PromptParts are the parts of the prompt in order; the last is specific to this request.
		PromptParts []PromptPart
		// PromptTokens is the length of the prompt, MaxOutputTokens the limit of generated tokens.
		PromptTokens    int
		MaxOutputTokens int
		// Body is the whole body.
		Body []byte

		// LastEventID is the ID of the last event that the client received; empty if none.
		LastEventID string
		// Resumes is the ID of the request that brought the first event of the stream that this request resumes; empty if the
		// client names none.
		Resumes string

		route    *catalog.Route
		service  *catalog.Service
		team     *catalog.Team
		arrived  time.Time
		deadline time.Time
		// relayedFrom is set if another host has passed the request on.
		relayedFrom *relayedFrom
	}

	// DeliveryOptions holds the values that the host adds to a request when it sends it to an endpoint.
	DeliveryOptions struct {
		// Instance is the only endpoint that may run the request.
		Instance string
		// Remaining is the time that remains until the deadline.
		Remaining time.Duration
		// Team is the name of the team, empty on public routes.
		Team string
		// Urgency is the scheduling rank at the endpoint, from 0 (first) to 9.
		Urgency int
		// CacheSalt separates the KV cache of weight versions and exclusive teams; empty without a model.
		CacheSalt string
		// WeightVersion is the only weight version that may run the request; zero means any.
		WeightVersion uint64
		// FetchFrom and SaveTo hold for each part the address of the cache store to fetch it from and to save
		// it to, empty for none.
		FetchFrom []string
		SaveTo    []string
		// FetchDeadlineMs is the deadline of the fetch, in milliseconds of the endpoints' clock.
		FetchDeadlineMs int64
		// LastEventID is the ID of the event after which a stream resumes; empty means from its start.
		LastEventID string
	}

	// ResponseMeta holds the metadata in the header of an endpoint's response.
	ResponseMeta struct {
		// RequestID is the ID of the request that the response belongs to; empty if not given.
		RequestID string
		// Instance is the ID of the endpoint that responded; empty if not given.
		Instance string
		// Sealed reports that the endpoint confirms the response as its own.
		Sealed bool
		// NotExecuted reports that the endpoint has not run the request and will not.
		NotExecuted bool
		// Misdirected reports that the endpoint or its weight version is not the expected one.
		Misdirected bool
		// ContentEncoded reports a content encoding, which was added on the way from the endpoint.
		ContentEncoded bool
		// WeightVersion is the weight version; zero if not given.
		WeightVersion uint64
		// ColdFor is the time for which the endpoint remains cold.
		ColdFor time.Duration
		// Statement is what the endpoint says of itself.
		Statement fleet.Statement
		// CloseRequested reports that the endpoint asks to close the connection.
		CloseRequested bool
	}

	// Codec translates between HTTP messages and the types of this package.
	Codec interface {
		// DecodeRequest reads the header of a client's request. After an error it returns the request as far as
		// it was decoded, never nil.
		DecodeRequest(hr *http.Request) (*Request, error)
		// EncodeRequestHeader encodes the header of a request to an endpoint, including the empty line at its end.
		EncodeRequestHeader(rq *Request, dl DeliveryOptions) []byte
		// EncodeRelayHeader encodes the header of a request to another host that serves it in place of this one, with fields of the
		// host's own and the empty line at its end.
		EncodeRelayHeader(rq *Request, remaining time.Duration, own http.Header) []byte
		// DecodeResponseMeta reads the header of an endpoint's response.
		DecodeResponseMeta(status int, hd http.Header) ResponseMeta
		// CopyResponseHeader copies the header of an endpoint's response to that of the client's response.
		CopyResponseHeader(dst, src http.Header)
		// WriteRefusalHeader writes the header of a response that the host creates itself; a zero retryAfter adds no
		// Retry-After.
		WriteRefusalHeader(dst http.Header, rq *Request, retryAfter time.Duration)
	}
)

// isTakeUp reports whether the request resumes a stream that an earlier request of the client began.
func (rq *Request) isTakeUp() bool {
	return rq.route.IsStream() && (rq.LastEventID != "" || rq.Resumes != "")
}

// canBeTakenUp reports whether the response is a stream that the client may resume with another request.
func (rq *Request) canBeTakenUp() bool {
	return rq.route.IsStream() && rq.route.Resumable
}

// teamName returns the name of the team, empty on public routes.
func (rq *Request) teamName() string {
	if rq.team == nil {
		return ""
	}
	return rq.team.Name
}

// conversationID returns the ID of the last part that other requests share; it identifies the
// conversation.
func (rq *Request) conversationID() string {
	if len(rq.PromptParts) < 2 {
		return ""
	}
	return rq.PromptParts[len(rq.PromptParts)-2].ID
}

// sharedPartIDs returns the identifiers of all parts but the last, which other requests may hold as well.
func (rq *Request) sharedPartIDs() []string {
	if len(rq.PromptParts) < 2 {
		return nil
	}
	out := make([]string, len(rq.PromptParts)-1)
	for i := range out {
		out[i] = rq.PromptParts[i].ID
	}
	return out
}

// memoryTokens returns the KV cache memory that the request adds at an engine, in tokens. It leaves out
// the leading parts that many conversations share, as an engine holds these once for all of them.
func (rq *Request) memoryTokens() int {
	own := rq.PromptTokens + rq.MaxOutputTokens
	for k := range max(0, len(rq.PromptParts)-2) {
		own -= rq.PromptParts[k].Tokens
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
