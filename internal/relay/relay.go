// Package relay chooses the hosts through which a host that cannot reach the endpoints of a service passes on its requests.
package relay

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Host is another host that takes requests from this one.
	Host struct {
		// Name identifies the host.
		Name string
		// Address is where it takes them.
		Address netip.AddrPort
		// TakesOrigins is set if it reads what began a stream from a request that is passed on.
		TakesOrigins bool
	}

	// Neighbours holds the other hosts, and which of them lately could not serve a service. It is safe for concurrent use.
	Neighbours struct {
		ck clock.Clock

		mu    sync.Mutex
		hosts map[string]Host
		// avoidedUntil holds until when a host gets no requests for a service.
		avoidedUntil map[hostService]time.Time
	}

	// hostService is a host and a service; an empty service stands for all.
	hostService struct{ host, service string }
)

// New returns neighbours without hosts.
func New(ck clock.Clock) *Neighbours {
	return &Neighbours{ck: ck, avoidedUntil: make(map[hostService]time.Time)}
}

// SetHosts replaces the hosts.
func (ne *Neighbours) SetHosts(hosts []Host) {
	byName := make(map[string]Host, len(hosts))
	for _, ho := range hosts {
		byName[ho.Name] = ho
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.hosts = byName
}

// Choose returns at most count hosts for a request, in the order in which to try them. A hash of the request spreads the requests
// over all hosts.
func (ne *Neighbours) Choose(request, service string, count int) []Host {
	return ne.choose(request, service, count, func(Host) bool { return true })
}

// ChooseForStream is Choose among the hosts that read what began a stream.
func (ne *Neighbours) ChooseForStream(request, service string, count int) []Host {
	return ne.choose(request, service, count, func(ho Host) bool { return ho.TakesOrigins })
}

func (ne *Neighbours) choose(request, service string, count int, includes func(Host) bool) []Host {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	now := ne.ck.Now()
	for hs, until := range ne.avoidedUntil {
		if !now.Before(until) {
			delete(ne.avoidedUntil, hs)
		}
	}
	names := make([]string, 0, len(ne.hosts))
	for name, ho := range ne.hosts {
		_, isAvoided := ne.avoidedUntil[hostService{name, service}]
		_, isDown := ne.avoidedUntil[hostService{host: name}]
		if !isAvoided && !isDown && includes(ho) {
			names = append(names, name)
		}
	}
	var out []Host
	for _, name := range rendezvous.First(rendezvous.Hash(request), names, count) {
		out = append(out, ne.hosts[name])
	}
	return out
}

// Avoid states that a host gets no requests for a service for a while; an empty service stands for all.
func (ne *Neighbours) Avoid(host, service string, d time.Duration) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.avoidedUntil[hostService{host, service}] = ne.ck.Now().Add(d)
}
