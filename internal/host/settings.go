package host

import (
	"github.com/bergamotway/bergamotway/internal/settings"
)

type (
	// Settings are the settings of an entry host. Addresses are IP numbers with a port.
	Settings struct {
		// Name identifies the host among all entry hosts.
		Name string `json:"host" check:"required name"`
		// Zone is the availability zone that the host is in.
		Zone string `json:"availability-zone" check:"required name"`
		// Listen is the address for callers.
		Listen string `json:"listen" check:"required ip-port"`
		// OperatorListen is the address for health, status and metrics.
		OperatorListen string `json:"operator-listen" check:"required ip-port"`
		// PeerListen is the address for other entry hosts.
		PeerListen string `json:"peer-listen" check:"required ip-port"`
		// KeyValue is the platform's key-value service.
		KeyValue string `json:"key-value" check:"required ip-port"`
		// HostList is the platform's list of live and leaving hosts; empty means none.
		HostList string `json:"host-list" check:"ip-port"`
		// Peers are peer addresses of some other entry hosts, to begin with.
		Peers []string `json:"peers" check:"ip-port"`
		// LogLevel is the least level that is logged; empty means info.
		LogLevel string `json:"log-level" one-of:"debug info warning error"`
		// StopDeadline is how long a planned stop waits for running requests; zero means 5 min.
		StopDeadline settings.Duration `json:"stop-deadline" min:"1s" max:"1h"`
		// Limits bound what callers may send.
		Limits Limits `json:"limits"`
		// CallerTLS, if named, is used towards callers and operators.
		CallerTLS *TLS `json:"caller-tls"`
		// PeerTLS, if named, is used between entry hosts, in both directions.
		PeerTLS *TLS `json:"peer-tls"`
	}

	// Limits bound what callers may send. Zero means the default.
	Limits struct {
		// Body is the largest body, in bytes; the default is 8 MiB.
		Body int `json:"body" min:"1024" max:"1073741824"`
		// Header is the largest header, in bytes; the default is 16 KiB.
		Header int `json:"header" min:"1024" max:"1048576"`
		// Concurrent is the most requests served at a time; the default is 512.
		Concurrent int `json:"concurrent" min:"1" max:"100000"`
		// Read is how long a caller may take to send a request; the default is 30 s.
		Read settings.Duration `json:"read" min:"100ms" max:"10m"`
		// Write is how long a caller may take to accept one write; the default is 10 s.
		Write settings.Duration `json:"write" min:"100ms" max:"10m"`
		// Silence is how long an endpoint may send nothing; the default is 10 s.
		Silence settings.Duration `json:"silence" min:"100ms" max:"10m"`
	}

	// TLS names the files of a key pair and of the authority that the other side must have.
	TLS struct {
		Certificate string `json:"certificate" check:"required"`
		Key         string `json:"key" check:"required"`
		// Authority is needed between entry hosts, where both sides show a certificate.
		Authority string `json:"authority"`
	}
)

const (
	defaultConcurrent   = 512
	defaultStopDeadline = 5 * 60 * 1e9
)

// LoadSettings reads and checks a settings file. It returns settings.Faults with every fault.
func LoadSettings(path string) (Settings, error) {
	var st Settings
	err := settings.Load(path, &st)
	return st, err
}
