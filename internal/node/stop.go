package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// stopMargin is how long before the end of Bounds.StopMs the process exits by itself.
	stopMargin = 400 * time.Millisecond
	// stopAcceptTime is how long a stopping host still serves new requests; long requests that arrive
	// later could not finish in time. From then until stopListenTime after the stop began, it still
	// accepts connections and refuses their requests. By then two readiness probes, a second apart, have
	// taken it out of rotation.
	stopAcceptTime = 2600 * time.Millisecond
	stopListenTime = 3400 * time.Millisecond
)

// stop takes the host out of rotation and waits for the requests in flight, until stopMargin before the end of
// Bounds.StopMs.
func (no *Node) stop(endLeading func(), servers ...*http.Server) {
	no.stopping.Store(true)
	no.gateway.DisableKeepAlives()
	endLeading()
	no.log.WithField("active", no.gateway.InFlight()).Info("Host is stopping.")
	deadline := no.ck.Now().Add(milliseconds(no.settings().Bounds.StopMs) - stopMargin)
	no.gateway.StopAt(deadline)
	<-no.ck.After(stopAcceptTime)
	no.gateway.RefuseNewRequests()
	<-no.ck.After(stopListenTime - stopAcceptTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var eg errgroup.Group
	for _, se := range servers {
		eg.Go(func() error { return se.Shutdown(ctx) })
	}
	if err := eg.Wait(); err != nil {
		no.log.WithFields(logrus.Fields{"active": no.gateway.InFlight(), "cause": err.Error()}).Warn("Stop cut requests.")
	}
}
