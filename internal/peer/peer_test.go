package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peer"
)

type greeting struct {
	Name string `json:"name"`
}

func startServer(t *testing.T, conf *tls.Config) string {
	t.Helper()
	sv := peer.NewServer(conf, nil)
	sv.Register("greet", func(_ context.Context, params json.RawMessage) (any, error) {
		var in greeting
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, err
		}
		return greeting{Name: "hello " + in.Name}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = sv.Serve(context.Background(), ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		sv.Close()
	})
	return ln.Addr().String()
}

// newMutualTLSConfig returns a TLS configuration with a new certificate authority, for client and server.
func newMutualTLSConfig(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestCallOverMutualTLS(t *testing.T) {
	conf := newMutualTLSConfig(t)
	address := startServer(t, conf)
	po := peer.NewPool(conf, nil)
	defer po.Close()
	var out greeting
	require.NoError(t, po.Call(context.Background(), address, "greet", greeting{Name: "a"}, &out))
	require.Equal(t, "hello a", out.Name)
}

// TestUnauthenticatedCallersAreRefused calls without a certificate, with a certificate of another
// authority, and over plain TCP.
func TestUnauthenticatedCallersAreRefused(t *testing.T) {
	conf := newMutualTLSConfig(t)
	address := startServer(t, conf)
	for _, untrusted := range []*tls.Config{{RootCAs: conf.RootCAs, MinVersion: tls.VersionTLS13}, newMutualTLSConfig(t), nil} {
		po := peer.NewPool(untrusted, nil)
		var out greeting
		var ue *peer.UnreachableError
		require.ErrorAs(t, po.Call(context.Background(), address, "greet", greeting{Name: "a"}, &out), &ue)
		require.Empty(t, out.Name)
		po.Close()
	}
}

// TestSilentConnectionIsReplaced guards against a pool that keeps using a half-open connection. The
// first connection accepts requests and never responds; the second call must dial a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address := startServer(t, nil)
	silent := make(chan net.Conn, 8)
	dials := 0
	po := peer.NewPoolWithDialFunc(func(ctx context.Context, _ string) (net.Conn, error) {
		dials++
		if dials == 1 {
			near, far := net.Pipe()
			silent <- far
			go func() {
				buf := make([]byte, 1024)
				for {
					if _, err := far.Read(buf); err != nil {
						return
					}
				}
			}()
			return near, nil
		}
		var nd net.Dialer
		return nd.DialContext(ctx, "tcp", address)
	}, nil, nil)
	defer po.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var out greeting
	var ue *peer.UnreachableError
	require.ErrorAs(t, po.Call(ctx, "x", "greet", greeting{Name: "a"}, &out), &ue)
	require.NoError(t, po.Call(context.Background(), "x", "greet", greeting{Name: "a"}, &out))
	require.Equal(t, 2, dials)
}

func TestUnknownMethodIsARemoteError(t *testing.T) {
	address := startServer(t, nil)
	po := peer.NewPool(nil, nil)
	defer po.Close()
	var re *peer.RemoteError
	require.ErrorAs(t, po.Call(context.Background(), address, "nope", greeting{}, nil), &re)
}
