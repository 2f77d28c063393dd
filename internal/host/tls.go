package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// AuthorityError reports a certificate authority file without a certificate.
type AuthorityError struct {
	path string
}

// Error returns the message with the path of the file.
func (e *AuthorityError) Error() string { return "host: no certificate found in " + e.path }

// serverTLS returns the TLS configuration for connections from clients; nil means plain TCP.
func serverTLS(st *TLS) (*tls.Config, error) {
	if st == nil {
		return nil, nil //nolint:nilnil // A nil configuration means plain TCP.
	}
	pair, err := tls.LoadX509KeyPair(st.CertificateFile, st.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "host: load key pair")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}

// mutualTLS returns the TLS configuration for connections between hosts; nil means plain TCP.
func mutualTLS(st *TLS) (*tls.Config, error) {
	conf, err := serverTLS(st)
	if conf == nil || err != nil {
		return nil, err
	}
	data, err := os.ReadFile(st.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "host: read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &AuthorityError{path: st.AuthorityFile}
	}
	conf.RootCAs = pool
	conf.ClientCAs = pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}
