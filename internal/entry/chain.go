package entry

import (
	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

// ChatChain returns the path of a chat-completions request.
func ChatChain(rd Readiness, snapshot func() *configuration.Snapshot, bd *quarantine.Board, ga *admission.Gate, rn Runner) Handler {
	return Chain(Deliver(rn),
		Ready(rd, snapshot),
		Authenticate,
		Parse,
		Classify,
		Quarantine(bd),
		Admit(ga),
	)
}

// ServiceChain returns the path of a call of a plain service.
func ServiceChain(rd Readiness, snapshot func() *configuration.Snapshot, opts BookOptions) Handler {
	return Chain(Book(opts),
		Ready(rd, snapshot),
		Authenticate,
		Find,
	)
}
