package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// TeamToken is the bearer token of the demo's team.
const TeamToken = "demo-token"

const (
	callTimeout = 15 * time.Second
	// historyBytes is the length of the prompt of checkChat, some 16,000 tokens of 4 bytes.
	historyBytes = 4 * 16_000
)

type (
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatRequest struct {
		Model    string        `json:"model"`
		Stream   bool          `json:"stream"`
		Messages []chatMessage `json:"messages"`
		// MaxTokens bounds the output tokens; zero means the engine's own limit.
		MaxTokens int `json:"max_tokens,omitempty"`
	}

	chatEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
)

// Command returns the CLI command that runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole path as processes on loopback and check it",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "the directory of the programs"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return run(ctx, cmd.String("bin"), cmd.Root().Writer)
		},
	}
}

func run(ctx context.Context, binDir string, out io.Writer) error {
	fl, err := NewFleet(binDir)
	if err != nil {
		return err
	}
	defer fl.Close()
	if err = fl.StartAll(ctx); err != nil {
		return err
	}
	steps := []func(context.Context, *Fleet, io.Writer) error{checkChat, checkBooking, checkStop}
	for _, step := range steps {
		if err = step(ctx, fl, out); err != nil {
			for _, eh := range fl.Hosts {
				_, _ = fmt.Fprintln(out, fl.LogTail(eh.Name))
			}
			return err
		}
	}
	_, err = fmt.Fprintln(out, "demo: all checks passed")
	return err
}

// StartAll starts the stand-ins for the key-value service, the host list, two engines, a store host and a plain
// service, starts two entry hosts, and configures them.
func (fl *Fleet) StartAll(ctx context.Context) error {
	var err error
	if fl.KeyValueAddress, err = fl.StartStandin("key-value", "key-value"); err != nil {
		return err
	}
	if fl.HostListAddress, err = fl.StartStandin("host-list", "host-list"); err != nil {
		return err
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		address, startErr := fl.StartStandin(name, "engine", "--prefill-rate", "40000")
		if startErr != nil {
			return startErr
		}
		fl.EngineAddresses = append(fl.EngineAddresses, address)
	}
	store, err := fl.StartStandin("store-1", "store-host")
	if err != nil {
		return err
	}
	service, err := fl.StartStandin("desk", "service")
	if err != nil {
		return err
	}
	fl.StoreAddresses, fl.ServiceAddresses = []string{store}, []string{service}
	peers := []string{}
	for _, name := range []string{"entry-1", "entry-2"} {
		eh, startErr := fl.StartHost(name, "mid-a", peers)
		if startErr != nil {
			return startErr
		}
		fl.Hosts = append(fl.Hosts, eh)
		peers = append(peers, eh.PeerAddress)
	}
	path, err := fl.WriteFile("configuration.json", fl.initialConfiguration())
	if err != nil {
		return err
	}
	if _, err = fl.RunBergamotctl(ctx, "--wait", "apply", path); err != nil {
		return err
	}
	for _, step := range [][]string{{"team", "set", "hartlebury", "--token", TeamToken}} {
		if _, err = fl.RunBergamotctl(ctx, append([]string{"--wait"}, step...)...); err != nil {
			return err
		}
	}
	for _, eh := range fl.Hosts {
		if err = fl.AwaitReady(eh); err != nil {
			return err
		}
	}
	return nil
}

// initialConfiguration returns the configuration of the demo, without teams.
func (fl *Fleet) initialConfiguration() map[string]any {
	var endpoints []map[string]any
	for i, address := range fl.EngineAddresses {
		endpoints = append(endpoints, map[string]any{
			"name": fmt.Sprintf("engine-%d", i+1), "address": address, "availability-zone": "mid-a", "model": "assistant",
		})
	}
	return map[string]any{
		"availability-zones": []map[string]any{{"name": "mid-a"}},
		"models": []map[string]any{{
			"name": "assistant", "version": "v1", "prefill-rate": 40000, "cold-time": "100ms", "can-split": true,
		}},
		"classes": []map[string]any{
			{"name": "crew", "model": "assistant", "first-token": "550ms"},
			{"name": "draft", "model": "assistant", "first-token": "10s", "priority": 5},
		},
		"endpoints":   endpoints,
		"store-hosts": []map[string]any{{"name": "store-1", "address": fl.StoreAddresses[0], "availability-zone": "mid-a", "link-rate": 1e10}},
		"services":    []map[string]any{{"name": "desk", "addresses": fl.ServiceAddresses, "repeatable": []string{"/stock"}}},
	}
}

// ChatBody returns the body of a streamed chat request.
func ChatBody(class, text string) string { return LongChatBody(class, text, 0) }

// LongChatBody returns the body of a streamed chat request with a limit of maxTokens output tokens.
func LongChatBody(class, text string, maxTokens int) string {
	body, err := json.Marshal(chatRequest{
		Model: class, Stream: true, MaxTokens: maxTokens, Messages: []chatMessage{{Role: "user", Content: text}},
	})
	if err != nil {
		return ""
	}
	return string(body)
}

