package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

type (
	// streamWriter sends a chat completion as server-sent events.
	streamWriter struct {
		sv     *Server
		rq     *Request
		rp     Reply
		cancel context.CancelFunc
		conn   net.Conn
	}

	// tokenResult is the result of one read from the answer; usage is set in the event with the
	// finish reason.
	tokenResult struct {
		token engine.Token
		usage *completionUsage
		err   error
	}

	// completion is a chat completion, or one chunk of it, as sent to the client.
	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   *completionUsage   `json:"usage,omitempty"`
	}

	completionChoice struct {
		Index        int                `json:"index"`
		Delta        *completionDelta   `json:"delta,omitempty"`
		Message      *completionMessage `json:"message,omitempty"`
		FinishReason *string            `json:"finish_reason"`
	}

	completionDelta struct {
		Content string `json:"content,omitempty"`
	}

	completionMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	completionUsage struct {
		PromptTokens        int                `json:"prompt_tokens"`
		CompletionTokens    int                `json:"completion_tokens"`
		TotalTokens         int                `json:"total_tokens"`
		PromptTokensDetails promptTokenDetails `json:"prompt_tokens_details"`
	}

	promptTokenDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

const finishStop = "stop"

// stream sends tokens as they arrive. After each heartbeat interval without a token it sends a
// comment, so that a disconnected client is detected.
func (wr *streamWriter) stream(ctx context.Context, bw *bufio.Writer) {
	defer wr.rp.Close()
	results := make(chan tokenResult)
	readerDone := make(chan struct{})
	go wr.readTokens(ctx, results, readerDone)
	wr.sendEvents(bw, results)
	// Canceling the context unblocks a read in progress and stops readTokens.
	wr.cancel()
	for range results {
		continue
	}
	<-readerDone
}

// readTokens sends each token of the answer to results until an error or the end of ctx.
func (wr *streamWriter) readTokens(ctx context.Context, results chan<- tokenResult, readerDone chan<- struct{}) {
	defer close(readerDone)
	defer close(results)
	for {
		tok, err := wr.rp.Answer.Next(ctx)
		res := tokenResult{token: tok, err: err}
		if tok.FinishReason != "" {
			res.usage = newUsage(wr.rp.Answer.Usage())
		}
		select {
		case results <- res:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// sendEvents sends events until the answer ends or a write to the client fails.
func (wr *streamWriter) sendEvents(bw *bufio.Writer, results <-chan tokenResult) {
	for {
		var text string
		isLast := false
		select {
		case res := <-results:
			text, isLast = wr.formatEvent(res)
		case <-wr.sv.opts.Clock.After(wr.sv.opts.HeartbeatInterval):
			text = ": waiting\n\n"
		}
		if wr.writeAndFlush(bw, text) != nil || isLast {
			return
		}
	}
}

// formatEvent returns the text of the event for res, and whether it is the last one.
func (wr *streamWriter) formatEvent(res tokenResult) (text string, isLast bool) {
	switch {
	case errors.Is(res.err, io.EOF):
		return "data: [DONE]\n\n", true
	case res.err != nil:
		re := refusal.FromError(res.err, refusal.MayHaveRun)
		wr.sv.recordRefusal(wr.rq, re)
		return "data: " + string(errorJSON(re)) + "\n\n", true
	default:
		return "data: " + string(wr.encodeChunk(res)) + "\n\n", false
	}
}

func (wr *streamWriter) writeAndFlush(bw *bufio.Writer, text string) error {
	if err := wr.conn.SetWriteDeadline(wr.sv.opts.Clock.Now().Add(wr.sv.opts.WriteTimeout)); err != nil {
		return err
	}
	if _, err := bw.WriteString(text); err != nil {
		return err
	}
	return bw.Flush()
}

func (wr *streamWriter) encodeChunk(res tokenResult) []byte {
	cp := wr.sv.newCompletion(wr.rq, "chat.completion.chunk")
	ch := completionChoice{Delta: &completionDelta{Content: res.token.Text}}
	if res.token.FinishReason != "" {
		ch.FinishReason = &res.token.FinishReason
	}
	cp.Usage = res.usage
	cp.Choices = []completionChoice{ch}
	return marshal(cp)
}

// writeCompletion reads all tokens and sends them as a single JSON response.
func (sv *Server) writeCompletion(ctx context.Context, fc *fasthttp.RequestCtx, rq *Request, rp Reply) {
	defer rp.Close()
	var text strings.Builder
	finish := finishStop
	for {
		tok, err := rp.Answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			sv.writeRefusal(fc, rq, refusal.FromError(err, refusal.MayHaveRun))
			return
		}
		text.WriteString(tok.Text)
		if tok.FinishReason != "" {
			finish = tok.FinishReason
		}
	}
	cp := sv.newCompletion(rq, "chat.completion")
	cp.Usage = newUsage(rp.Answer.Usage())
	cp.Choices = []completionChoice{{
		Message:      &completionMessage{Role: "assistant", Content: text.String()},
		FinishReason: &finish,
	}}
	fc.Response.Header.SetContentType("application/json")
	fc.Response.SetBody(marshal(cp))
}

func (sv *Server) newCompletion(rq *Request, object string) completion {
	return completion{ID: rq.ID, Object: object, Created: rq.Received.Unix(), Model: rq.Class.Name}
}

func newUsage(us dispatch.Usage) *completionUsage {
	return &completionUsage{
		PromptTokens:        us.PromptTokens,
		CompletionTokens:    us.CompletionTokens,
		TotalTokens:         us.PromptTokens + us.CompletionTokens,
		PromptTokensDetails: promptTokenDetails{CachedTokens: us.CachedTokens},
	}
}

// marshal encodes v as JSON, or as an empty object if that fails.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
