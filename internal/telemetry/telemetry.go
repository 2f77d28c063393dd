// Package telemetry records the metrics of a host with OpenTelemetry and serves them in the Prometheus
// format.
//
// Attribute values come from closed sets only, such as reasons, classes and purposes. Text supplied by
// a team is never used as an attribute value.
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

// TokenSource is the way in which an endpoint obtained tokens of a history.
type TokenSource string

const (
	// Reused tokens were in the endpoint's memory already.
	Reused TokenSource = "reused"
	// Imported tokens were transferred from a store host.
	Imported TokenSource = "imported"
	// Recomputed tokens were processed again in a prefill.
	Recomputed TokenSource = "recomputed"
)

// EndpointCount is the number of endpoints of a service that say something of themselves: statement is its kind.
type EndpointCount struct {
	Service, Statement string
	Endpoints          int
}

// Rollout is the rollout of a software version: how far it has come, and the share of the requests that the version gets.
type Rollout struct {
	Service, Software, State string
	Exposure                 float64
}

// Meter holds the metrics of a host. It is safe for concurrent use.
type Meter struct {
	handler            http.Handler
	om                 metric.Meter
	refusals           metric.Int64Counter
	retries            metric.Int64Counter
	hedges             metric.Int64Counter
	dispatches         metric.Int64Counter
	laneDispatches     metric.Int64Counter
	historyTokens      metric.Int64Counter
	timeToFirstToken   metric.Float64Histogram
	estimateRatio      metric.Float64Histogram
	platformCalls      metric.Int64Counter
	controlTraffic     metric.Int64Counter
	linkBytes          metric.Int64Counter
	requests           metric.Int64Counter
	connections        metric.Int64Counter
	partQuarantine     metric.Int64Counter
	endpointStatements metric.Int64Counter
	reachChanges       metric.Int64Counter
	separations        metric.Int64Counter
	configurationAsks  metric.Int64Counter
	acceleratorTime    metric.Float64Counter

	controlBytesTotal   atomic.Int64
	platformReadsTotal  atomic.Int64
	platformWritesTotal atomic.Int64
}

var (
	_ keyvalue.Meter = (*Meter)(nil)

	// firstTokenBuckets are the upper bounds of the histogram buckets for the time to first token, in
	// seconds.
	firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.55, 0.8, 1.2, 2, 4, 8, 16, 32}
	// estimateRatioBuckets are the upper bounds of the histogram buckets for the ratio of measured to estimated times.
	estimateRatioBuckets = []float64{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4, 8, 16}
)

