package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/slot"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

type (
	// Answer is the answer to a job across all of its attempts. It is not safe for concurrent use.
	// Canceling the context passed to Next interrupts a read in progress.
	Answer struct {
		di     *Dispatcher
		job    Job
		prompt string

		placement placement
		stream    Stream
		attempts  int
		// version is the weight version of the first run; later attempts are restricted to it.
		version         string
		delivered       strings.Builder
		deliveredTokens int
		// mayHaveRun reports whether any attempt may have started on an endpoint.
		mayHaveRun      bool
		failedEndpoints map[string]bool
		firstToken      *engine.Token
		cachedTokens    int
		isEnded         bool
		isComplete      bool
		// runID is the ID of the run that the last attempt opened.
		runID string
	}

	// Usage holds the token counts of an answer.
	Usage struct {
		PromptTokens     int
		CachedTokens     int
		CompletionTokens int
	}
)

const (
	// maxAttempts limits the attempts per job.
	maxAttempts = 4
	// crashCheckTimeout bounds the request that checks whether an endpoint crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// failedEndpointBackoff is how long an endpoint is excluded after an attempt failed on it.
	failedEndpointBackoff = time.Second
	// releaseTimeout bounds the release of a slot, together with the cancellation of its run.
	releaseTimeout = time.Second
)

func newAnswer(di *Dispatcher, job Job) *Answer {
	return &Answer{di: di, job: job, prompt: engine.RenderPrompt(job.Messages), failedEndpoints: make(map[string]bool)}
}

// Usage returns the token counts so far.
func (an *Answer) Usage() Usage {
	return Usage{PromptTokens: history.Tokens(an.prompt), CachedTokens: an.cachedTokens, CompletionTokens: an.deliveredTokens}
}

// Next returns the tokens in order, each exactly once, and io.EOF after the complete answer. Any
// other error is a *refusal.Error for a job that may have run.
func (an *Answer) Next(ctx context.Context) (engine.Token, error) {
	if an.firstToken != nil {
		tok := *an.firstToken
		an.firstToken = nil
		return tok, nil
	}
	if an.isComplete {
		return engine.Token{}, io.EOF
	}
	for {
		tok, err := an.stream.Next()
		if err == nil {
			an.recordToken(tok)
			return tok, nil
		}
		if errors.Is(err, io.EOF) {
			an.finish(ctx)
			return engine.Token{}, io.EOF
		}
		if err = an.resume(ctx, err); err != nil {
			return engine.Token{}, err
		}
	}
}

// Close closes the answer. A run still in progress is canceled on its endpoint.
func (an *Answer) Close() {
	if an.isEnded {
		return
	}
	an.isEnded = true
	if an.stream == nil {
		return
	}
	_ = an.stream.Close()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = an.di.Engines.Cancel(ctx, an.placement.view.Address, an.runID)
	an.release(ctx, 0)
}

// start opens attempts until the first token, or the end of an empty answer, has arrived.
func (an *Answer) start(ctx context.Context) error {
	if err := an.openUntilAccepted(ctx); err != nil {
		return err
	}
	tok, err := an.Next(ctx)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	an.firstToken = &tok
	an.di.Meter.ObserveFirstToken(an.job.Class.Name, an.di.Clock.Now().Sub(an.job.Received))
	return nil
}

// openUntilAccepted opens attempts until an endpoint accepts one.
func (an *Answer) openUntilAccepted(ctx context.Context) error {
	for {
		err := an.openAttempt(ctx)
		if err == nil {
			return nil
		}
		var re *refusal.Error
		if errors.As(err, &re) {
			return an.finalRefusal(re)
		}
		if err = an.handleFailure(ctx, err); err != nil {
			return err
		}
	}
}

