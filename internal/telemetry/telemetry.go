// Package telemetry counts what the system does, by OpenTelemetry, and serves it for scraping.
//
// Attributes come from closed sets only: reasons, classes, purposes. Text of a team is never one.
package telemetry

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

// TokenSource says where the tokens of a history came from.
type TokenSource string

const (
	// Reused tokens were in the endpoint's memory.
	Reused TokenSource = "reused"
	// Imported tokens came from a store host.
	Imported TokenSource = "imported"
	// Recomputed tokens were read again.
	Recomputed TokenSource = "recomputed"
)

// Meter counts what a host does. It is safe for concurrent use.
type Meter struct {
	handler    http.Handler
	refusals   metric.Int64Counter
	retries    metric.Int64Counter
	dispatches metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	platform   metric.Int64Counter
	control    metric.Int64Counter
	moved      metric.Int64Counter
	ended      metric.Int64Counter
	opened     metric.Int64Counter
	spent      metric.Float64Counter

	controlBytes  atomic.Int64
	platformReads atomic.Int64
	platformWrite atomic.Int64
}

var (
	_ keyvalue.Meter = (*Meter)(nil)

	firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.55, 0.8, 1.2, 2, 4, 8, 16, 32}
)

// New returns a meter with a scrape page of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: exporter")
	}
	om := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("bergamotway")
	me := &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	counters := []struct {
		target *metric.Int64Counter
		name   string
		about  string
	}{
		{&me.refusals, "bergamotway.refusals", "Refusals by reason and class."},
		{&me.retries, "bergamotway.retries", "Retries by reason and class."},
		{&me.dispatches, "bergamotway.dispatches", "Dispatches by class."},
		{&me.tokens, "bergamotway.history.tokens", "Tokens of histories by source."},
		{&me.platform, "bergamotway.platform.calls", "Calls to the key-value service by purpose."},
		{&me.control, "bergamotway.control.bytes", "Bytes of control traffic by direction."},
		{&me.moved, "bergamotway.link.bytes", "Bytes moved over links of store hosts by direction."},
		{&me.ended, "bergamotway.requests", "Requests by route and how they ended."},
		{&me.opened, "bergamotway.connections", "Connections opened to endpoints."},
	}
	for _, c := range counters {
		if *c.target, err = om.Int64Counter(c.name, metric.WithDescription(c.about)); err != nil {
			return nil, errors.Wrap(err, "telemetry: "+c.name)
		}
	}
	me.firstToken, err = om.Float64Histogram("bergamotway.first.token", metric.WithUnit("s"),
		metric.WithDescription("Time to first token by class."),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: first token")
	}
	me.spent, err = om.Float64Counter("bergamotway.accelerator.time", metric.WithUnit("s"),
		metric.WithDescription("Estimated accelerator time by class."))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: accelerator time")
	}
	_, err = om.Float64ObservableCounter("bergamotway.process.cpu", metric.WithUnit("s"),
		metric.WithDescription("Processor time of the process."),
		metric.WithFloat64Callback(func(_ context.Context, ob metric.Float64Observer) error {
			ob.Observe(processorTime().Seconds())
			return nil
		}))
	return me, errors.Wrap(err, "telemetry: processor time")
}

// processorTime returns the user and system time of the process so far; zero if it is not known.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// Handler returns the scrape page.
func (me *Meter) Handler() http.Handler { return me.handler }

// Refused counts a refusal.
func (me *Meter) Refused(code refusal.Code, class string) {
	me.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("reason", code.String()), attribute.String("class", class)))
}

// Retried counts a retry.
func (me *Meter) Retried(reason, class string) {
	me.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("reason", reason), attribute.String("class", class)))
}

// Dispatched counts an attempt at an endpoint.
func (me *Meter) Dispatched(class string) {
	me.dispatches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class)))
}

// Tokens counts tokens of a history by their source.
func (me *Meter) Tokens(source TokenSource, n int) {
	me.tokens.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("source", string(source))))
}

// FirstToken records a time to first token.
func (me *Meter) FirstToken(class string, d time.Duration) {
	me.firstToken.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("class", class)))
}

// Spent counts estimated accelerator time.
func (me *Meter) Spent(class string, seconds float64) {
	me.spent.Add(context.Background(), seconds, metric.WithAttributes(attribute.String("class", class)))
}

// Ended counts a request by how it ended.
func (me *Meter) Ended(route, end string) {
	me.ended.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", route), attribute.String("end", end)))
}

// Opened counts a connection to an endpoint.
func (me *Meter) Opened() { me.opened.Add(context.Background(), 1) }

// Moved counts bytes over a store host's link; direction is "import" or "export".
func (me *Meter) Moved(direction string, bytes int64) {
	me.moved.Add(context.Background(), bytes, metric.WithAttributes(attribute.String("direction", direction)))
}

// PlatformCall counts a call to the key-value service.
func (me *Meter) PlatformCall(purpose keyvalue.Purpose, write bool) {
	kind := "read"
	if write {
		kind = "write"
		me.platformWrite.Add(1)
	} else {
		me.platformReads.Add(1)
	}
	me.platform.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("purpose", string(purpose)), attribute.String("kind", kind)))
}

// ControlBytes counts control traffic.
func (me *Meter) ControlBytes(sent, received int) {
	me.controlBytes.Add(int64(sent + received))
	if sent > 0 {
		me.control.Add(context.Background(), int64(sent), metric.WithAttributes(attribute.String("direction", "sent")))
	}
	if received > 0 {
		me.control.Add(context.Background(), int64(received), metric.WithAttributes(attribute.String("direction", "received")))
	}
}

// Totals returns the bytes of control traffic and the calls to the key-value service so far.
func (me *Meter) Totals() (controlBytes, platformReads, platformWrites int64) {
	return me.controlBytes.Load(), me.platformReads.Load(), me.platformWrite.Load()
}
