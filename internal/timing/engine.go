// Package timing learns how long the engines of each service take, from the responses that a host receives.
package timing

import "math"

const (
	defaultPrefillTokensPerMs      = 112.0
	defaultStepBaseMs              = 3.4
	defaultStepPerRequestMs        = 0.1
	defaultStepPrefillMs           = 36.0
	defaultSaturatingPrefillTokens = 12000.0
	defaultIdleFirstTokenMs        = 45.0
	defaultPlainRequestMs          = 40.0
)

// Engine holds the times of the engines of a service, and how slow one of them is. A field that is zero has its default.
type Engine struct {
	// PrefillTokensPerMs is the rate at which an engine prefills the prompt of a request.
	PrefillTokensPerMs float64
	// PendingTokensPerMs is the rate at which it works off the prompts of other requests before; by default the same.
	PendingTokensPerMs float64
	// StepBaseMs is the time of one decode step of a batch, and StepPerRequestMs what each running request adds to it.
	StepBaseMs, StepPerRequestMs float64
	// StepPrefillMs is the time of a step that also prefills a chunk of a prompt, and SaturatingPrefillTokens the number of
	// pending prompt tokens from which an engine is assumed to prefill in every step.
	StepPrefillMs, SaturatingPrefillTokens float64
	// IdleFirstTokenMs is the time to first token on an idle engine without the prefill, and FirstTokenPerRequestMs what each
	// running request adds to it; by default nothing.
	IdleFirstTokenMs, FirstTokenPerRequestMs float64
	// PlainRequestMs is the typical duration of a request without a model.
	PlainRequestMs float64
	// Slowness is the time to first token of this engine relative to that of the service.
	Slowness float64
}

// FirstTokenMs returns the expected time to first token at an engine, without waits for memory, slots and cache stores.
func (en Engine) FirstTokenMs(prefillTokens, pendingTokens, running int) float64 {
	rate := orDefault(en.PrefillTokensPerMs, defaultPrefillTokensPerMs)
	prefill := float64(pendingTokens+prefillTokens) / rate
	if en.PendingTokensPerMs > 0 {
		prefill = float64(prefillTokens)/rate + float64(pendingTokens)/en.PendingTokensPerMs
	}
	idle := orDefault(en.IdleFirstTokenMs, defaultIdleFirstTokenMs)
	return orDefault(en.Slowness, 1) * (idle + prefill + en.FirstTokenPerRequestMs*float64(running))
}

// PrefillMs returns the time in which an idle engine of the service prefills a part of a prompt.
func (en Engine) PrefillMs(tokens int) float64 {
	return float64(tokens) / orDefault(en.PrefillTokensPerMs, defaultPrefillTokensPerMs)
}

// StepMs returns the time of one decode step of an engine with the given requests. During a prefill, each step also prefills
// a whole chunk of a prompt.
func (en Engine) StepMs(requests int, prefillTokens float64) float64 {
	saturating := orDefault(en.SaturatingPrefillTokens, defaultSaturatingPrefillTokens)
	return orDefault(en.StepBaseMs, defaultStepBaseMs) + orDefault(en.StepPerRequestMs, defaultStepPerRequestMs)*float64(requests) +
		orDefault(en.StepPrefillMs, defaultStepPrefillMs)*math.Min(1, prefillTokens/saturating)
}

// PlainMs returns the typical duration of a request without a model.
func (en Engine) PlainMs() float64 { return orDefault(en.PlainRequestMs, defaultPlainRequestMs) }

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
