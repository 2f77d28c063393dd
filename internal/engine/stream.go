package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/connection"
)

type (
	// Stream is the token stream of a run. It is not safe for concurrent use, except for Close.
	Stream struct {
		ex           *connection.Exchange
		rd           *bufio.Reader
		run          Run
		nextSequence int
		finishReason string
		cachedTokens int
		startID      string
	}

	chatEvent struct {
		ID       string       `json:"id"`
		Sequence int          `json:"seq"`
		Choices  []chatChoice `json:"choices"`
		Usage    chatUsage    `json:"usage"`
	}

	chatUsage struct {
		PromptTokensDetails struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	chatChoice struct {
		Delta        chatDelta `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
	}

	chatDelta struct {
		Content string `json:"content"`
	}
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds an event together with the lines before it that carry no data; some hundred of them must fit into
	// the memory of a host.
	maxEventBytes = 64 << 10
	// maxQuotedBytes bounds the part of an undecodable event that its error holds.
	maxQuotedBytes = 256
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

func newStream(ex *connection.Exchange, rn Run) *Stream {
	hdr := &ex.Response().Header
	cached, err := strconv.Atoi(string(hdr.Peek(HeaderCachedTokens)))
	if err != nil {
		cached = 0
	}
	return &Stream{
		ex:           ex,
		rd:           bufio.NewReaderSize(ex, streamBufferBytes),
		run:          rn,
		nextSequence: rn.ResumedTokens,
		cachedTokens: cached,
		startID:      string(hdr.Peek(HeaderStartID)),
	}
}

// CachedTokens returns how many prompt tokens were in the engine's prefix cache.
func (st *Stream) CachedTokens() int { return st.cachedTokens }

// StartID returns the start ID of the engine.
func (st *Stream) StartID() string { return st.startID }

// Next returns the next token. It returns io.EOF only after the complete answer, with its finish
// reason and the [DONE] marker, has arrived. It returns a *connection.BrokenError if the answer
// ends early, and a *WrongRunError for an event of another run. Tokens with a sequence number that
// has already been returned are skipped.
func (st *Stream) Next() (Token, error) {
	for {
		data, err := st.readEvent()
		if err != nil {
			return Token{}, err
		}
		if bytes.Equal(data, doneMarker) {
			return Token{}, st.checkFinished()
		}
		tok, err := st.parseEvent(data)
		if err != nil {
			return Token{}, err
		}
		if tok.FinishReason != "" {
			st.finishReason = tok.FinishReason
			return tok, nil
		}
		if tok.Sequence < st.nextSequence {
			continue
		}
		if tok.Sequence > st.nextSequence {
			return Token{}, st.brokenError(io.ErrUnexpectedEOF)
		}
		st.nextSequence++
		return tok, nil
	}
}

// Close closes the connection, which ends a run still in progress.
func (st *Stream) Close() error { return st.ex.Close() }

// readEvent returns the data of the next server-sent event.
func (st *Stream) readEvent() ([]byte, error) {
	var line []byte
	for total := 0; ; {
		part, err := st.rd.ReadSlice('\n')
		if total += len(part); total > maxEventBytes {
			return nil, st.brokenError(&EventSizeError{limit: maxEventBytes})
		}
		line = append(line, part...)
		var be *connection.BrokenError
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.As(err, &be):
			return nil, err
		case err != nil:
			return nil, st.brokenError(io.ErrUnexpectedEOF)
		}
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix); ok {
			return data, nil
		}
		line = line[:0]
	}
}

// parseEvent decodes an event and checks that it belongs to the run.
func (st *Stream) parseEvent(data []byte) (Token, error) {
	var ev chatEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return Token{}, &ProtocolError{event: string(data[:min(len(data), maxQuotedBytes)]), cause: err}
	}
	if ev.ID != st.run.ID {
		return Token{}, NewWrongRunError(st.run.ID, ev.ID)
	}
	tok := Token{Sequence: ev.Sequence, CachedTokens: ev.Usage.PromptTokensDetails.Cached}
	if len(ev.Choices) > 0 {
		tok.Text = ev.Choices[0].Delta.Content
		if ev.Choices[0].FinishReason != nil {
			tok.FinishReason = *ev.Choices[0].FinishReason
		}
	}
	return tok, nil
}

// checkFinished returns io.EOF if the answer has a finish reason, or else a
// *connection.BrokenError.
func (st *Stream) checkFinished() error {
	if st.finishReason == "" {
		return st.brokenError(io.ErrUnexpectedEOF)
	}
	return io.EOF
}

func (st *Stream) brokenError(cause error) error {
	return connection.NewBrokenError("run "+st.run.ID, false, cause)
}