// checkChat sends a long prompt to one host and the same prompt to the other, and checks that the second request
// returns the same response and reuses cached tokens.
func checkChat(_ context.Context, fl *Fleet, out io.Writer) error {
	text := strings.Repeat("The butcher's boning knife was ground at 18 degrees. ", historyBytes/53)
	first, _, err := fl.Chat(fl.Hosts[0], text+"Which edge?")
	if err != nil {
		return err
	}
	second, cached, err := fl.Chat(fl.Hosts[1], text+"Which edge?")
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(out, "first answer:  %s\nsecond answer: %s\nreused tokens: %d\n", first, second, cached); err != nil {
		return err
	}
	if first == "" || first != second {
		return checkErrorf("the answers differ: %q and %q", first, second)
	}
	if cached == 0 {
		return checkErrorf("the return reused nothing")
	}
	return nil
}

// checkBooking sends a booking to each host with the same idempotency key, and checks that it runs once.
func checkBooking(_ context.Context, fl *Fleet, out io.Writer) error {
	first, err := fl.Book(fl.Hosts[0], "visit-7", `{"visit":"monday"}`)
	if err != nil {
		return err
	}
	second, err := fl.Book(fl.Hosts[1], "visit-7", `{"visit":"monday"}`)
	if err != nil {
		return err
	}
	_, runs, err := fasthttp.GetTimeout(nil, "http://"+fl.ServiceAddresses[0]+"/runs/visit-7", callTimeout)
	if err != nil {
		return errors.Wrap(err, "demo: runs")
	}
	if _, err = fmt.Fprintf(out, "first booking:  %s\nsecond booking: %s\nruns: %s\n", first, second, runs); err != nil {
		return err
	}
	if first != second || string(runs) != "1" {
		return checkErrorf("the booking ran %s times", runs)
	}
	return nil
}

// checkStop stops all entry hosts and stand-ins gracefully.
func checkStop(_ context.Context, fl *Fleet, out io.Writer) error {
	for _, eh := range fl.Hosts {
		if err := fl.Stop(eh.Name); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, eh.Name, "stopped gracefully"); err != nil {
			return err
		}
	}
	for _, name := range []string{"engine-1", "engine-2", "store-1", "desk", "host-list", "key-value"} {
		if err := fl.Stop(name); err != nil {
			return err
		}
	}
	return nil
}

// Chat sends a streamed chat request and returns the text of the response with the number of prompt tokens that came
// from a cache.
func (fl *Fleet) Chat(eh EntryHost, text string) (answer string, cached int, err error) {
	body, err := json.Marshal(chatRequest{Model: "crew", Stream: true, Messages: []chatMessage{{Role: "user", Content: text}}})
	if err != nil {
		return "", 0, errors.Wrap(err, "demo: chat")
	}
	status, data, err := fl.post(eh, "/v1/chat/completions", "", body)
	if err != nil || status != fasthttp.StatusOK {
		return "", 0, checkErrorf("chat answered %d: %s %v", status, data, err)
	}
	isComplete := false
	sc := bufio.NewScanner(bytes.NewReader(data))
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			isComplete = true
			continue
		}
		var ev chatEvent
		if err = json.Unmarshal([]byte(line), &ev); err != nil || len(ev.Error) > 0 {
			return "", 0, checkErrorf("stream: %s %v", line, err)
		}
		for _, ch := range ev.Choices {
			answer += ch.Delta.Content
		}
		if ev.Usage != nil {
			cached = ev.Usage.Details.Cached
		}
	}
	if !isComplete {
		return "", 0, checkErrorf("the answer is not whole")
	}
	return strings.TrimSpace(answer), cached, nil
}

// Book sends a booking under an idempotency key and returns the service's response.
func (fl *Fleet) Book(eh EntryHost, idempotencyKey, body string) (string, error) {
	status, data, err := fl.post(eh, "/services/desk/book", idempotencyKey, []byte(body))
	if err != nil || status != fasthttp.StatusOK {
		return "", checkErrorf("booking answered %d: %s %v", status, data, err)
	}
	return string(data), nil
}

// PostChat sends a chat request with the given body and returns the response body, whatever its status.
func (fl *Fleet) PostChat(eh EntryHost, body string) ([]byte, error) {
	_, data, err := fl.post(eh, "/v1/chat/completions", "", []byte(body))
	return data, err
}

func (fl *Fleet) post(eh EntryHost, path, idempotencyKey string, body []byte) (int, []byte, error) {
	req, rsp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(rsp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + eh.ListenAddress + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+TeamToken)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	req.SetBody(body)
	err := fasthttp.DoTimeout(req, rsp, callTimeout)
	return rsp.StatusCode(), append([]byte(nil), rsp.Body()...), err
}
