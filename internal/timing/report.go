package timing

import "time"

// maxReportAge is the age from which what a peer has reported no longer counts.
const maxReportAge = 10 * time.Second

type (
	// Report is what hosts have observed: the sums by service and the ratios by endpoint.
	Report struct {
		Services  map[string]Sums
		Endpoints map[string]Ratio
	}

	// peerReport is the last report under a name.
	peerReport struct {
		services   map[string]Sums
		ratio      func(endpointID string) (Ratio, bool)
		receivedAt time.Time
	}
)

func (pr peerReport) isOutdated(now time.Time) bool { return now.Sub(pr.receivedAt) > maxReportAge }

// Own returns what this host has observed itself.
func (bk *Book) Own() Report {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	now := bk.ck.Now()
	bk.forgetOld(now)
	re := Report{Services: make(map[string]Sums), Endpoints: make(map[string]Ratio, len(bk.endpoints))}
	for name := range bk.services {
		if se := bk.service(name, now); se.own.Weight >= negligibleWeight {
			re.Services[name] = se.own
		}
	}
	for id, er := range bk.endpoints {
		if ra := er.current(now); ra.Weight >= negligibleWeight {
			re.Endpoints[id] = ra
		}
	}
	return re
}

// SetPeer replaces what was last reported under a name, of one host or the sum of several. A sum may contain this host's own
// observations, which then count twice.
func (bk *Book) SetPeer(name string, services map[string]Sums, ratio func(endpointID string) (Ratio, bool)) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	now := bk.ck.Now()
	for other, pr := range bk.peers {
		if pr.isOutdated(now) {
			delete(bk.peers, other)
		}
	}
	bk.peers[name] = peerReport{services: services, ratio: ratio, receivedAt: now}
}
