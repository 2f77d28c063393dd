package dispatch

import (
	"context"
	"time"

	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/route"
)

const (
	// copies is how many store hosts keep a history.
	copies = 1
	// exportTimeout bounds an export.
	exportTimeout = 30 * time.Second
	// importSlack is how much longer than planned an import may take before the rest is read.
	importSlack = 1.5
	// exportsAtOnce bounds the exports that this host has ordered and that have not ended.
	exportsAtOnce = 32
)

// bring orders the import that the plan asks for. An import that fails, or takes longer than
// reading would, is left behind: the endpoint reads what it lacks.
func (di *Dispatcher) bring(ctx context.Context, pl *place) {
	if pl.plan.Way == route.Recompute || pl.plan.Import == 0 {
		pl.plan.Import = 0
		return
	}
	sh := pl.kept.host
	bytes := float64(pl.plan.Import) * BytesPerToken
	limit := time.Duration(importSlack * pl.plan.FirstToken * float64(time.Second))
	ctx, cancel := context.WithTimeout(ctx, max(limit, lookupTimeout))
	defer cancel()
	di.links.begin(sh.Name, sh.Link(), bytes)
	began := di.Clock.Now()
	moved, err := di.Engines.Import(ctx, pl.view.Address, pl.scope.Salt().String(), importPieces(pl))
	di.links.end(sh.Name, sh.Link(), bytes, moved.Bytes, di.Clock.Now().Sub(began), err)
	di.Meter.Moved("import", moved.Bytes)
	pl.plan.Import = moved.Pieces * history.PieceTokens
	if err != nil {
		di.Log.WithField("store-host", sh.Name).WithError(err).Warn("Import failed.")
	}
}

// importPieces returns the pieces after those that are resident or will be read.
func importPieces(pl *place) []engine.Piece {
	n := pl.plan.Import / history.PieceTokens
	end := len(pl.kept.pieces)
	return pl.kept.pieces[max(0, end-n):end]
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
			moved, err := di.Engines.Export(ctx, pl.view.Address, pl.scope.Salt().String(), sh.Address, missing)
			if err != nil {
				di.Log.WithField("store-host", sh.Name).WithError(err).Warn("Export failed.")
				continue
			}
			di.Meter.Moved("export", moved.Bytes)
		}
	}()
}
