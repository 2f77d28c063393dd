// Package path measures what an entry host adds to a request, against calling the engine directly.
package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/programs/load/demo"
)

type (
	// bench is a running fleet with a way to send one request.
	bench struct {
		fl     *demo.Fleet
		dialer *connection.Dialer
	}

	// target is where requests go.
	target struct {
		address string
		body    string
		token   string
	}
)

const (
	saturateTime  = 4 * time.Second
	halfLoadTime  = 6 * time.Second
	clients       = 24
	streams       = 200
	clockTicks    = 100
	pageBytes     = 4096
	firstTokenP99 = 0.99
)

// Command returns the command that measures the path.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "measure what an entry host adds to a request",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "the directory of the programs"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return run(ctx, cmd.String("bin"), cmd.Root().Writer)
		},
	}
}

func run(ctx context.Context, bin string, out io.Writer) error {
	fl, err := demo.NewFleet(bin)
	if err != nil {
		return err
	}
	defer fl.Close()
	if err = fl.StartAll(ctx); err != nil {
		return err
	}
	be := &bench{fl: fl, dialer: connection.NewDialer(connection.Options{})}
	name := fl.Hosts[0].Name
	through := target{address: fl.Hosts[0].Listen, token: demo.Token, body: demo.ChatBody("crew", "hello")}
	direct := target{address: fl.Engines[0], body: demo.ChatBody("assistant", "hello")}
	// The cold start of the stand-ins is over before the measurement begins.
	time.Sleep(time.Second)
	began, err := cpu(fl, name)
	if err != nil {
		return err
	}
	served := be.saturate(ctx, through)
	used, err := cpu(fl, name)
	if err != nil {
		return err
	}
	rate := float64(served) / saturateTime.Seconds() / 2
	plain := be.steady(ctx, direct, rate)
	added := be.steady(ctx, through, rate)
	memory, err := be.memoryPerStream(ctx, name, through)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, `path.requests-per-second %.0f 1/s
path.requests-per-core %.0f 1/s
path.half-load-rate %.0f 1/s
path.direct-ttft-p50 %.5f s
path.direct-ttft-p99 %.5f s
path.added-ttft-p50 %.5f s
path.added-ttft-p99 %.5f s
path.memory-per-stream %.0f B
`,
		float64(served)/saturateTime.Seconds(), float64(served)/(used-began), rate,
		quantile(plain, 0.5), quantile(plain, firstTokenP99),
		quantile(added, 0.5)-quantile(plain, 0.5), quantile(added, firstTokenP99)-quantile(plain, firstTokenP99), memory)
	return errors.Wrap(err, "path: print")
}

// saturate sends as fast as a few clients can, and returns how many answers were whole.
func (be *bench) saturate(ctx context.Context, tg target) int64 {
	ctx, cancel := context.WithTimeout(ctx, saturateTime)
	defer cancel()
	var served atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := be.ask(ctx, tg); err == nil {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return served.Load()
}

// steady sends at a steady rate and returns the times to first token, in seconds.
func (be *bench) steady(ctx context.Context, tg target, rate float64) []float64 {
	var mu sync.Mutex
	var times []float64
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(halfLoadTime)
	for next := time.Now(); next.Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		wg.Go(func() {
			took, err := be.ask(ctx, tg)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, took.Seconds())
		})
	}
	wg.Wait()
	return times
}

// ask sends one request and returns its time to first token, once its answer is whole.
func (be *bench) ask(ctx context.Context, tg target) (time.Duration, error) {
	began := time.Now()
	ex, err := be.open(ctx, tg)
	if err != nil {
		return 0, err
	}
	defer func() { _ = ex.Close() }()
	first := time.Duration(0)
	sc := bufio.NewScanner(ex)
	for sc.Scan() {
		if first == 0 && strings.HasPrefix(sc.Text(), "data: ") {
			first = time.Since(began)
		}
		if sc.Text() == "data: [DONE]" {
			return first, nil
		}
	}
	return 0, io.ErrUnexpectedEOF
}

func (be *bench) open(ctx context.Context, tg target) (*connection.Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + tg.address + "/v1/chat/completions")
	req.Header.SetMethod(http.MethodPost)
	if tg.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+tg.token)
	}
	req.Header.Set("X-Request-Id", "bench")
	req.SetBodyString(tg.body)
	ex, err := be.dialer.Open(ctx, tg.address, req)
	if err == nil && ex.Response().StatusCode() != http.StatusOK {
		_ = ex.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return ex, err
}

// memoryPerStream opens streams that stay open and returns what each adds to the resident memory.
func (be *bench) memoryPerStream(ctx context.Context, name string, tg target) (float64, error) {
	before, err := resident(be.fl, name)
	if err != nil {
		return 0, err
	}
	tg.body = demo.LongChatBody("draft", "hello", 20_000)
	var exs []*connection.Exchange
	for range streams {
		ex, openErr := be.open(ctx, tg)
		if openErr != nil {
			return 0, openErr
		}
		exs = append(exs, ex)
	}
	after, err := resident(be.fl, name)
	for _, ex := range exs {
		_ = ex.Close()
	}
	return max(0, after-before) / streams, err
}

// cpu returns the processor time of a process, in seconds.
func cpu(fl *demo.Fleet, name string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", fl.Process(name)))
	if err != nil {
		return 0, errors.Wrap(err, "path: processor time")
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const user, system = 11, 12
	sum := 0.0
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, errors.Wrap(err, "path: processor time")
		}
		sum += ticks / clockTicks
	}
	return sum, nil
}

// resident returns the resident memory of a process, in bytes.
func resident(fl *demo.Fleet, name string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", fl.Process(name)))
	if err != nil {
		return 0, errors.Wrap(err, "path: memory")
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * pageBytes, errors.Wrap(err, "path: memory")
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
