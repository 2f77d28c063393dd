// Package node puts together a host that serves the operators' routes.
package node

import (
	"github.com/bergamotway/bergamotway/internal/settings"
)

type (
	// Settings are the settings of a host. Addresses are IP numbers with a port.
	Settings struct {
		// Name identifies the host among all hosts.
		Name string `json:"host" check:"required"`
		// Zone is the availability zone that the host is in.
		Zone string `json:"availability-zone" check:"required"`
		// Listen is the address for clients.
		Listen string `json:"listen" check:"required ip-port"`
		// ReadyListen is the address at which the host says whether it is ready.
		ReadyListen string `json:"ready-listen" check:"required ip-port"`
		// PeerListen is the address for datagrams of other hosts.
		PeerListen string `json:"peer-listen" check:"required ip-port"`
		// MetricsListen is the address for metrics; empty means that there are none.
		MetricsListen string `json:"metrics-listen" check:"ip-port"`
		// Store is the address of the metadata store.
		Store string `json:"metadata-store" check:"required ip-port"`
		// MemoryMiB is the memory of the process; zero means that it is not bounded.
		MemoryMiB int `json:"memory-mib" min:"0" max:"1048576"`
		// Weight is the strength of the host, such as its share of a core; strong hosts do more for
		// the others.
		Weight float64 `json:"weight" min:"0" max:"1000"`
		// LinkMbps is the host's link, in Mbit/s, of which knowledge between hosts takes a bounded part;
		// zero means 1,000.
		LinkMbps float64 `json:"link-mbps" min:"0" max:"1000000"`
		// LogLevel is the least level that is logged; empty means info.
		LogLevel string `json:"log-level" one-of:"debug info warning error"`
		// Placement is how endpoints are chosen; empty means by estimate. The others are baselines.
		Placement string `json:"placement" one-of:"estimate least-outstanding affinity"`
		// Bounds are what the operators hold hosts to.
		Bounds Bounds `json:"bounds"`
	}

	// Bounds are what the operators hold all hosts together to. Zero means the default.
	Bounds struct {
		// StopMs is how long a planned stop may take; the default is 8,000.
		StopMs int `json:"stop-ms" min:"0" max:"3600000"`
		// ApplyMs is within which time changes of the operator must be in force; the default is 2,000.
		ApplyMs int `json:"apply-ms" min:"0" max:"3600000"`
		// LeaseMs is how long after one holder's last order another may give orders; the default
		// is 3,000.
		LeaseMs int `json:"lease-ms" min:"0" max:"600000"`
		// WeightsMs is how long older weights may be used once newer ones are named; the default
		// is 15,000.
		WeightsMs int `json:"weights-ms" min:"0" max:"3600000"`
		// RepeatRatio, RepeatWindowS and RepeatSlack bound repeats to a service: at most the ratio
		// of its requests within the window, and the slack.
		RepeatRatio   float64 `json:"repeat-ratio" min:"0" max:"10"`
		RepeatWindowS float64 `json:"repeat-window-s" min:"0" max:"3600"`
		RepeatSlack   float64 `json:"repeat-slack" min:"0" max:"100000"`
	}
)

const (
	defaultStopMs        = 8000
	defaultApplyMs       = 2000
	defaultLeaseMs       = 3000
	defaultWeightsMs     = 15000
	defaultRepeatWindowS = 10
)

// LoadSettings reads and checks a settings file. It returns settings.Faults with every fault and a
// *settings.FileError if the file cannot be read. Names that are not known are ignored and returned.
func LoadSettings(path string) (st Settings, unknown []string, err error) {
	st = Settings{Bounds: Bounds{
		StopMs: defaultStopMs, ApplyMs: defaultApplyMs, LeaseMs: defaultLeaseMs, WeightsMs: defaultWeightsMs, RepeatWindowS: defaultRepeatWindowS,
	}}
	unknown, err = settings.LoadKnown(path, &st)
	return st, unknown, err
}
