package modelengine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	chatRequest struct {
		Model     string           `json:"model"`
		Messages  []engine.Message `json:"messages"`
		Priority  int              `json:"priority"`
		CacheSalt string           `json:"cache_salt"`
		MaxTokens int              `json:"max_tokens"`
		// Resume is the output that an interrupted run has already sent, if this request resumes one.
		Resume struct {
			Text   string `json:"text"`
			Tokens int    `json:"tokens"`
		} `json:"resume"`
	}

	// run is the state of one response while it is generated.
	run struct {
		en         *Engine
		id         string
		prompt     string
		pieceNames []string
		// outputTokens is the length of the output, including the tokens before a resumption.
		outputTokens int
		// nextToken is the index of the next output token.
		nextToken int
		// cachedTokens is the number of prompt tokens that needed no prefill.
		cachedTokens int
		cancel       context.CancelFunc
	}

	chatEvent struct {
		ID       string       `json:"id"`
		Sequence int          `json:"seq"`
		Choices  []chatChoice `json:"choices"`
		Usage    *chatUsage   `json:"usage,omitempty"`
	}

	chatUsage struct {
		PromptTokens int         `json:"prompt_tokens"`
		Details      chatDetails `json:"prompt_tokens_details"`
	}

	chatDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	chatChoice struct {
		Index  int       `json:"index"`
		Delta  chatDelta `json:"delta"`
		Finish *string   `json:"finish_reason"`
	}

	chatDelta struct {
		Content string `json:"content,omitempty"`
	}
)

// Token returns the output token at index for a prompt and a weight version.
func Token(version, prompt string, index int) string {
	sum := rendezvous.Hash(version + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return fmt.Sprintf("w%03d ", sum%1000)
}

// Handle serves runs at /v1/chat/completions, orders below /orders/, load reports at /load, and
// counters at /stats.
func (en *Engine) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	if en.isDown() {
		_ = fc.Conn().Close()
		return
	}
	switch {
	case path == "/v1/chat/completions":
		en.handleChat(fc)
	case path == "/load":
		writeJSON(fc, en.loadReport())
	case path == "/stats":
		writeJSON(fc, en.Stats())
	case strings.HasPrefix(path, "/orders/"):
		en.handleOrder(fc, strings.TrimPrefix(path, "/orders/"))
	default:
		fc.SetStatusCode(http.StatusNotFound)
	}
}

func (en *Engine) isDown() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.opts.Clock.Now().Before(en.downUntil)
}

func (en *Engine) handleChat(fc *fasthttp.RequestCtx) {
	var cr chatRequest
	if err := json.Unmarshal(fc.PostBody(), &cr); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	version, startID := en.weightVersion, en.startID
	en.mu.Unlock()
	if expected := string(fc.Request.Header.Peek(engine.HeaderVersion)); expected != "" && expected != version {
		fc.SetStatusCode(http.StatusConflict)
		return
	}
	prompt := engine.RenderPrompt(cr.Messages)
	ctx, cancel := context.WithCancel(context.Background())
	rn := &run{
		en:           en,
		id:           string(fc.Request.Header.Peek(engine.HeaderRequestID)),
		prompt:       prompt,
		pieceNames:   pieceNames(cr.CacheSalt, prompt),
		outputTokens: cr.MaxTokens,
		nextToken:    cr.Resume.Tokens,
		cancel:       cancel,
	}
	if rn.outputTokens == 0 {
		rn.outputTokens = en.opts.DefaultOutputTokens
	}
	if !en.admitRun(rn.id, prompt, fc.Conn(), cancel) {
		en.removeRun(rn.id)
		cancel()
		_ = fc.Conn().Close()
		return
	}
	en.mu.Lock()
	cachedTokens := en.cache.cachedPrefix(rn.pieceNames) * history.PieceTokens
	en.mu.Unlock()
	fc.Response.Header.Set(engine.HeaderStartID, startID)
	fc.Response.Header.Set(engine.HeaderVersion, version)
	fc.Response.Header.Set(engine.HeaderCachedTokens, strconv.Itoa(cachedTokens))
	fc.Response.Header.SetContentType("text/event-stream")
	conn := fc.Conn()
	fc.SetBodyStreamWriter(func(bw *bufio.Writer) {
		defer en.removeRun(rn.id)
		defer cancel()
		if !rn.writeResponse(ctx, bw, version, cr.Priority) {
			_ = conn.Close()
		}
	})
}

