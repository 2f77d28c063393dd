// Package engine is the client for model engines: runs over the OpenAI chat completions API,
// control requests for the KV cache and weights, and load reports.
package engine

import (
	"fmt"

	"github.com/bergamotway/bergamotway/internal/history"
)

const (
	// HeaderRequestID carries the ID of a run.
	HeaderRequestID = "X-Request-Id"
	// HeaderVersion carries the weight version that a run requires in the request, and the one that
	// serves it in the response.
	HeaderVersion = "X-Weight-Version"
	// HeaderStartID carries an ID that changes with each start of the engine.
	HeaderStartID = "X-Start-Id"
	// HeaderCachedTokens carries how many prompt tokens were in the engine's prefix cache.
	HeaderCachedTokens = "X-Cached-Tokens"
	// HeaderFencingToken carries the fencing token of a control request.
	HeaderFencingToken = "X-Fencing-Number"
)

type (
	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Run is one inference request to an engine.
	Run struct {
		// ID identifies the run and is repeated in each event of the answer.
		ID string
		// Model is the name of the model.
		Model string
		// Version is the weight version that the run requires.
		Version string
		// Salt isolates the prefix cache: only runs with the same salt share cached prefixes.
		Salt string
		// Priority is the priority in the engine's queue; a lower number goes first.
		Priority int
		// MaxTokens limits the tokens of the answer; zero means the engine's own limit.
		MaxTokens int
		// Messages is the conversation.
		Messages []Message
		// Resumed is the text that earlier attempts have already delivered.
		Resumed string
		// ResumedTokens is the number of tokens in Resumed.
		ResumedTokens int
	}

	// Token is one event of an answer: a token, or the end of the answer.
	Token struct {
		// Text is the text of the token.
		Text string
		// Sequence is the index of the token in the answer, from 0, across all attempts.
		Sequence int
		// FinishReason is the finish reason of the answer; it is empty before the last event.
		FinishReason string
		// CachedTokens is how many prompt tokens were in the prefix cache; it is set in the last event.
		CachedTokens int
	}

	// LoadReport is an engine's load report. It may be out of date on arrival.
	LoadReport struct {
		StartID      string `json:"start-id"`
		Version      string `json:"version"`
		UptimeMs     int64  `json:"uptime-ms"`
		Running      int    `json:"running"`
		QueuedTokens int    `json:"queued-tokens"`
		Leaving      bool   `json:"leaving"`
		Loading      bool   `json:"loading"`
	}

	// Piece is a committed piece of KV cache on a store host.
	Piece struct {
		Name       string `json:"name"`
		Store      string `json:"store"`
		Generation uint64 `json:"generation"`
		Checksum   string `json:"checksum"`
	}

	// RefusedError reports that an engine rejected a request. A rejected run did not start.
	RefusedError struct {
		address string
		status  int
	}

	// VersionError reports that an engine runs another weight version. Its answer is discarded.
	VersionError struct {
		address string
		want    string
		got     string
	}

	// WrongRunError reports an event of another run in an answer. The event is discarded.
	WrongRunError struct {
		want string
		got  string
	}

	// EventSizeError reports an event of more than the limit, in bytes.
	EventSizeError struct{ limit int }

	// ProtocolError reports a body that cannot be encoded, or an event or a body that cannot be
	// decoded.
	ProtocolError struct {
		event string
		cause error
	}
)

// Error returns a message with the engine's address and status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: %s refused with status %d", e.address, e.status)
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("engine: %s runs version %q, not %q", e.address, e.got, e.want)
}

// Error returns a message with the IDs of both runs.
func (e *WrongRunError) Error() string {
	return fmt.Sprintf("engine: received an event of run %q in the answer to %q", e.got, e.want)
}

// Error returns a message with the limit.
func (e *EventSizeError) Error() string {
	return fmt.Sprintf("engine: event of more than %d bytes", e.limit)
}

// Error returns a message with the event and the cause.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("engine: cannot read event %q: %v", e.event, e.cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.cause }

// NewRefusedError returns a RefusedError. It is exported for fakes.
func NewRefusedError(address string, status int) *RefusedError {
	return &RefusedError{address: address, status: status}
}

// NewVersionError returns a VersionError. It is exported for fakes.
func NewVersionError(address, want, got string) *VersionError {
	return &VersionError{address: address, want: want, got: got}
}

// NewWrongRunError returns the error for an event of another run. It is exported for fakes.
func NewWrongRunError(want, got string) *WrongRunError {
	return &WrongRunError{want: want, got: got}
}

// RenderPrompt renders the conversation as a single text, from which the names of its pieces are derived.
func RenderPrompt(messages []Message) string {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	buf := make([]byte, 0, size)
	for _, m := range messages {
		buf = append(buf, m.Role...)
		buf = append(buf, '\n')
		buf = append(buf, m.Content...)
		buf = append(buf, '\n')
	}
	return string(buf)
}

// EstimateTokens estimates the length of the conversation, in tokens.
func EstimateTokens(messages []Message) int {
	return history.Tokens(RenderPrompt(messages))
}
