// Package node assembles a gateway host that serves the operators' routes.
package node

import (
	"time"

	"github.com/bergamotway/bergamotway/internal/settings"
)

type (
	// Settings are the settings of a host. Addresses consist of an IP address and a port.
	Settings struct {
		// Name identifies the host among all hosts.
		Name string `json:"host" check:"required"`
		// Zone is the availability zone that the host is in.
		Zone string `json:"availability-zone" check:"required"`
		// Listen is the address on which the host serves clients.
		Listen string `json:"listen" check:"required ip-port"`
		// ReadyListen is the address of the readiness probe.
		ReadyListen string `json:"ready-listen" check:"required ip-port"`
		// PeerListen is the address for datagrams and requests from other hosts.
		PeerListen string `json:"peer-listen" check:"required ip-port"`
		// MetricsListen is the address for metrics; empty disables them.
		MetricsListen string `json:"metrics-listen" check:"ip-port"`
		// Store is the address of the metadata store.
		Store string `json:"metadata-store" check:"required ip-port"`
		// MemoryMiB is the memory of the process, in MiB; zero means no bound.
		MemoryMiB int `json:"memory-mib" min:"0" max:"1048576"`
		// Weight is the relative capacity of the host, such as its share of a core. Hosts with a
		// higher weight take on more shared work.
		Weight float64 `json:"weight" min:"0" max:"1000"`
		// LinkMbps is the bandwidth of the host's link, in Mbit/s. The digests that it exchanges with other
		// hosts take a bounded share of it. Zero means 1,000.
		LinkMbps float64 `json:"link-mbps" min:"0" max:"1000000"`
		// LogLevel is the lowest level that is logged; empty means info.
		LogLevel string `json:"log-level" one-of:"debug info warning error"`
		// Placement is the policy that chooses endpoints; empty means estimate. The other policies are
		// baselines for comparison.
		Placement string `json:"placement" one-of:"estimate least-outstanding affinity"`
		// Bounds are the limits that the operators set for all hosts.
		Bounds Bounds `json:"bounds"`
		// Hedging limits the second attempts for requests whose answer is slow; none by default.
		Hedging Hedging `json:"hedging"`
	}

	// Hedging limits the second attempts that are sent while the first one is under way.
	Hedging struct {
		// Share is the largest number of second attempts per request of a service.
		Share float64 `json:"share" min:"0" max:"1"`
		// Routes holds the limits of single routes by name, per request of the route. These requests do not count for Share.
		Routes map[string]float64 `json:"routes" min:"0" max:"1"`
	}

	// Bounds are the limits that the operators set for all hosts together. Zero means the default.
	Bounds struct {
		// StopMs is how long a planned stop may take, in milliseconds; the default is 8,000.
		StopMs float64 `json:"stop-ms" min:"0" max:"3600000"`
		// ApplyMs is the time within which a change by the operator must be in force, in milliseconds;
		// the default is 2,000.
		ApplyMs float64 `json:"apply-ms" min:"0" max:"3600000"`
		// LeaseMs is the lease of the upgrade leader, in milliseconds: how long after the last order of
		// one leader the next may give orders. The default is 3,000.
		LeaseMs float64 `json:"lease-ms" min:"0" max:"600000"`
		// WeightsMs is how long older weights may be used after the operator has set a newer target
		// version, in milliseconds; the default is 15,000.
		WeightsMs float64 `json:"weights-ms" min:"0" max:"3600000"`
		// RepeatRatio, RepeatWindowS and RepeatSlack bound the retries to a service: within a window
		// of RepeatWindowS seconds, at most RepeatRatio times the number of its requests, plus
		// RepeatSlack.
		RepeatRatio   float64 `json:"repeat-ratio" min:"0" max:"10"`
		RepeatWindowS float64 `json:"repeat-window-s" min:"0" max:"3600"`
		RepeatSlack   float64 `json:"repeat-slack" min:"0" max:"100000"`
		// ExposeShare and ExposeSlack bound the requests to a software version that is being rolled out, summed over all hosts,
		// until it is judged good: at most ExposeShare times the requests for its service since the order, plus ExposeSlack.
		// Without ExposeShare, orders to roll out software are ignored.
		ExposeShare float64 `json:"expose-share" min:"0" max:"1"`
		ExposeSlack float64 `json:"expose-slack" min:"0" max:"100000"`
		// RollbackMs is how long after its fiftieth bad response a software version may still get requests, in milliseconds.
		// A host on duty that can't write the status by then says so in its log.
		RollbackMs float64 `json:"rollback-ms" min:"0" max:"3600000"`
	}
)

const (
	defaultStopMs        = 8000
	defaultApplyMs       = 2000
	defaultLeaseMs       = 3000
	defaultWeightsMs     = 15000
	defaultRepeatWindowS = 10
)

// LoadSettings reads and checks a settings file. It returns settings.Faults with every fault, and a
// *settings.FileError if the file cannot be read. Unknown names are ignored and returned.
func LoadSettings(path string) (st Settings, unknown []string, err error) {
	st = Settings{Bounds: Bounds{
		StopMs: defaultStopMs, ApplyMs: defaultApplyMs, LeaseMs: defaultLeaseMs, WeightsMs: defaultWeightsMs, RepeatWindowS: defaultRepeatWindowS,
	}}
	unknown, err = settings.LoadLenient(path, &st)
	return st, unknown, err
}

// milliseconds returns a duration of the settings.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