// New returns a meter with its own metrics registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: create exporter")
	}
	om := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("bergamotway")
	me := &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), om: om}
	counters := []struct {
		target      *metric.Int64Counter
		name        string
		description string
	}{
		{&me.refusals, "bergamotway.refusals", "Refusals by reason and class."},
		{&me.retries, "bergamotway.retries", "Retries by reason and class."},
		{&me.hedges, "bergamotway.hedges", "Second attempts while the first was under way, by outcome and class."},
		{&me.dispatches, "bergamotway.dispatches", "Dispatches by class."},
		{&me.laneDispatches, "bergamotway.lane.dispatches", "Dispatches by class and lane, where engines are divided."},
		{&me.historyTokens, "bergamotway.history.tokens", "Tokens of histories by source."},
		{&me.platformCalls, "bergamotway.platform.calls", "Calls to the key-value service by purpose."},
		{&me.controlTraffic, "bergamotway.control.bytes", "Bytes of control traffic by direction."},
		{&me.linkBytes, "bergamotway.link.bytes", "Bytes moved over links of store hosts by direction."},
		{&me.requests, "bergamotway.requests", "Requests by route and how they ended."},
		{&me.connections, "bergamotway.connections", "Connections opened to endpoints."},
		{&me.endpointStatements, "bergamotway.endpoint.statements", "Changes of what endpoints say of themselves by statement and change."},
		{&me.reachChanges, "bergamotway.reach", "Changes of whether any endpoint of a service responds to this host, by service and change."},
		{&me.configurationAsks, "bergamotway.configuration.inquiries", "Inquiries among other hosts about the newest configuration, by what is known since and whether one was adopted."},
		{&me.separations, "bergamotway.cache.separations", "Attempts with a KV cache of the team's own since a newer configuration may be in force, by class."},
		{&me.partQuarantine, "bergamotway.part.quarantine", "Changes of the quarantine of prompt parts by kind."},
	}
	for _, c := range counters {
		if *c.target, err = om.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, errors.Wrap(err, "telemetry: "+c.name)
		}
	}
	me.timeToFirstToken, err = om.Float64Histogram("bergamotway.first.token", metric.WithUnit("s"),
		metric.WithDescription("Time to first token by class."),
		metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: create first token histogram")
	}
	me.estimateRatio, err = om.Float64Histogram("bergamotway.first.token.estimate.ratio",
		metric.WithDescription("Measured time to the first event of an engine relative to the estimate by class."),
		metric.WithExplicitBucketBoundaries(estimateRatioBuckets...))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: create estimate histogram")
	}
	me.acceleratorTime, err = om.Float64Counter("bergamotway.accelerator.time", metric.WithUnit("s"),
		metric.WithDescription("Estimated accelerator time by class."))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: create accelerator time counter")
	}
	_, err = om.Float64ObservableCounter("bergamotway.process.cpu", metric.WithUnit("s"),
		metric.WithDescription("Processor time of the process."),
		metric.WithFloat64Callback(func(_ context.Context, ob metric.Float64Observer) error {
			ob.Observe(processorTime().Seconds())
			return nil
		}))
	return me, errors.Wrap(err, "telemetry: create processor time counter")
}

// processorTime returns the user and system CPU time that the process has used; zero if it is unavailable.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// Handler returns the handler that serves the metrics.
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

// Hedged counts what became of a second attempt while the first one was under way.
func (me *Meter) Hedged(outcome, class string) {
	me.hedges.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("outcome", outcome), attribute.String("class", class)))
}

// Dispatched counts an attempt at an endpoint.
func (me *Meter) Dispatched(class string) {
	me.dispatches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class)))
}

// LaneUsed counts an attempt at an endpoint in a lane.
func (me *Meter) LaneUsed(class, lane string) {
	me.laneDispatches.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", class), attribute.String("lane", lane)))
}

// AddHistoryTokens adds n tokens of a history with the given source.
func (me *Meter) AddHistoryTokens(source TokenSource, n int) {
	me.historyTokens.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("source", string(source))))
}

// ObserveFirstToken records d as a time to first token.
func (me *Meter) ObserveFirstToken(class string, d time.Duration) {
	me.timeToFirstToken.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("class", class)))
}

// ObserveFirstTokenEstimate records how long the first event of an engine took relative to the estimate.
func (me *Meter) ObserveFirstTokenEstimate(class string, estimate, actual time.Duration) {
	if estimate > 0 {
		me.estimateRatio.Record(context.Background(), float64(actual)/float64(estimate), metric.WithAttributes(attribute.String("class", class)))
	}
}

// AddAcceleratorTime adds estimated accelerator time, in seconds.
func (me *Meter) AddAcceleratorTime(class string, seconds float64) {
	me.acceleratorTime.Add(context.Background(), seconds, metric.WithAttributes(attribute.String("class", class)))
}

// ConfigurationAskedFor counts an inquiry among other hosts about the newest configuration.
func (me *Meter) ConfigurationAskedFor(basis string, adopted bool) {
	me.configurationAsks.Add(context.Background(), 1, metric.WithAttributes(attribute.String("basis", basis), attribute.Bool("adopted", adopted)))
}

// CacheSeparated counts an attempt with a KV cache of its team's own, since a newer configuration may be in force.
func (me *Meter) CacheSeparated(class string) {
	me.separations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class)))
}

