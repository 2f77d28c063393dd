// Package engine is the client of the model engines: runs over the OpenAI chat-completions
// interface, orders for KV cache and weights, and load reports.
package engine

import (
	"fmt"

	"github.com/bergamotway/bergamotway/internal/history"
)

const (
	// HeaderRequestID carries the identifier of a run.
	HeaderRequestID = "X-Request-Id"
	// HeaderVersion carries the weight version that a run needs, and the one that serves it.
	HeaderVersion = "X-Weight-Version"
	// HeaderStartID carries an identifier that changes with each start of the engine.
	HeaderStartID = "X-Start-Id"
	// HeaderCachedTokens carries how many tokens of the prompt the engine did not have to read.
	HeaderCachedTokens = "X-Cached-Tokens"
	// HeaderFencing carries the fencing number of an order.
	HeaderFencing = "X-Fencing-Number"
)

type (
	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Run is one request to an engine.
	Run struct {
		// ID identifies the run; each event of the answer carries it.
		ID string
		// Model is the model to run.
		Model string
		// Version is the weight version that the run needs.
		Version string
		// Salt isolates the prefix cache: only runs with the same salt share it.
		Salt string
		// Priority orders the engine's queue; a lower number goes first.
		Priority int
		// MaxTokens bounds the answer; zero means the engine's own bound.
		MaxTokens int
		// Messages is the conversation.
		Messages []Message
		// Resumed is the text that an earlier attempt of the run has already delivered.
		Resumed string
		// ResumedTokens is how many tokens Resumed has.
		ResumedTokens int
	}

	// Token is one event of an answer.
	Token struct {
		// Text is the text of the event.
		Text string
		// Sequence counts the tokens of the answer, from 0, over all attempts.
		Sequence int
		// Finish is the reason why the answer ended, empty before its end.
		Finish string
		// Cached is how many tokens of the prompt were not read, known with Finish.
		Cached int
	}

	// Load is what an engine reports of itself. It lags.
	Load struct {
		StartID  string `json:"start-id"`
		Version  string `json:"version"`
		UptimeMs int64  `json:"uptime-ms"`
		Running  int    `json:"running"`
		Queued   int    `json:"queued-tokens"`
		Leaving  bool   `json:"leaving"`
		Loading  bool   `json:"loading"`
	}

	// Piece is a committed piece of KV cache on a store host.
	Piece struct {
		Name       string `json:"name"`
		Store      string `json:"store"`
		Generation uint64 `json:"generation"`
		Checksum   string `json:"checksum"`
	}

	// RefusedError reports an engine that did not take a run. The run did not start.
	RefusedError struct {
		address string
		status  int
	}

	// VersionError reports an engine that runs another weight version. Its answer was dropped.
	VersionError struct {
		address string
		want    string
		got     string
	}

	// CrossedError reports an event that belongs to another run. It was dropped.
	CrossedError struct {
		want string
		got  string
	}

	// ProtocolError reports an event that cannot be read.
	ProtocolError struct {
		event string
		cause error
	}
)

// Error names the engine and its status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: %s refused with status %d", e.address, e.status)
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("engine: %s runs version %q, not %q", e.address, e.got, e.want)
}

// Error names both runs.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("engine: received an event of run %q in the answer to %q", e.got, e.want)
}

// Error names the event and the cause.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("engine: cannot read event %q: %v", e.event, e.cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.cause }

// NewRefusedError returns the refusal of an engine, for use by fakes.
func NewRefusedError(address string, status int) *RefusedError {
	return &RefusedError{address: address, status: status}
}

// NewVersionError returns the failure of a run on another weight version, for use by fakes.
func NewVersionError(address, want, got string) *VersionError {
	return &VersionError{address: address, want: want, got: got}
}

// NewCrossedError returns the failure of a crossed event, for use by fakes.
func NewCrossedError(want, got string) *CrossedError {
	return &CrossedError{want: want, got: got}
}

// Text returns the conversation as the one text that its pieces are named by.
func Text(messages []Message) string {
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

// Tokens returns the estimated length of the conversation, in tokens.
func Tokens(messages []Message) int {
	return history.Tokens(Text(messages))
}
