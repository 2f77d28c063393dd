package entry

import (
	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

// ChatChain returns the handler of chat-completions requests with all its filters.
func ChatChain(rd Readiness, snapshot func() *configuration.Snapshot, tr *quarantine.Tracker, li *admission.Limiter, rn Runner) Handler {
	return Chain(Dispatch(rn),
		RequireReady(rd, snapshot),
		Authenticate,
		ParseChat,
		Classify,
		RefuseQuarantined(tr),
		Admit(li),
	)
}

// ServiceChain returns the handler of plain service calls with all its filters.
func ServiceChain(rd Readiness, snapshot func() *configuration.Snapshot, opts ServiceOptions) Handler {
	return Chain(CallService(opts),
		RequireReady(rd, snapshot),
		Authenticate,
		FindService,
	)
}