// RequestEnded counts a request by its route and how it ended.
func (me *Meter) RequestEnded(route, outcome string) {
	me.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", route), attribute.String("end", outcome)))
}

// ConnectionOpened counts a connection opened to an endpoint.
func (me *Meter) ConnectionOpened() { me.connections.Add(context.Background(), 1) }

// PartQuarantineChanged counts a part of prompts that was blocked, tried again or cleared.
func (me *Meter) PartQuarantineChanged(kind string) {
	me.partQuarantine.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", kind)))
}

// EndpointStatementChanged counts a statement of an endpoint about itself, of the given kind, that has begun or ended.
func (me *Meter) EndpointStatementChanged(kind string, hasEnded bool) {
	change := "begun"
	if hasEnded {
		change = "ended"
	}
	me.endpointStatements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("statement", kind), attribute.String("change", change)))
}

// ReachChanged counts that this host reaches no endpoint of a service any more, or one again.
func (me *Meter) ReachChanged(service string, isCutOff bool) {
	change := "ended"
	if isCutOff {
		change = "begun"
	}
	me.reachChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("change", change)))
}

// ObserveEndpoints adds a gauge of the endpoints that count returns at each scrape.
func (me *Meter) ObserveEndpoints(count func() []EndpointCount) error {
	_, err := me.om.Int64ObservableGauge("bergamotway.endpoints",
		metric.WithDescription("Endpoints that say something of themselves by service and statement."),
		metric.WithInt64Callback(func(_ context.Context, ob metric.Int64Observer) error {
			for _, ec := range count() {
				ob.Observe(int64(ec.Endpoints), metric.WithAttributes(attribute.String("service", ec.Service), attribute.String("statement", ec.Statement)))
			}
			return nil
		}))
	return errors.Wrap(err, "telemetry: create gauge of endpoints")
}

// ObserveRollouts adds a gauge of the exposure of the software versions that are being rolled out.
func (me *Meter) ObserveRollouts(list func() []Rollout) error {
	_, err := me.om.Float64ObservableGauge("bergamotway.rollout.exposure",
		metric.WithDescription("Share of the requests of a service that a rolled out software version gets by state; zero while it is not judged."),
		metric.WithFloat64Callback(func(_ context.Context, ob metric.Float64Observer) error {
			for _, ro := range list() {
				ob.Observe(ro.Exposure, metric.WithAttributes(attribute.String("service", ro.Service),
					attribute.String("software", ro.Software), attribute.String("state", ro.State)))
			}
			return nil
		}))
	return errors.Wrap(err, "telemetry: create gauge of rollouts")
}

// AddLinkBytes adds bytes transferred over a store host's link; direction is "import" or "export".
func (me *Meter) AddLinkBytes(direction string, bytes int64) {
	me.linkBytes.Add(context.Background(), bytes, metric.WithAttributes(attribute.String("direction", direction)))
}

// CountPlatformCall counts a call to the key-value service.
func (me *Meter) CountPlatformCall(purpose keyvalue.Purpose, isWrite bool) {
	kind := "read"
	if isWrite {
		kind = "write"
		me.platformWritesTotal.Add(1)
	} else {
		me.platformReadsTotal.Add(1)
	}
	me.platformCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("purpose", string(purpose)), attribute.String("kind", kind)))
}

// AddControlBytes adds sent and received bytes of control traffic.
func (me *Meter) AddControlBytes(sent, received int) {
	me.controlBytesTotal.Add(int64(sent + received))
	if sent > 0 {
		me.controlTraffic.Add(context.Background(), int64(sent), metric.WithAttributes(attribute.String("direction", "sent")))
	}
	if received > 0 {
		me.controlTraffic.Add(context.Background(), int64(received), metric.WithAttributes(attribute.String("direction", "received")))
	}
}

// Totals returns the bytes of control traffic and the calls to the key-value service since the start.
func (me *Meter) Totals() (controlBytes, platformReads, platformWrites int64) {
	return me.controlBytesTotal.Load(), me.platformReadsTotal.Load(), me.platformWritesTotal.Load()
}
