package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// AuthorityError reports an authority file without a certificate.
type AuthorityError struct {
	path string
}

// Error names the file.
func (e *AuthorityError) Error() string { return "host: no certificate in " + e.path }

// serverTLS returns the configuration towards callers; nil means plain TCP.
func serverTLS(st *TLS) (*tls.Config, error) {
	if st == nil {
		return nil, nil //nolint:nilnil // A nil configuration is the plain one.
	}
	pair, err := tls.LoadX509KeyPair(st.Certificate, st.Key)
	if err != nil {
		return nil, errors.Wrap(err, "host: key pair")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}

// mutualTLS returns the configuration between hosts; nil means plain TCP.
func mutualTLS(st *TLS) (*tls.Config, error) {
	conf, err := serverTLS(st)
	if conf == nil || err != nil {
		return nil, err
	}
	data, err := os.ReadFile(st.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "host: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &AuthorityError{path: st.Authority}
	}
	conf.RootCAs = pool
	conf.ClientCAs = pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}
