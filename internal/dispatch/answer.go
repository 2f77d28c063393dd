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
	// Answer is the answer to a job over all its attempts. It is not safe for concurrent use; the
	// end of the context given to Next ends a read in progress.
	Answer struct {
		di   *Dispatcher
		job  Job
		text string

		place     place
		stream    Stream
		attempt   int
		version   string
		delivered strings.Builder
		tokens    int
		isSent    bool
		tried     map[string]bool
		first     *engine.Token
		cached    int
		isEnded   bool
		isWhole   bool
		runID     string
	}

	// Usage counts the tokens of a finished answer.
	Usage struct {
		Prompt     int
		Cached     int
		Completion int
	}
)

const (
	// attemptLimit is the most attempts of one job.
	attemptLimit = 4
	// checkTimeout bounds the question whether an endpoint crashed.
	checkTimeout = 300 * time.Millisecond
	// failedAvoid is how long an endpoint is passed over after an attempt failed there.
	failedAvoid = time.Second
	// releaseTimeout bounds giving a place back.
	releaseTimeout = time.Second
)

func newAnswer(di *Dispatcher, job Job) *Answer {
	return &Answer{di: di, job: job, text: engine.Text(job.Messages), tried: make(map[string]bool)}
}

// Usage returns the tokens counted so far.
func (an *Answer) Usage() Usage {
	return Usage{Prompt: history.Tokens(an.text), Cached: an.cached, Completion: an.tokens}
}

// Next returns the next token, each exactly once and in order, or io.EOF after the whole answer.
// Any other failure is a *refusal.Error of a job that may have run.
func (an *Answer) Next(ctx context.Context) (engine.Token, error) {
	if an.first != nil {
		tok := *an.first
		an.first = nil
		return tok, nil
	}
	if an.isWhole {
		return engine.Token{}, io.EOF
	}
	for {
		tok, err := an.stream.Next()
		if err == nil {
			an.count(tok)
			return tok, nil
		}
		if errors.Is(err, io.EOF) {
			an.finish(ctx)
			return engine.Token{}, io.EOF
		}
		if err = an.recover(ctx, err); err != nil {
			return engine.Token{}, err
		}
	}
}

// Close ends the answer. A run that has not ended is cancelled at its endpoint.
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
	_ = an.di.Engines.Cancel(ctx, an.place.view.Address, an.runID)
	an.leave(ctx, 0)
}

// start opens attempts until the first token is there.
func (an *Answer) start(ctx context.Context) error {
	if err := an.open(ctx); err != nil {
		return err
	}
	tok, err := an.Next(ctx)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	an.first = &tok
	an.di.Meter.FirstToken(an.job.Class.Name, an.di.Clock.Now().Sub(an.job.Received))
	return nil
}

// open opens one attempt after another until an endpoint has accepted one.
func (an *Answer) open(ctx context.Context) error {
	for {
		err := an.openOnce(ctx)
		if err == nil {
			return nil
		}
		var re *refusal.Error
		if errors.As(err, &re) {
			return an.refuse(re)
		}
		if err = an.judge(ctx, err); err != nil {
			return err
		}
	}
}

func (an *Answer) openOnce(ctx context.Context) error {
	if an.di.Board.Standing(an.job.Fingerprint) == quarantine.Refused {
		return refusal.New(refusal.Quarantined, "the request was running when %d endpoints crashed", quarantine.CrashLimit)
	}
	if err := an.settlePlace(ctx); err != nil {
		return err
	}
	pl := an.place
	an.attempt++
	an.runID = an.job.ID + "-" + strconv.Itoa(an.attempt)
	rn := engine.Run{
		ID:            an.runID,
		Model:         an.job.Model.Name,
		Version:       pl.scope.Version,
		Salt:          pl.scope.Salt().String(),
		Priority:      an.job.Class.Priority,
		MaxTokens:     an.job.MaxTokens,
		Messages:      an.job.Messages,
		Resumed:       an.delivered.String(),
		ResumedTokens: an.tokens,
	}
	an.di.Registry.Started(pl.view.Name, rn.ID, an.job.Fingerprint)
	an.di.Meter.Dispatched(an.job.Class.Name)
	st, err := an.di.Engines.Open(ctx, pl.view.Address, rn)
	if err != nil {
		return err
	}
	an.stream = st
	an.isSent = true
	an.version = pl.scope.Version
	an.noteStart(st)
	return nil
}

// settlePlace takes a place and brings the history there. A place on an endpoint in cold start
// lapses if the import takes long: then a new one is taken and the history is read instead.
func (an *Answer) settlePlace(ctx context.Context) error {
	di := an.di
	pl, err := di.choose(ctx, an.job, an.text, an.version, an.tried)
	if err != nil {
		return err
	}
	di.bring(ctx, an.job, &pl)
	for pl.isCold && di.Clock.Now().After(pl.useBy) {
		di.giveBack(ctx, pl)
		if pl, err = di.choose(ctx, an.job, an.text, an.version, an.tried); err != nil {
			return err
		}
		pl.plan.Import = 0
	}
	an.place = pl
	return nil
}

