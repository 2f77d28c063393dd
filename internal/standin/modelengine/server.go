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
		Resume    struct {
			Text   string `json:"text"`
			Tokens int    `json:"tokens"`
		} `json:"resume"`
	}

	// run is one answer on its way.
	run struct {
		en     *Engine
		id     string
		text   string
		names  []string
		total  int
		next   int
		cached int
		cancel context.CancelFunc
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

// Token returns the token at a place of the answer to a prompt on a weight version.
func Token(version, text string, sequence int) string {
	sum := rendezvous.Hash(version + "\x00" + text + "\x00" + strconv.Itoa(sequence))
	return fmt.Sprintf("w%03d ", sum%1000)
}

// Handle serves runs at /v1/chat/completions, orders below /orders/, and reports at /load.
func (en *Engine) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	if en.isDown() {
		_ = fc.Conn().Close()
		return
	}
	switch {
	case path == "/v1/chat/completions":
		en.chat(fc)
	case path == "/load":
		writeJSON(fc, en.report())
	case path == "/stats":
		writeJSON(fc, en.Stats())
	case strings.HasPrefix(path, "/orders/"):
		en.order(fc, strings.TrimPrefix(path, "/orders/"))
	default:
		fc.SetStatusCode(http.StatusNotFound)
	}
}

func (en *Engine) isDown() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.opts.Clock.Now().Before(en.downUntil)
}

func (en *Engine) chat(fc *fasthttp.RequestCtx) {
	var cr chatRequest
	if err := json.Unmarshal(fc.PostBody(), &cr); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	version, startID := en.version, en.startID
	en.mu.Unlock()
	if want := string(fc.Request.Header.Peek(engine.HeaderVersion)); want != "" && want != version {
		fc.SetStatusCode(http.StatusConflict)
		return
	}
	text := engine.Text(cr.Messages)
	ctx, cancel := context.WithCancel(context.Background())
	rn := &run{
		en:     en,
		id:     string(fc.Request.Header.Peek(engine.HeaderRequestID)),
		text:   text,
		names:  namesOf(cr.CacheSalt, text),
		total:  cr.MaxTokens,
		next:   cr.Resume.Tokens,
		cancel: cancel,
	}
	if rn.total == 0 {
		rn.total = en.opts.AnswerTokens
	}
	if !en.begin(rn.id, text, fc.Conn(), cancel) {
		en.end(rn.id)
		cancel()
		_ = fc.Conn().Close()
		return
	}
	en.mu.Lock()
	cached := en.memory.prefix(rn.names) * history.PieceTokens
	en.mu.Unlock()
	fc.Response.Header.Set(engine.HeaderStartID, startID)
	fc.Response.Header.Set(engine.HeaderVersion, version)
	fc.Response.Header.Set(engine.HeaderCachedTokens, strconv.Itoa(cached))
	fc.Response.Header.SetContentType("text/event-stream")
	conn := fc.Conn()
	fc.SetBodyStreamWriter(func(bw *bufio.Writer) {
		defer en.end(rn.id)
		defer cancel()
		if !rn.write(ctx, bw, version, cr.Priority) {
			_ = conn.Close()
		}
	})
}

// write sends the answer and reports whether it was sent whole.
func (rn *run) write(ctx context.Context, bw *bufio.Writer, version string, priority int) bool {
	en := rn.en
	// The header goes out before the prompt is read, so that the caller learns the start identifier.
	if bw.Flush() != nil || rn.read(ctx, priority) != nil {
		return false
	}
	set := en.faults.Now()
	for sent := 0; rn.next < rn.total; sent++ {
		switch {
		case ctx.Err() != nil, set.CutAfter > 0 && sent == set.CutAfter:
			return false
		case set.SilentAfter > 0 && sent == set.SilentAfter:
			<-ctx.Done()
			return false
		}
		if rn.event(bw, Token(version, rn.text, rn.next), nil, set.CrossIDs) != nil {
			return false
		}
		rn.next++
		select {
		case <-ctx.Done():
		case <-en.opts.Clock.After(en.opts.TokenTime):
		}
	}
	if set.DropEndMark || ctx.Err() != nil {
		return false
	}
	finish := "stop"
	if rn.event(bw, "", &finish, set.CrossIDs) != nil {
		return false
	}
	_, err := bw.WriteString("data: [DONE]\n\n")
	return err == nil && bw.Flush() == nil
}

// read reads the prompt piece by piece. A piece that is in memory by then, perhaps because it was
// imported meanwhile, is not read.
func (rn *run) read(ctx context.Context, priority int) error {
	en := rn.en
	for _, name := range rn.names {
		if en.has(name) {
			rn.cached += history.PieceTokens
			continue
		}
		if err := en.queue.read(ctx, history.PieceTokens, priority); err != nil {
			return err
		}
		en.remember([]string{name})
		en.count(func(st *Stats) { st.ReadTokens += history.PieceTokens })
	}
	rest := history.Tokens(rn.text) - len(rn.names)*history.PieceTokens
	en.count(func(st *Stats) { st.ReadTokens += rest })
	return en.queue.read(ctx, rest, priority)
}

func (en *Engine) has(name string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.memory.prefix([]string{name}) == 1
}

func (rn *run) event(bw *bufio.Writer, text string, finish *string, isCrossed bool) error {
	id := rn.id
	if isCrossed {
		id = "another-run"
	}
	ev := chatEvent{
		ID:       id,
		Sequence: rn.next,
		Choices:  []chatChoice{{Delta: chatDelta{Content: text}, Finish: finish}},
	}
	if finish != nil {
		ev.Usage = &chatUsage{PromptTokens: history.Tokens(rn.text), Details: chatDetails{CachedTokens: rn.cached}}
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

func (en *Engine) remember(names []string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, name := range names {
		en.memory.put(name)
	}
}

func namesOf(salt, text string) []string {
	root, ok := history.ParseName(salt)
	if !ok {
		return nil
	}
	var out []string
	for _, n := range history.NamesFrom(root, text) {
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