// writeResponse streams the response and reports whether it was sent completely.
func (rn *run) writeResponse(ctx context.Context, bw *bufio.Writer, version string, priority int) bool {
	en := rn.en
	// The header is sent before the prefill, so that the client learns the start ID.
	if bw.Flush() != nil || rn.prefill(ctx, priority) != nil {
		return false
	}
	faults := en.faults.Active()
	for sent := 0; rn.nextToken < rn.outputTokens; sent++ {
		switch {
		case ctx.Err() != nil, faults.CutAfter > 0 && sent == faults.CutAfter:
			return false
		case faults.SilentAfter > 0 && sent == faults.SilentAfter:
			<-ctx.Done()
			return false
		}
		if rn.writeEvent(bw, Token(version, rn.prompt, rn.nextToken), nil, faults.CrossIDs) != nil {
			return false
		}
		rn.nextToken++
		select {
		case <-ctx.Done():
		case <-en.opts.Clock.After(en.opts.TokenInterval):
		}
	}
	if faults.DropEndMark || ctx.Err() != nil {
		return false
	}
	finish := "stop"
	if rn.writeEvent(bw, "", &finish, faults.CrossIDs) != nil {
		return false
	}
	_, err := bw.WriteString("data: [DONE]\n\n")
	return err == nil && bw.Flush() == nil
}

// prefill processes the prompt piece by piece. Each piece is looked up just before its prefill, since
// it may have been imported in the meantime; a cached piece is skipped.
func (rn *run) prefill(ctx context.Context, priority int) error {
	en := rn.en
	for _, name := range rn.pieceNames {
		if en.isCached(name) {
			rn.cachedTokens += history.PieceTokens
			continue
		}
		if err := en.prefillQueue.prefill(ctx, history.PieceTokens, priority); err != nil {
			return err
		}
		en.addPieces([]string{name})
		en.updateStats(func(st *Stats) { st.PrefilledTokens += history.PieceTokens })
	}
	remainder := history.Tokens(rn.prompt) - len(rn.pieceNames)*history.PieceTokens
	en.updateStats(func(st *Stats) { st.PrefilledTokens += remainder })
	return en.prefillQueue.prefill(ctx, remainder, priority)
}

func (en *Engine) isCached(name string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.cache.cachedPrefix([]string{name}) == 1
}

func (rn *run) writeEvent(bw *bufio.Writer, text string, finish *string, useWrongID bool) error {
	id := rn.id
	if useWrongID {
		id = "another-run"
	}
	ev := chatEvent{
		ID:       id,
		Sequence: rn.nextToken,
		Choices:  []chatChoice{{Delta: chatDelta{Content: text}, Finish: finish}},
	}
	if finish != nil {
		ev.Usage = &chatUsage{PromptTokens: history.Tokens(rn.prompt), Details: chatDetails{CachedTokens: rn.cachedTokens}}
	}
	data, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	if _, err = bw.WriteString("data: " + string(data) + "\n\n"); err != nil {
		return err
	}
	return bw.Flush()
}

func (en *Engine) addPieces(names []string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, name := range names {
		en.cache.add(name)
	}
}

func pieceNames(salt, prompt string) []string {
	root, ok := history.ParseName(salt)
	if !ok {
		return nil
	}
	var out []string
	for _, n := range history.NamesFrom(root, prompt) {
		out = append(out, n.String())
	}
	return out
}

func writeJSON(fc *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	fc.Response.Header.SetContentType("application/json")
	fc.SetBody(data)
}
