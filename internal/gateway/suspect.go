package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

// fingerprint returns what equal requests of one team have in common.
func (fw *forwarding) fingerprint() quarantine.Fingerprint {
	if fw.mark == "" {
		team := ""
		if fw.rq.team != nil {
			team = fw.rq.team.Name
		}
		fw.mark = quarantine.Of(team, fw.rq.Method+" "+fw.rq.Host+" "+fw.rq.URI, fw.rq.Body)
	}
	return fw.mark
}

// isCrasher reports whether the request was running at so many crashes that it runs no more.
func (fw *forwarding) isCrasher() bool {
	bd := fw.gw.opts.Board
	return bd.Size() > 0 && bd.Standing(fw.fingerprint()) == quarantine.Refused
}

// suspect records that the request was running at an endpoint that crashed, if that is why the
// exchange broke: then the endpoint refuses connections.
func (fw *forwarding) suspect(ctx context.Context, target attempt.Target, began time.Time, err error) {
	var broken *attempt.BrokenError
	if !errors.As(err, &broken) || broken.IsSilent() || ctx.Err() != nil {
		return
	}
	at := fw.gw.opts.Clock.Now()
	if !fw.gw.opts.Pool.IsRefused(ctx, target) {
		return
	}
	id := target.String()
	fw.gw.opts.Board.Record(quarantine.Report{Fingerprint: fw.fingerprint(), ID: id, Began: began, At: at})
	fw.gw.opts.Log.WithFields(logrus.Fields{
		"request": fw.rq.ID, "fingerprint": fw.fingerprint(), "crash": id,
		"ran-ms": milliseconds(at.Sub(began)), "refused": fw.isCrasher(),
	}).Info("Endpoint crashed under a request.")
}

// clear records that an endpoint has answered the request, which so crashes none.
func (fw *forwarding) clear() {
	if fw.gw.opts.Board.Size() > 0 {
		fw.gw.opts.Board.Forget(fw.fingerprint())
	}
}

// refuseCrasher answers a request that would crash one more endpoint.
func (fw *forwarding) refuseCrasher(cause error) {
	if fw.started || fw.mayHaveRun {
		fw.refuse("crashes-endpoints", cause)
		return
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "crashes-endpoints", 0, cause)
}
