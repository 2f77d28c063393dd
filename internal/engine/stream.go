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
	// Stream is the answer to a run. It is not safe for concurrent use, but for Close.
	Stream struct {
		ex     *connection.Exchange
		rd     *bufio.Reader
		run    Run
		next   int
		finish string
		cached int
		start  string
	}

	chatEvent struct {
		ID       string       `json:"id"`
		Sequence int          `json:"seq"`
		Choices  []chatChoice `json:"choices"`
		Usage    chatUsage    `json:"usage"`
	}

	chatUsage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	chatChoice struct {
		Delta  chatDelta `json:"delta"`
		Finish *string   `json:"finish_reason"`
	}

	chatDelta struct {
		Content string `json:"content"`
	}
)

const streamBufferBytes = 4 << 10

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

func newStream(ex *connection.Exchange, rn Run) *Stream {
	hdr := &ex.Response().Header
	cached, err := strconv.Atoi(string(hdr.Peek(HeaderCachedTokens)))
	if err != nil {
		cached = 0
	}
	return &Stream{
		ex:     ex,
		rd:     bufio.NewReaderSize(ex, streamBufferBytes),
		run:    rn,
		next:   rn.ResumedTokens,
		cached: cached,
		start:  string(hdr.Peek(HeaderStartID)),
	}
}

// CachedTokens returns how many tokens of the prompt the engine did not have to read.
func (st *Stream) CachedTokens() int { return st.cached }

// StartID returns the identifier of the engine's start.
func (st *Stream) StartID() string { return st.start }

// Next returns the next token. It returns io.EOF only after the whole answer with its end mark
// has arrived. An answer that ends before is a *connection.BrokenError; an event of another run
// is a *CrossedError. Tokens that repeat an earlier sequence number are dropped.
func (st *Stream) Next() (Token, error) {
	for {
		data, err := st.event()
		if err != nil {
			return Token{}, err
		}
		if bytes.Equal(data, doneMark) {
			return Token{}, st.end()
		}
		tok, err := st.parse(data)
		if err != nil {
			return Token{}, err
		}
		if tok.Finish != "" {
			st.finish = tok.Finish
			return tok, nil
		}
		if tok.Sequence < st.next {
			continue
		}
		if tok.Sequence > st.next {
			return Token{}, st.broken(io.ErrUnexpectedEOF)
		}
		st.next++
		return tok, nil
	}
}

// Close ends the run, if it has not ended, by closing the connection.
func (st *Stream) Close() error { return st.ex.Close() }

func (st *Stream) event() ([]byte, error) {
	for {
		line, err := st.rd.ReadBytes('\n')
		var be *connection.BrokenError
		switch {
		case errors.As(err, &be):
			return nil, err
		case err != nil:
			return nil, st.broken(io.ErrUnexpectedEOF)
		}
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix); ok {
			return data, nil
		}
	}
}

func (st *Stream) parse(data []byte) (Token, error) {
	var ev chatEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return Token{}, &ProtocolError{event: string(data), cause: err}
	}
	if ev.ID != st.run.ID {
		return Token{}, NewCrossedError(st.run.ID, ev.ID)
	}
	tok := Token{Sequence: ev.Sequence, Cached: ev.Usage.Details.Cached}
	if len(ev.Choices) > 0 {
		tok.Text = ev.Choices[0].Delta.Content
		if ev.Choices[0].Finish != nil {
			tok.Finish = *ev.Choices[0].Finish
		}
	}
	return tok, nil
}

func (st *Stream) end() error {
	if st.finish == "" {
		return st.broken(io.ErrUnexpectedEOF)
	}
	return io.EOF
}

func (st *Stream) broken(cause error) error {
	return connection.NewBrokenError("run "+st.run.ID, false, cause)
}
