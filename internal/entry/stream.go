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
	// streamWriter sends an answer as server-sent events.
	streamWriter struct {
		sv     *Server
		rq     *Request
		rp     Reply
		cancel context.CancelFunc
		conn   net.Conn
	}

	pulled struct {
		token engine.Token
		usage *completionUsage
		err   error
	}

	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   *completionUsage   `json:"usage,omitempty"`
	}

	completionChoice struct {
		Index        int               `json:"index"`
		Delta        *completionDelta  `json:"delta,omitempty"`
		Message      *completionAnswer `json:"message,omitempty"`
		FinishReason *string           `json:"finish_reason"`
	}

	completionDelta struct {
		Content string `json:"content,omitempty"`
	}

	completionAnswer struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	completionUsage struct {
		PromptTokens        int          `json:"prompt_tokens"`
		CompletionTokens    int          `json:"completion_tokens"`
		TotalTokens         int          `json:"total_tokens"`
		PromptTokensDetails tokenDetails `json:"prompt_tokens_details"`
	}

	tokenDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

const finishStop = "stop"

// write sends tokens as they come, and a comment when none came for the heartbeat time, so that
// a caller who has left is noticed.
func (wr *streamWriter) write(ctx context.Context, bw *bufio.Writer) {
	defer wr.rp.Close()
	tokens := make(chan pulled)
	finished := make(chan struct{})
	go wr.pull(ctx, tokens, finished)
	wr.forward(bw, tokens)
	// The end of the context ends a read in progress, and so the puller.
	wr.cancel()
	for range tokens {
		continue
	}
	<-finished
}

func (wr *streamWriter) pull(ctx context.Context, tokens chan<- pulled, finished chan<- struct{}) {
	defer close(finished)
	defer close(tokens)
	for {
		tok, err := wr.rp.Answer.Next(ctx)
		pu := pulled{token: tok, err: err}
		if tok.Finish != "" {
			pu.usage = usageOf(wr.rp.Answer.Usage())
		}
		select {
		case tokens <- pu:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// forward sends events until the answer ends or the caller cannot be written to.
func (wr *streamWriter) forward(bw *bufio.Writer, tokens <-chan pulled) {
	for {
		var text string
		isLast := false
		select {
		case pu := <-tokens:
			text, isLast = wr.render(pu)
		case <-wr.sv.opts.Clock.After(wr.sv.opts.Heartbeat):
			text = ": waiting\n\n"
		}
		if wr.flush(bw, text) != nil || isLast {
			return
		}
	}
}

// render returns the text of an event, and whether it is the last one.
func (wr *streamWriter) render(pu pulled) (text string, isLast bool) {
	switch {
	case errors.Is(pu.err, io.EOF):
		return "data: [DONE]\n\n", true
	case pu.err != nil:
		re := refusal.From(pu.err, refusal.MayHaveRun)
		wr.sv.count(wr.rq, re)
		return "data: " + string(errorJSON(re)) + "\n\n", true
	default:
		return "data: " + string(wr.event(pu)) + "\n\n", false
	}
}

func (wr *streamWriter) flush(bw *bufio.Writer, text string) error {
	if err := wr.conn.SetWriteDeadline(wr.sv.opts.Clock.Now().Add(wr.sv.opts.WriteLimit)); err != nil {
		return err
	}
	if _, err := bw.WriteString(text); err != nil {
		return err
	}
	return bw.Flush()
}

func (wr *streamWriter) event(pu pulled) []byte {
	cp := wr.sv.newCompletion(wr.rq, "chat.completion.chunk")
	ch := completionChoice{Delta: &completionDelta{Content: pu.token.Text}}
	if pu.token.Finish != "" {
		ch.FinishReason = &pu.token.Finish
	}
	cp.Usage = pu.usage
	cp.Choices = []completionChoice{ch}
	return marshal(cp)
}

func (sv *Server) writeWhole(ctx context.Context, fc *fasthttp.RequestCtx, rq *Request, rp Reply) {
	defer rp.Close()
	var text strings.Builder
	finish := finishStop
	for {
		tok, err := rp.Answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			sv.refuse(fc, rq, refusal.From(err, refusal.MayHaveRun))
			return
		}
		text.WriteString(tok.Text)
		if tok.Finish != "" {
			finish = tok.Finish
		}
	}
	cp := sv.newCompletion(rq, "chat.completion")
	cp.Usage = usageOf(rp.Answer.Usage())
	cp.Choices = []completionChoice{{
		Message:      &completionAnswer{Role: "assistant", Content: text.String()},
		FinishReason: &finish,
	}}
	fc.Response.Header.SetContentType("application/json")
	fc.Response.SetBody(marshal(cp))
}

func (sv *Server) newCompletion(rq *Request, object string) completion {
	return completion{ID: rq.ID, Object: object, Created: rq.Received.Unix(), Model: rq.Class.Name}
}

func usageOf(us dispatch.Usage) *completionUsage {
	return &completionUsage{
		PromptTokens:        us.Prompt,
		CompletionTokens:    us.Completion,
		TotalTokens:         us.Prompt + us.Completion,
		PromptTokensDetails: tokenDetails{CachedTokens: us.Cached},
	}
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
