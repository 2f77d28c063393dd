package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/freshness"
)

const (
	// patienceShare is the share of its route's target that a request waits to learn of the newest configuration, and defaultPatience the time on
	// routes without one.
	patienceShare   = 0.1
	defaultPatience = 20 * time.Millisecond
)

type (
	// cacheOwner is the owner of the KV cache that an attempt uses, and what it was chosen by.
	cacheOwner struct {
		name string
		// basis is what was known of the configuration with the given version.
		basis   freshness.Basis
		version uint64
	}

	// alwaysFresh is the Freshness of a gateway whose configuration is never replaced unnoticed.
	alwaysFresh struct{}
)

// Settle returns freshness.Confirmed.
func (alwaysFresh) Settle(context.Context, time.Duration) freshness.Basis { return freshness.Confirmed }

// Age returns zero.
func (alwaysFresh) Age() (age time.Duration, ok bool) { return 0, true }

// chooseCacheOwner chooses the KV cache of the next attempt. The configuration may have changed since the last one. If it may have been
// replaced, any team may be exclusive by now: the request uses what requests of its own team alone have made.
func (fw *forwarder) chooseCacheOwner(ctx context.Context) {
	if fw.rq.service.Engine == nil || fw.rq.Model == "" {
		return
	}
	ba := fw.gw.opts.Freshness.Settle(ctx, patience(fw.rq.route))
	ct := fw.gw.catalog.Load()
	fw.cacheOwner = cacheOwner{name: ct.CacheOwner(fw.rq.team), basis: ba, version: ct.Version()}
	if fw.cacheOwner.isSeparate() {
		fw.cacheOwner.name = catalog.SeparateOwner(fw.rq.team)
		fw.gw.opts.Meter.CacheSeparated(fw.rq.route.Name)
	}
}

// patience returns how long a request of a route may wait to learn of the newest configuration.
func patience(ro *catalog.Route) time.Duration {
	if ro.TargetLatency <= 0 {
		return defaultPatience
	}
	return time.Duration(patienceShare * float64(ro.TargetLatency))
}

// isSeparate reports whether the attempt uses a KV cache of its team's own since a newer configuration may be in force.
func (co cacheOwner) isSeparate() bool { return co.basis == freshness.Unknown }

// cacheSalt returns the salt that separates the KV cache of weight versions and exclusive teams.
func (fw *forwarder) cacheSalt(version uint64) string {
	return cachedir.Salt(fw.rq.Model, version, fw.cacheOwner.name)
}

// addLogFields adds which KV cache an attempt uses, and by which configuration.
func (co cacheOwner) addLogFields(fields logrus.Fields, fs Freshness) {
	fields["cache-owner"], fields["cache-by"], fields["cache-configuration"] = co.name, co.basis.String(), co.version
	if age, ok := fs.Age(); ok {
		fields["configuration-age-ms"] = age.Milliseconds()
	}
}