// recover opens a further attempt after a stream failed. The answer goes on where it stopped.
func (an *Answer) recover(ctx context.Context, cause error) error {
	_ = an.stream.Close()
	if err := an.judge(ctx, cause); err != nil {
		return err
	}
	return an.open(ctx)
}

// judge decides what a failed attempt means. It returns nil if another attempt may follow.
func (an *Answer) judge(ctx context.Context, cause error) error {
	reason := reasonOf(cause)
	name := an.place.view.Name
	isStarted := reason != reasonDial && reason != reasonRefused && reason != reasonVersion
	an.isSent = an.isSent || isStarted
	if isStarted && reason == reasonBroken && ctx.Err() == nil {
		an.checkCrash(ctx)
	}
	an.leave(ctx, 0)
	an.tried[name] = true
	an.di.Registry.Avoid(name, failedAvoid)
	an.di.Log.WithFields(map[string]any{"request": an.job.ID, "endpoint": name, "reason": reason}).Warn("Attempt failed.")
	if ctx.Err() != nil {
		return an.refuse(refusal.New(refusal.EndpointFailed, "the caller left"))
	}
	if an.attempt >= attemptLimit {
		return an.refuse(refusal.New(refusal.EndpointFailed, "%d attempts failed, the last one: %v", an.attempt, cause))
	}
	if !an.di.Budget.Take(an.job.Class.Name) {
		return an.refuse(refusal.New(refusal.RetryBudget, "class %s has no retries left after: %v", an.job.Class.Name, cause))
	}
	an.di.Meter.Retried(reason, an.job.Class.Name)
	return nil
}

// refuse says of a refusal whether the job may have run, over all its attempts.
func (an *Answer) refuse(re *refusal.Error) error {
	if !an.isSent {
		return re
	}
	code := re.Code()
	if an.tokens > 0 {
		code = refusal.StreamBroken
	}
	return refusal.NewMayHaveRun(code, "%s", re.Message())
}

// checkCrash asks the endpoint on a new connection whether it still is the one that took the
// run. If not, every run of this host there is a suspect, and the other hosts hear of it before
// the caller can send again.
func (an *Answer) checkCrash(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	start := an.place.start
	ld, err := an.di.Engines.Load(ctx, an.place.view.Address)
	var de *connection.DialError
	isGone := errors.As(err, &de)
	isNew := err == nil && start != "" && ld.StartID != start
	if !isGone && !isNew {
		return
	}
	an.place.start = ld.StartID
	name := an.place.view.Name
	fps := an.di.Registry.Running(name)
	id := name + "/" + start
	an.di.Board.Crash(id, fps...)
	an.di.Registry.Crashed(name)
	an.di.Announcer.AnnounceCrash(ctx, id, fps)
}

func (an *Answer) noteStart(st Stream) {
	if st.StartID() != "" {
		an.place.start = st.StartID()
	}
	an.cached = min(st.CachedTokens(), an.place.tokens)
}

// countSources counts where the tokens of the history came from, once the endpoint has said so.
func (an *Answer) countSources() {
	imported := min(an.place.plan.Import, an.cached)
	read := an.place.tokens - an.cached
	an.di.learnHit(an.cached-imported, an.place.tokens)
	an.di.Meter.Tokens(telemetry.Imported, imported)
	an.di.Meter.Tokens(telemetry.Reused, an.cached-imported)
	an.di.Meter.Tokens(telemetry.Recomputed, read)
	an.di.Meter.Spent(an.job.Class.Name, float64(read)/an.job.Model.PrefillRate)
}

func (an *Answer) count(tok engine.Token) {
	if tok.Finish != "" {
		an.cached = max(an.cached, min(tok.Cached, an.place.tokens))
		return
	}
	an.tokens++
	an.delivered.WriteString(tok.Text)
}

func (an *Answer) finish(ctx context.Context) {
	an.isEnded = true
	an.isWhole = true
	_ = an.stream.Close()
	an.countSources()
	an.leave(ctx, an.place.tokens)
	an.di.keep(an.place)
}

// leave gives the place back; resident says what the endpoint has in memory now.
func (an *Answer) leave(ctx context.Context, resident int) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	root := history.Root(an.place.scope, an.text).String()
	an.di.Registry.Ended(an.place.view.Name, an.runID, root, resident)
	if an.place.grant == "" {
		return
	}
	an.di.Slots.Release(ctx, slot.Release{
		Endpoint: an.place.view.Name,
		Grant:    an.place.grant,
		Root:     slot.ShortRoot(root),
		Resident: resident,
		StartID:  an.place.start,
	})
	an.place.grant = ""
}

const (
	reasonDial     = "dial-failed"
	reasonRefused  = "refused"
	reasonVersion  = "version"
	reasonCrossed  = "crossed"
	reasonSilent   = "silent"
	reasonBroken   = "broken"
	reasonProtocol = "protocol"
)

func reasonOf(err error) string {
	var (
		de *connection.DialError
		re *engine.RefusedError
		ve *engine.VersionError
		ce *engine.CrossedError
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
	case errors.As(err, &ce):
		return reasonCrossed
	case errors.As(err, &be) && be.IsSilent():
		return reasonSilent
	case errors.As(err, &be):
		return reasonBroken
	default:
		return reasonProtocol
	}
}
