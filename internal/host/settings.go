package host

import (
	"github.com/bergamotway/bergamotway/internal/settings"
)

type (
	// Settings are the settings of an entry host. Addresses are IP addresses with a port.
	Settings struct {
		// Name identifies the host among all entry hosts.
		Name string `json:"host" check:"required name"`
		// Zone is the availability zone that the host is in.
		Zone string `json:"availability-zone" check:"required name"`
		// Listen is the listen address for clients.
		Listen string `json:"listen" check:"required ip-port"`
		// OperatorListen is the listen address for health, status, metrics and bookings.
		OperatorListen string `json:"operator-listen" check:"required ip-port"`
		// PeerListen is the listen address for other entry hosts.
		PeerListen string `json:"peer-listen" check:"required ip-port"`
		// KeyValueAddress is the address of the platform's key-value service.
		KeyValueAddress string `json:"key-value" check:"required ip-port"`
		// HostListAddress is the address of the platform's list of live and leaving hosts; empty means
		// that there is none.
		HostListAddress string `json:"host-list" check:"ip-port"`
		// PeerAddresses are peer addresses of some other entry hosts, used to join the cluster.
		PeerAddresses []string `json:"peers" check:"ip-port"`
		// LogLevel is the lowest level that is logged; empty means info.
		LogLevel string `json:"log-level" one-of:"debug info warning error"`
		// StopDeadline is how long a graceful shutdown waits for running requests; zero means 5 min.
		StopDeadline settings.Duration `json:"stop-deadline" min:"1s" max:"1h"`
		// Limits bounds client requests and the idle time of connections to endpoints.
		Limits Limits `json:"limits"`
		// ClientTLS, if set, is used for connections from clients and operators.
		ClientTLS *TLS `json:"caller-tls"`
		// PeerTLS, if set, is used for connections between entry hosts, in both directions.
		PeerTLS *TLS `json:"peer-tls"`
	}

	// Limits bounds client requests and the idle time of connections to endpoints. Zero means the
	// default.
	Limits struct {
		// MaxBodyBytes is the maximum size of a request body, in bytes; the default is 8 MiB.
		MaxBodyBytes int `json:"body" min:"1024" max:"1073741824"`
		// MaxHeaderBytes is the maximum size of a request header, in bytes; the default is 16 KiB.
		MaxHeaderBytes int `json:"header" min:"1024" max:"1048576"`
		// MaxInFlight is the maximum number of requests in flight; the default is 512.
		MaxInFlight int `json:"concurrent" min:"1" max:"100000"`
		// ReadTimeout is how long a client may take to send a request; the default is 30 s.
		ReadTimeout settings.Duration `json:"read" min:"100ms" max:"10m"`
		// WriteTimeout is how long a client may take to accept one write; the default is 10 s.
		WriteTimeout settings.Duration `json:"write" min:"100ms" max:"10m"`
		// EndpointIdleTimeout is how long an endpoint may send nothing; the default is 10 s.
		EndpointIdleTimeout settings.Duration `json:"silence" min:"100ms" max:"10m"`
	}

	// TLS holds the paths of a key pair and of the certificate authorities accepted from peers.
	TLS struct {
		CertificateFile string `json:"certificate" check:"required"`
		KeyFile         string `json:"key" check:"required"`
		// AuthorityFile is required for PeerTLS, where both sides present a certificate.
		AuthorityFile string `json:"authority"`
	}
)

const (
	defaultMaxInFlight = 512
	// defaultStopDeadline is 5 min, in nanoseconds.
	defaultStopDeadline = 5 * 60 * 1e9
)

// LoadSettings reads and checks a settings file. All invalid settings are returned together as
// settings.Faults.
func LoadSettings(path string) (Settings, error) {
	var st Settings
	err := settings.Load(path, &st)
	return st, err
}
