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

func serve(t *testing.T, conf *tls.Config) string {
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

// mutual returns a configuration of one authority, for both sides.
func mutual(t *testing.T) *tls.Config {
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
	conf := mutual(t)
	address := serve(t, conf)
	po := peer.NewPool(conf, nil)
	defer po.Close()
	var out greeting
	require.NoError(t, po.Call(context.Background(), address, "greet", greeting{Name: "a"}, &out))
	require.Equal(t, "hello a", out.Name)
}

// TestStrangersAreRefused calls without a certificate, with one of another authority, and in plain TCP.
func TestStrangersAreRefused(t *testing.T) {
	conf := mutual(t)
	address := serve(t, conf)
	for _, stranger := range []*tls.Config{{RootCAs: conf.RootCAs, MinVersion: tls.VersionTLS13}, mutual(t), nil} {
		po := peer.NewPool(stranger, nil)
		var out greeting
		var ue *peer.UnreachableError
		require.ErrorAs(t, po.Call(context.Background(), address, "greet", greeting{Name: "a"}, &out), &ue)
		require.Empty(t, out.Name)
		po.Close()
	}
}

// TestSilentConnectionIsReplaced calls through a connection that falls silent for good.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address := serve(t, nil)
	silent := make(chan net.Conn, 8)
	dials := 0
	po := peer.NewPoolOver(func(ctx context.Context, _ string) (net.Conn, error) {
		dials++
		if dials == 1 {
			own, other := net.Pipe()
			silent <- other
			go func() {
				buf := make([]byte, 1024)
				for {
					if _, err := other.Read(buf); err != nil {
						return
					}
				}
			}()
			return own, nil
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
	address := serve(t, nil)
	po := peer.NewPool(nil, nil)
	defer po.Close()
	var re *peer.RemoteError
	require.ErrorAs(t, po.Call(context.Background(), address, "nope", greeting{}, nil), &re)
}