// openAttempt acquires a slot on an endpoint and opens the run there.
func (an *Answer) openAttempt(ctx context.Context) error {
	if an.di.Quarantine.State(an.job.Fingerprint) == quarantine.Refused {
		return refusal.New(refusal.Quarantined, "the request was running when %d endpoints crashed", quarantine.CrashLimit)
	}
	if err := an.acquirePlacement(ctx); err != nil {
		return err
	}
	pl := an.placement
	an.attempts++
	an.runID = an.job.ID + "-" + strconv.Itoa(an.attempts)
	rn := engine.Run{
		ID:            an.runID,
		Model:         an.job.Model.Name,
		Version:       pl.scope.Version,
		Salt:          pl.scope.Salt().String(),
		Priority:      an.job.Class.Priority,
		MaxTokens:     an.job.MaxTokens,
		Messages:      an.job.Messages,
		Resumed:       an.delivered.String(),
		ResumedTokens: an.deliveredTokens,
	}
	an.di.Registry.RecordStart(pl.view.Name, rn.ID, an.job.Fingerprint)
	an.di.Meter.Dispatched(an.job.Class.Name)
	st, err := an.di.Engines.Open(ctx, pl.view.Address, rn)
	if err != nil {
		return err
	}
	an.stream = st
	an.mayHaveRun = true
	an.version = pl.scope.Version
	an.recordStreamHeader(st)
	return nil
}

// acquirePlacement acquires a slot on an endpoint and imports the history there. On an endpoint in
// cold start the run must start before the use deadline of the slot. If the import takes longer, a
// new slot is acquired and the history is recomputed instead.
func (an *Answer) acquirePlacement(ctx context.Context) error {
	di := an.di
	pl, err := di.choosePlacement(ctx, an.job, an.prompt, an.version, an.failedEndpoints)
	if err != nil {
		return err
	}
	di.importHistory(ctx, an.job, &pl)
	for pl.isCold && di.Clock.Now().After(pl.useDeadline) {
		di.releaseSlot(ctx, pl)
		if pl, err = di.choosePlacement(ctx, an.job, an.prompt, an.version, an.failedEndpoints); err != nil {
			return err
		}
		pl.plan.ImportTokens = 0
	}
	an.placement = pl
	return nil
}

// resume opens another attempt after a stream failed. The answer continues after the last
// delivered token.
func (an *Answer) resume(ctx context.Context, cause error) error {
	_ = an.stream.Close()
	if err := an.handleFailure(ctx, cause); err != nil {
		return err
	}
	return an.openUntilAccepted(ctx)
}

// handleFailure releases the slot of a failed attempt and returns nil if the job may be retried,
// or the refusal that ends it.
func (an *Answer) handleFailure(ctx context.Context, cause error) error {
	reason := failureReason(cause)
	name := an.placement.view.Name
	mayHaveStarted := reason != reasonDial && reason != reasonRefused && reason != reasonVersion
	an.mayHaveRun = an.mayHaveRun || mayHaveStarted
	if mayHaveStarted && reason == reasonBroken && ctx.Err() == nil {
		an.detectCrash(ctx)
	}
	an.release(ctx, 0)
	an.failedEndpoints[name] = true
	an.di.Registry.Avoid(name, failedEndpointBackoff)
	an.di.Log.WithFields(map[string]any{"request": an.job.ID, "endpoint": name, "reason": reason}).Warn("Attempt failed.")
	if ctx.Err() != nil {
		return an.finalRefusal(refusal.New(refusal.EndpointFailed, "the caller left"))
	}
	if an.attempts >= maxAttempts {
		return an.finalRefusal(refusal.New(refusal.EndpointFailed, "%d attempts failed, the last one: %v", an.attempts, cause))
	}
	if !an.di.RetryBudget.TryRetry(an.job.Class.Name) {
		return an.finalRefusal(refusal.New(refusal.RetryBudget, "class %s has no retries left after: %v", an.job.Class.Name, cause))
	}
	an.di.Meter.Retried(reason, an.job.Class.Name)
	return nil
}

// finalRefusal returns the refusal that ends the job. If any attempt may have run, the refusal
// says so.
func (an *Answer) finalRefusal(re *refusal.Error) error {
	if !an.mayHaveRun {
		return re
	}
	code := re.Code()
	if an.deliveredTokens > 0 {
		code = refusal.StreamBroken
	}
	return refusal.NewMayHaveRun(code, "%s", re.Message())
}

