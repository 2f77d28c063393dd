// Package path measures the overhead of the request path: the latency that an entry host adds to a
// request, compared to calling the engine directly, and its CPU time and memory.
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
	// bench sends requests to a running fleet.
	bench struct {
		fl     *demo.Fleet
		dialer *connection.Dialer
	}

	// target is the address to which requests are sent, and their token and body.
	target struct {
		address string
		body    string
		token   string
	}
)

const (
	saturationTime = 4 * time.Second
	halfLoadTime   = 6 * time.Second
	// clientCount is the number of concurrent clients at saturation.
	clientCount = 24
	// streamCount is the number of open streams for which memory is measured.
	streamCount = 200
	// clockTicksPerSecond is the unit of the CPU times in /proc.
	clockTicksPerSecond = 100
	// pageBytes is the unit of the memory sizes in /proc.
	pageBytes = 4096
	p99       = 0.99
)

// Command returns the command that measures the request path.
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

// run starts a fleet, measures it and prints the results.
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
	hostName := fl.Hosts[0].Name
	viaHost := target{address: fl.Hosts[0].ListenAddress, token: demo.TeamToken, body: demo.ChatBody("crew", "hello")}
	direct := target{address: fl.EngineAddresses[0], body: demo.ChatBody("assistant", "hello")}
	// The measurement starts after the cold start of the stand-ins.
	time.Sleep(time.Second)
	cpuBefore, err := cpuSeconds(fl, hostName)
	if err != nil {
		return err
	}
	served := be.countAtSaturation(ctx, viaHost)
	cpuAfter, err := cpuSeconds(fl, hostName)
	if err != nil {
		return err
	}
	halfRate := float64(served) / saturationTime.Seconds() / 2
	directTTFTs := be.ttftsAtRate(ctx, direct, halfRate)
	viaHostTTFTs := be.ttftsAtRate(ctx, viaHost, halfRate)
	streamMemory, err := be.memoryPerStream(ctx, hostName, viaHost)
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
		float64(served)/saturationTime.Seconds(), float64(served)/(cpuAfter-cpuBefore), halfRate,
		quantile(directTTFTs, 0.5), quantile(directTTFTs, p99),
		quantile(viaHostTTFTs, 0.5)-quantile(directTTFTs, 0.5), quantile(viaHostTTFTs, p99)-quantile(directTTFTs, p99), streamMemory)
	return errors.Wrap(err, "path: print results")
}

// countAtSaturation sends requests from clientCount clients, each without a pause, and returns the number
// of complete responses.
func (be *bench) countAtSaturation(ctx context.Context, tg target) int64 {
	ctx, cancel := context.WithTimeout(ctx, saturationTime)
	defer cancel()
	var served atomic.Int64
	var wg sync.WaitGroup
	for range clientCount {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := be.measureTTFT(ctx, tg); err == nil {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return served.Load()
}

// ttftsAtRate sends requests at a constant rate and returns their times to first token, in seconds.
// Requests that fail are left out.
func (be *bench) ttftsAtRate(ctx context.Context, tg target, rate float64) []float64 {
	var mu sync.Mutex
	var ttfts []float64
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(halfLoadTime)
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		wg.Go(func() {
			ttft, err := be.measureTTFT(ctx, tg)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ttfts = append(ttfts, ttft.Seconds())
		})
	}
	wg.Wait()
	return ttfts
}

// measureTTFT sends one request, reads the response to its end, and returns the time to first token.
func (be *bench) measureTTFT(ctx context.Context, tg target) (time.Duration, error) {
	start := time.Now()
	ex, err := be.openStream(ctx, tg)
	if err != nil {
		return 0, err
	}
	defer func() { _ = ex.Close() }()
	ttft := time.Duration(0)
	sc := bufio.NewScanner(ex)
	for sc.Scan() {
		if ttft == 0 && strings.HasPrefix(sc.Text(), "data: ") {
			ttft = time.Since(start)
		}
		if sc.Text() == "data: [DONE]" {
			return ttft, nil
		}
	}
	return 0, io.ErrUnexpectedEOF
}

// openStream sends one request and returns the response stream.
func (be *bench) openStream(ctx context.Context, tg target) (*connection.Exchange, error) {
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

// memoryPerStream holds streamCount streams open and returns the resident memory that each adds to the
// host, in bytes.
func (be *bench) memoryPerStream(ctx context.Context, hostName string, tg target) (float64, error) {
	before, err := residentBytes(be.fl, hostName)
	if err != nil {
		return 0, err
	}
	tg.body = demo.LongChatBody("draft", "hello", 20_000)
	var exs []*connection.Exchange
	for range streamCount {
		ex, openErr := be.openStream(ctx, tg)
		if openErr != nil {
			return 0, openErr
		}
		exs = append(exs, ex)
	}
	after, err := residentBytes(be.fl, hostName)
	for _, ex := range exs {
		_ = ex.Close()
	}
	return max(0, after-before) / streamCount, err
}

// cpuSeconds returns the user and system CPU time of the process of a host, in seconds.
func cpuSeconds(fl *demo.Fleet, hostName string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", fl.PID(hostName)))
	if err != nil {
		return 0, errors.Wrap(err, "path: read CPU time")
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	// The indexes of utime and stime in the fields after the command name, see proc_pid_stat(5).
	const userField, systemField = 11, 12
	totalSeconds := 0.0
	for _, i := range []int{userField, systemField} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, errors.Wrap(err, "path: read CPU time")
		}
		totalSeconds += ticks / clockTicksPerSecond
	}
	return totalSeconds, nil
}

// residentBytes returns the resident memory of the process of a host, in bytes.
func residentBytes(fl *demo.Fleet, hostName string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", fl.PID(hostName)))
	if err != nil {
		return 0, errors.Wrap(err, "path: read resident memory")
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * pageBytes, errors.Wrap(err, "path: read resident memory")
}

// quantile returns the quantile q of the values, or NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
