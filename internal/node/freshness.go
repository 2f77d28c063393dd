package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/freshness"
	"github.com/bergamotway/bergamotway/internal/gateway"
)

const (
	// configurationPath is the path at which hosts get the configuration of another one, on the address for peers' requests.
	configurationPath = "/bergamotway/configuration"
	// heardTime is how long after its last digest a host counts as heard lately. It is longer than the pause between two digests.
	heardTime = time.Second
	// maxConfigurationBytes bounds the configuration of another host.
	maxConfigurationBytes = 64 << 20
)

type (
	// appliedConfiguration is a configuration as the operator has written it.
	appliedConfiguration struct {
		version uint64
		encoded []byte
	}

	// peerConfiguration is a configuration as a host gives it to another one.
	peerConfiguration struct {
		// Encoded is the configuration as the operator has written it.
		Encoded []byte `json:"configuration"`
		// FormerTeams are the teams that are or were exclusive.
		FormerTeams []string `json:"former-teams,omitempty"`
	}

	// AdoptError reports that the configuration of another host could not be got.
	AdoptError struct {
		host  string
		cause error
	}

	// peerStatusError reports a response of another host with an unexpected status.
	peerStatusError struct{ status int }
)

// Error returns a message with the name of the host and the cause.
func (e *AdoptError) Error() string {
	return fmt.Sprintf("node: configuration of host %q: %v", e.host, e.cause)
}

// Unwrap returns the cause.
func (e *AdoptError) Unwrap() error { return e.cause }

// Error returns a message with the status.
func (e *peerStatusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// newFreshnessGuard returns what tells whether the configuration may have been replaced.
func (no *Node) newFreshnessGuard() *freshness.Guard {
	return freshness.New(freshness.Options{
		Clock: no.ck, SinceBoot: clock.SinceBoot, MaxAge: no.maxConfigurationAge, Feed: no.feedSubscriber.Age,
		Host: no.st.Name, Hosts: no.otherHosts, Heard: no.heardHosts, Send: func(host string, data []byte) { no.exchange.SendMessage(host, data) },
		Version: no.configurationVersion, Adopt: no.adoptConfiguration, OnInquiry: no.noteInquiry,
	})
}

// maxConfigurationAge returns how long a configuration counts as the newest one after it was confirmed: as long as a change may take
// to be in force.
func (no *Node) maxConfigurationAge() time.Duration {
	return milliseconds(no.settings().Bounds.ApplyMs)
}

// noteConfirmed notes that all changes of the store up to a reading of the boot-time clock have been applied. Those of a change feed are as
// old as its last confirmation.
func (no *Node) noteConfirmed(at time.Duration) {
	if age, ok := no.feedSubscriber.Age(); ok {
		at -= age
	}
	no.freshness.Confirm(at)
}

func (no *Node) configurationVersion() uint64 {
	if ac := no.configuration.Load(); ac != nil {
		return ac.version
	}
	return 0
}

// noteHeard notes that a digest of another host itself has arrived.
func (no *Node) noteHeard(host string) {
	now := no.ck.Now()
	no.mu.Lock()
	defer no.mu.Unlock()
	no.heardAt[host] = now
}

// heardHosts returns the names of the hosts whose digests have arrived lately.
func (no *Node) heardHosts() []string {
	now := no.ck.Now()
	no.mu.Lock()
	defer no.mu.Unlock()
	var out []string
	for host, at := range no.heardAt {
		if now.Sub(at) > heardTime {
			delete(no.heardAt, host)
			continue
		}
		out = append(out, host)
	}
	return out
}

// otherHosts returns the names of the other registered hosts.
func (no *Node) otherHosts() []string {
	var out []string
	for _, name := range no.storeState.hostNames() {
		if name != no.st.Name {
			out = append(out, name)
		}
	}
	return out
}

// applyCatalog puts a configuration in force if it is newer than the current one.
func (no *Node) applyCatalog(ct *catalog.Catalog, encoded []byte) {
	no.configurationMu.Lock()
	defer no.configurationMu.Unlock()
	no.storeState.formerTeams.add(ct.ExclusiveTeams())
	if !no.gateway.Configure(ct) {
		return
	}
	no.cache.Configure(ct.CacheStores())
	no.configuration.Store(&appliedConfiguration{version: ct.Version(), encoded: encoded})
	no.log.WithFields(logrus.Fields{
		"version": ct.Version(), "services": len(ct.Services()), "cache-stores": len(ct.CacheStores()),
	}).Info("Configuration is in force.")
}

// adoptConfiguration gets the configuration of another host and puts it in force if it is newer. It fails with an *AdoptError.
func (no *Node) adoptConfiguration(ctx context.Context, host string) error {
	pc, err := no.getConfiguration(ctx, host)
	if err != nil {
		return &AdoptError{host: host, cause: err}
	}
	ct, err := no.deps.Decoder.Catalog(pc.Encoded)
	if err != nil {
		return &AdoptError{host: host, cause: err}
	}
	no.storeState.formerTeams.add(pc.FormerTeams)
	no.applyCatalog(ct, pc.Encoded)
	return nil
}

// getConfiguration gets the configuration of another host.
func (no *Node) getConfiguration(ctx context.Context, host string) (pc peerConfiguration, err error) {
	address := no.storeState.knownHosts()[host].Relay
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+configurationPath, nil)
	if err != nil {
		return pc, errors.Wrap(err, "request")
	}
	rsp, err := no.peerClient.Do(rq)
	if err != nil {
		return pc, errors.Wrap(err, "call")
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return pc, &peerStatusError{status: rsp.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(rsp.Body, maxConfigurationBytes)).Decode(&pc)
	return pc, errors.Wrap(err, "body")
}

// relayHandler returns the handler for the requests of other hosts: those of clients that they pass on, and for the configuration.
func (no *Node) relayHandler() http.Handler {
	relays := no.gateway.RelayHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path != configurationPath || gateway.IsRelayed(hr) {
			relays.ServeHTTP(w, hr)
			return
		}
		ac := no.configuration.Load()
		if ac == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the other host has disconnected.
		_ = json.NewEncoder(w).Encode(peerConfiguration{Encoded: ac.encoded, FormerTeams: no.storeState.formerTeams.all()})
	})
}

// noteInquiry counts and logs an inquiry among the other hosts.
func (no *Node) noteInquiry(oc freshness.Outcome) {
	no.deps.Meter.ConfigurationAskedFor(oc.Basis.String(), oc.AdoptedFrom != "")
	lg := no.log.WithFields(logrus.Fields{"part": "state", "basis": oc.Basis.String(), "asked": oc.Asked, "answered": oc.Answered, "version": no.configurationVersion()})
	if age, ok := no.freshness.Age(); ok {
		lg = lg.WithField("configuration-age-ms", age.Milliseconds())
	}
	switch {
	case oc.AdoptError != nil:
		lg.WithField("cause", oc.AdoptError.Error()).Warn("Newer configuration of another host is not in force.")
	case oc.AdoptedFrom != "":
		lg.WithField("from", oc.AdoptedFrom).Info("Configuration of another host is in force.")
	default:
		lg.Debug("Other hosts were asked about the configuration.")
	}
	if previous := no.configurationBasis.Swap(int64(oc.Basis)); previous != int64(oc.Basis) {
		lg.Info("Other hosts' knowledge of the configuration changed.")
	}
}
