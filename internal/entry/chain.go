package entry

import (
	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

// ChatChain returns the handler of chat-completions requests with all its filters.
func ChatChain(rd Readiness, snapshot func() *configuration.Snapshot, tr *quarantine.Board, li *admission.Gate, rn Runner) Handler {
	return Chain(Deliver(rn),
		Ready(rd, snapshot),
		Authenticate,
		Parse,
		Classify,
		Quarantine(tr),
		Admit(li),
	)
}

// ServiceChain returns the handler of plain service calls with all its filters.
func ServiceChain(rd Readiness, snapshot func() *configuration.Snapshot, opts BookOptions) Handler {
	return Chain(Book(opts),
		Ready(rd, snapshot),
		Authenticate,
		Find,
	)
}