// detectCrash requests a load report on a new connection. If the endpoint cannot be reached or its
// start ID has changed, it crashed: every run of this host on the endpoint becomes a suspect, and
// the crash is announced to the other hosts before the client can retry.
func (an *Answer) detectCrash(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	startID := an.placement.startID
	ld, err := an.di.Engines.FetchLoad(ctx, an.placement.view.Address)
	var de *connection.DialError
	isUnreachable := errors.As(err, &de)
	isRestarted := err == nil && startID != "" && ld.StartID != startID
	if !isUnreachable && !isRestarted {
		return
	}
	an.placement.startID = ld.StartID
	name := an.placement.view.Name
	fps := an.di.Registry.RunningFingerprints(name)
	id := name + "/" + startID
	an.di.Quarantine.RecordCrash(id, fps...)
	an.di.Registry.RecordCrash(name)
	an.di.Announcer.AnnounceCrash(ctx, id, fps)
}

// recordStreamHeader stores the start ID and the cached tokens from the header of a stream.
func (an *Answer) recordStreamHeader(st Stream) {
	if st.StartID() != "" {
		an.placement.startID = st.StartID()
	}
	an.cachedTokens = min(st.CachedTokens(), an.placement.promptTokens)
}

// recordTokenSources counts how many prompt tokens were imported, reused and recomputed, once the
// endpoint has reported its cached tokens. It also updates the hit rate and the accelerator time.
func (an *Answer) recordTokenSources() {
	imported := min(an.placement.plan.ImportTokens, an.cachedTokens)
	prefilled := an.placement.promptTokens - an.cachedTokens
	an.di.updateHitRate(an.cachedTokens-imported, an.placement.promptTokens)
	an.di.Meter.AddHistoryTokens(telemetry.Imported, imported)
	an.di.Meter.AddHistoryTokens(telemetry.Reused, an.cachedTokens-imported)
	an.di.Meter.AddHistoryTokens(telemetry.Recomputed, prefilled)
	an.di.Meter.AddAcceleratorTime(an.job.Class.Name, float64(prefilled)/an.job.Model.PrefillRate)
}

// recordToken adds a token to the delivered text. An event with a finish reason counts as no token;
// it carries the number of cached tokens.
func (an *Answer) recordToken(tok engine.Token) {
	if tok.FinishReason != "" {
		an.cachedTokens = max(an.cachedTokens, min(tok.CachedTokens, an.placement.promptTokens))
		return
	}
	an.deliveredTokens++
	an.delivered.WriteString(tok.Text)
}

func (an *Answer) finish(ctx context.Context) {
	an.isEnded = true
	an.isComplete = true
	_ = an.stream.Close()
	an.recordTokenSources()
	an.release(ctx, an.placement.promptTokens)
	an.di.exportMissing(an.placement)
}

// release releases the slot. resident is the number of tokens of the history that the endpoint now
// has in its KV cache.
func (an *Answer) release(ctx context.Context, resident int) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	root := history.Root(an.placement.scope, an.prompt).String()
	an.di.Registry.RecordEnd(an.placement.view.Name, an.runID, root, resident)
	if an.placement.grantID == "" {
		return
	}
	an.di.Slots.Release(ctx, slot.ReleaseRequest{
		Endpoint: an.placement.view.Name,
		GrantID:  an.placement.grantID,
		Root:     slot.ShortRoot(root),
		Resident: resident,
		StartID:  an.placement.startID,
	})
	an.placement.grantID = ""
}

// The reasons for failed attempts. They appear in the log and as label values of the retry metric.
const (
	reasonDial     = "dial-failed"
	reasonRefused  = "refused"
	reasonVersion  = "version"
	reasonWrongRun = "crossed"
	reasonSilent   = "silent"
	reasonBroken   = "broken"
	reasonProtocol = "protocol"
)

// failureReason returns the reason for the failure of an attempt.
func failureReason(err error) string {
	var (
		de *connection.DialError
		re *engine.RefusedError
		ve *engine.VersionError
		wr *engine.WrongRunError
		be *connection.BrokenError
	)
	switch {
	case errors.As(err, &de):
		return reasonDial
	case errors.As(err, &re) && re.Status() == http.StatusConflict:
		return reasonVersion
	case errors.As(err, &re):
		return reasonRefused
	case errors.As(err, &ve):
		return reasonVersion
	case errors.As(err, &wr):
		return reasonWrongRun
	case errors.As(err, &be) && be.IsIdleTimeout():
		return reasonSilent
	case errors.As(err, &be):
		return reasonBroken
	default:
		return reasonProtocol
	}
}
