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
	// storeReplicas is how many store hosts keep a history.
	storeReplicas = 1
	// exportTimeout bounds the export of one history.
	exportTimeout = 30 * time.Second
	// exportPriority ranks exports behind all imports; a lower number goes first.
	exportPriority = 1000
	// importTimeoutFactor multiplies the planned time to first token to get the timeout of an import.
	// When it expires, the rest is recomputed.
	importTimeoutFactor = 1.5
	// maxExports limits the concurrent exports started by this host.
	maxExports = 32
	// piecesPerTurn is how many pieces are transferred per turn on a link.
	piecesPerTurn = 2

	pieceBytes = history.PieceTokens * BytesPerToken
)

// importHistory runs the import of the plan. An import that fails or exceeds its timeout is
// abandoned, and the endpoint recomputes the missing tokens. A split import continues in the
// background while the endpoint computes the head; it ends with ctx.
func (di *Dispatcher) importHistory(ctx context.Context, job Job, pl *placement) {
	switch pl.plan.Strategy {
	case route.Import:
		timeout := time.Duration(importTimeoutFactor * pl.plan.FirstToken * float64(time.Second))
		ctx, cancel := context.WithTimeout(ctx, max(timeout, lookupTimeout))
		defer cancel()
		pl.plan.ImportTokens = di.importPieces(ctx, job, *pl) * history.PieceTokens
	case route.Split:
		go di.importPieces(ctx, job, *pl)
	default:
		pl.plan.ImportTokens = 0
	}
}

// importPieces imports the pieces after those that are resident or will be recomputed, one turn on
// the link at a time, and returns how many were imported.
func (di *Dispatcher) importPieces(ctx context.Context, job Job, pl placement) int {
	total := len(pl.stored.pieces)
	pieces := pl.stored.pieces[max(0, total-pl.plan.ImportTokens/history.PieceTokens):]
	moved := 0
	for len(pieces) > 0 {
		turnPieces := pieces[:min(piecesPerTurn, len(pieces))]
		pieces = pieces[len(turnPieces):]
		res, err := di.transfer(ctx, pl.stored.host, job.Class.Priority, len(turnPieces), func() (engine.TransferResult, error) {
			return di.Engines.Import(ctx, pl.view.Address, pl.scope.Salt().String(), turnPieces)
		})
		moved += res.Pieces
		di.Meter.AddLinkBytes("import", res.Bytes)
		if err != nil || res.Pieces < len(turnPieces) {
			di.Log.WithField("store-host", pl.stored.host.Name).WithField("pieces", moved).Warn("Import ended early.")
			return moved
		}
	}
	return moved
}

// transfer waits for a turn on the link, calls send and records the measured rate.
func (di *Dispatcher) transfer(ctx context.Context, sh configuration.StoreHost, priority, pieces int, send func() (engine.TransferResult, error)) (engine.TransferResult, error) {
	bytes := float64(pieces) * pieceBytes
	res, err := di.LinkScheduler.Wait(ctx, link.TurnRequest{
		Store:        sh.Name,
		Ticket:       uuid.NewString(),
		Priority:     priority,
		Bytes:        bytes,
		ObservedRate: di.links.takeMeasuredRate(sh.Name),
	})
	if err != nil {
		return engine.TransferResult{}, err
	}
	di.links.recordOwnerReport(sh.Name, res.Rate, res.BytesAhead)
	start := di.Clock.Now()
	moved, err := send()
	di.links.recordTransfer(sh.Name, moved.Bytes, di.Clock.Now().Sub(start), err)
	return moved, err
}

// exportMissing exports the pieces that no store host holds yet, in the background.
func (di *Dispatcher) exportMissing(pl placement) {
	missing := pl.pieceNames[min(len(pl.stored.pieces), len(pl.pieceNames)):]
	if len(missing) == 0 || !di.links.tryStartExport() {
		return
	}
	hosts := di.storeHosts(pl.pieceNames[0])
	go func() {
		defer di.links.endExport()
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		for _, sh := range hosts[:min(storeReplicas, len(hosts))] {
			di.exportPieces(ctx, pl, sh, missing)
		}
	}()
}

// exportPieces exports the named pieces to a store host, one turn on the link at a time.
func (di *Dispatcher) exportPieces(ctx context.Context, pl placement, sh configuration.StoreHost, names []string) {
	for len(names) > 0 {
		turnNames := names[:min(piecesPerTurn, len(names))]
		names = names[len(turnNames):]
		moved, err := di.transfer(ctx, sh, exportPriority, len(turnNames), func() (engine.TransferResult, error) {
			return di.Engines.Export(ctx, pl.view.Address, pl.scope.Salt().String(), sh.Address, turnNames)
		})
		di.Meter.AddLinkBytes("export", moved.Bytes)
		if err != nil || moved.Pieces < len(turnNames) {
			di.Log.WithField("store-host", sh.Name).Warn("Export ended early.")
			return
		}
	}
}
