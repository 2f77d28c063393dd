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
	// mode is what a proxy does with the bytes that pass.
	mode int32

	// proxy passes connections on to a target on loopback, and harms them on demand.
	proxy struct {
		listener net.Listener
		target   string
		mode     atomic.Int32

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

const (
	pass mode = iota
	// slow delays each piece.
	slow
	// silent takes bytes and passes none on.
	silent
	// oneWay passes on what goes to the target only.
	oneWay
	// refuse resets each new connection.
	refuse

	slowBy     = 40 * time.Millisecond
	proxyPiece = 16 << 10
)

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	pr := &proxy{listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go pr.accept()
	return pr, nil
}

func (pr *proxy) address() string { return pr.listener.Addr().String() }

func (pr *proxy) set(mo mode) { pr.mode.Store(int32(mo)) }

// reset resets all open connections.
func (pr *proxy) reset() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		abort(nc)
	}
}

func (pr *proxy) close() {
	_ = pr.listener.Close()
	pr.reset()
}

func (pr *proxy) accept() {
	for {
		nc, err := pr.listener.Accept()
		if err != nil {
			return
		}
		if mode(pr.mode.Load()) == refuse {
			abort(nc)
			continue
		}
		go pr.join(nc)
	}
}

func (pr *proxy) join(client net.Conn) {
	server, err := net.Dial("tcp", pr.target)
	if err != nil {
		abort(client)
		return
	}
	pr.keep(client, true)
	pr.keep(server, true)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		pr.copy(server, client, false)
	}()
	go func() {
		defer wg.Done()
		pr.copy(client, server, true)
	}()
	wg.Wait()
	pr.keep(client, false)
	pr.keep(server, false)
}

func (pr *proxy) keep(nc net.Conn, open bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if open {
		pr.conns[nc] = true
		return
	}
	delete(pr.conns, nc)
	_ = nc.Close()
}

// copy passes bytes on until either side ends; an end is passed on as such, a failure as a reset.
func (pr *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, proxyPiece)
	// A connection that has lost bytes carries nothing more; a network never leaves a hole.
	lost := false
	for {
		n, err := src.Read(buf)
		mo := mode(pr.mode.Load())
		lost = lost || mo == silent || (mo == oneWay && back)
		switch {
		case lost:
			n = 0
		case mo == slow:
			time.Sleep(slowBy)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				abort(src)
				return
			}
		}
		if errors.Is(err, io.EOF) && !lost {
			if tc, ok := dst.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(dst)
			return
		}
	}
}

// abort closes a connection by a reset.
func abort(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}
