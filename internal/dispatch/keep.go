package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/link"
	"github.com/bergamotway/bergamotway/internal/route"
)

const (
	// copies is how many store hosts keep a history.
	copies = 1
	// exportTimeout bounds an export.
	exportTimeout = 30 * time.Second
	// exportPriority lets every import go before an export.
	exportPriority = 1000
	// importSlack is how much longer than planned an import may take before the rest is read.
	importSlack = 1.5
	// exportsAtOnce bounds the exports that this host has ordered and that have not ended.
	exportsAtOnce = 32
	// turnPieces is how many pieces one turn on a link moves.
	turnPieces = 2

	pieceBytes = history.PieceTokens * BytesPerToken
)

// bring orders the import that the plan asks for. An import that fails, or takes longer than
// reading would, is left behind: the endpoint reads what it lacks. A split import goes on while
// the endpoint reads the head; it ends with ctx.
func (di *Dispatcher) bring(ctx context.Context, job Job, pl *place) {
	switch pl.plan.Way {
	case route.Import:
		limit := time.Duration(importSlack * pl.plan.FirstToken * float64(time.Second))
		ctx, cancel := context.WithTimeout(ctx, max(limit, lookupTimeout))
		defer cancel()
		pl.plan.Import = di.importPieces(ctx, job, *pl) * history.PieceTokens
	case route.Split:
		go di.importPieces(ctx, job, *pl)
	default:
		pl.plan.Import = 0
	}
}

// importPieces moves the pieces after those that are resident or will be read, a turn on the link
// at a time, and returns how many were moved.
func (di *Dispatcher) importPieces(ctx context.Context, job Job, pl place) int {
	total := len(pl.kept.pieces)
	pieces := pl.kept.pieces[max(0, total-pl.plan.Import/history.PieceTokens):]
	moved := 0
	for len(pieces) > 0 {
		turn := pieces[:min(turnPieces, len(pieces))]
		pieces = pieces[len(turn):]
		n, err := di.move(ctx, pl.kept.host, job.Class.Priority, len(turn), func() (engine.MovedPieces, error) {
			return di.Engines.Import(ctx, pl.view.Address, pl.scope.Salt().String(), turn)
		})
		moved += n.Pieces
		di.Meter.Moved("import", n.Bytes)
		if err != nil || n.Pieces < len(turn) {
			di.Log.WithField("store-host", pl.kept.host.Name).WithField("pieces", moved).Warn("Import ended early.")
			return moved
		}
	}
	return moved
}

// move waits for a turn on the link and makes one transfer.
func (di *Dispatcher) move(ctx context.Context, sh configuration.StoreHost, priority, pieces int, transfer func() (engine.MovedPieces, error)) (engine.MovedPieces, error) {
	bytes := float64(pieces) * pieceBytes
	ans, err := di.Turns.Wait(ctx, link.Ask{
		Store:    sh.Name,
		Ticket:   uuid.NewString(),
		Priority: priority,
		Bytes:    bytes,
		Seen:     di.links.seen(sh.Name),
	})
	if err != nil {
		return engine.MovedPieces{}, err
	}
	di.links.answered(sh.Name, ans.Rate, ans.Ahead)
	began := di.Clock.Now()
	moved, err := transfer()
	di.links.moved(sh.Name, moved.Bytes, di.Clock.Now().Sub(began), err)
	return moved, err
}

// keep orders the export of the pieces that no store host has yet, in the background.
func (di *Dispatcher) keep(pl place) {
	missing := pl.names[min(len(pl.kept.pieces), len(pl.names)):]
	if len(missing) == 0 || !di.links.tryExport() {
		return
	}
	hosts := di.storeHosts(pl.names[0])
	go func() {
		defer di.links.exportDone()
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		for _, sh := range hosts[:min(copies, len(hosts))] {
			di.export(ctx, pl, sh, missing)
		}
	}()
}

func (di *Dispatcher) export(ctx context.Context, pl place, sh configuration.StoreHost, names []string) {
	for len(names) > 0 {
		turn := names[:min(turnPieces, len(names))]
		names = names[len(turn):]
		moved, err := di.move(ctx, sh, exportPriority, len(turn), func() (engine.MovedPieces, error) {
			return di.Engines.Export(ctx, pl.view.Address, pl.scope.Salt().String(), sh.Address, turn)
		})
		di.Meter.Moved("export", moved.Bytes)
		if err != nil || moved.Pieces < len(turn) {
			di.Log.WithField("store-host", sh.Name).Warn("Export ended early.")
			return
		}
	}
}
