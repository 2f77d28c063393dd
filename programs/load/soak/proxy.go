package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type (
	// proxyMode is the way in which a proxy treats connections and their bytes.
	proxyMode int32

	// proxy forwards TCP connections to a target on loopback, and injects network faults.
	proxy struct {
		listener net.Listener
		target   string
		mode     atomic.Int32
		// refuses reports whether a new connection is reset; nil resets none.
		refuses func(client net.Conn) bool

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

const (
	modePass proxyMode = iota
	// modeSlow delays the bytes of each read by slowDelay.
	modeSlow
	// modeBlackhole reads the bytes of both directions and drops them.
	modeBlackhole
	// modeDropResponses forwards the bytes to the target and drops those to the client.
	modeDropResponses
	// modeRefuse resets each new connection; open ones are not affected.
	modeRefuse

	slowDelay       = 40 * time.Millisecond
	copyBufferBytes = 16 << 10
)

func newProxy(target string) (*proxy, error) { return newGuardedProxy(target, nil) }

// newGuardedProxy returns a proxy that resets the new connections that it refuses.
func newGuardedProxy(target string, refuses func(client net.Conn) bool) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	pr := &proxy{listener: ln, target: target, refuses: refuses, conns: make(map[net.Conn]bool)}
	go pr.acceptConns()
	return pr, nil
}

func (pr *proxy) address() string { return pr.listener.Addr().String() }

func (pr *proxy) setMode(mo proxyMode) { pr.mode.Store(int32(mo)) }

// resetAll closes all open connections with a TCP reset.
func (pr *proxy) resetAll() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		resetConn(nc)
	}
}

func (pr *proxy) close() {
	_ = pr.listener.Close()
	pr.resetAll()
}

func (pr *proxy) acceptConns() {
	for {
		nc, err := pr.listener.Accept()
		if err != nil {
			return
		}
		if proxyMode(pr.mode.Load()) == modeRefuse {
			resetConn(nc)
			continue
		}
		go func() {
			if pr.refuses != nil && pr.refuses(nc) {
				resetConn(nc)
				return
			}
			pr.relay(nc)
		}()
	}
}

// relay connects client to the target and forwards both directions until they end.
func (pr *proxy) relay(client net.Conn) {
	server, err := net.Dial("tcp", pr.target)
	if err != nil {
		resetConn(client)
		return
	}
	pr.track(client, true)
	pr.track(server, true)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		pr.forward(server, client, false)
	}()
	go func() {
		defer wg.Done()
		pr.forward(client, server, true)
	}()
	wg.Wait()
	pr.track(client, false)
	pr.track(server, false)
}

// track adds an open connection to those that resetAll resets, or closes one and removes it from them.
func (pr *proxy) track(nc net.Conn, isOpen bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if isOpen {
		pr.conns[nc] = true
		return
	}
	delete(pr.conns, nc)
	_ = nc.Close()
}

// forward copies bytes from src to dst until either side ends. It forwards an EOF as a half-close and an error as a
// reset.
func (pr *proxy) forward(dst, src net.Conn, toClient bool) {
	buf := make([]byte, copyBufferBytes)
	// Once bytes were dropped, all later ones are dropped as well: TCP never delivers a stream with a gap.
	dropped := false
	for {
		n, err := src.Read(buf)
		mo := proxyMode(pr.mode.Load())
		dropped = dropped || mo == modeBlackhole || (mo == modeDropResponses && toClient)
		switch {
		case dropped:
			n = 0
		case mo == modeSlow:
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				resetConn(src)
				return
			}
		}
		if errors.Is(err, io.EOF) && !dropped {
			if tc, ok := dst.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConn(dst)
			return
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}
