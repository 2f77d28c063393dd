package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type (
	// cutMode is what a host that is partitioned from the endpoints sees.
	cutMode int32

	// cutDialer is the link between one host and the endpoints.
	cutDialer struct {
		mode atomic.Int32
		// opened counts the connections that were opened.
		opened atomic.Int64

		mu    sync.Mutex
		conns map[*cutConn]bool
	}

	// cutConn is a connection over that link.
	cutConn struct {
		*net.TCPConn
		link *cutDialer
	}
)

const (
	linkUp cutMode = iota
	// linkRefuses refuses new connections and resets open ones.
	linkRefuses
	// linkHangs lets connections hang, until the kernel gives up unacknowledged bytes.
	linkHangs
	// linkRefusesNew refuses new connections, and open ones live on.
	linkRefusesNew

	unacknowledgedTimeout = 900 * time.Millisecond
)

// String returns the name of the mode.
func (cm cutMode) String() string {
	return [...]string{linkUp: "up", linkRefuses: "refuses", linkHangs: "hangs", linkRefusesNew: "refuses-new"}[cm]
}

func (cd *cutDialer) current() cutMode { return cutMode(cd.mode.Load()) }

// set sets what becomes of connections from now on.
func (cd *cutDialer) set(mode cutMode) {
	cd.mode.Store(int32(mode))
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for cn := range cd.conns {
		switch mode {
		case linkRefuses:
			_ = cn.SetLinger(0)
			_ = cn.Close()
			delete(cd.conns, cn)
		case linkHangs:
			// Reads that wait notice that nothing comes any more.
			_ = cn.SetReadDeadline(time.Now().Add(unacknowledgedTimeout))
		case linkUp, linkRefusesNew:
		}
	}
}

// DialContext opens a connection, as far as the link lets it.
func (cd *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch cd.current() {
	case linkRefuses, linkRefusesNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case linkHangs:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case linkUp:
	}
	nd := net.Dialer{KeepAlive: -1}
	raw, err := nd.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tc, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, net.UnknownNetworkError(network)
	}
	cd.opened.Add(1)
	cn := &cutConn{TCPConn: tc, link: cd}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cd.conns == nil {
		cd.conns = make(map[*cutConn]bool)
	}
	cd.conns[cn] = true
	return cn, nil
}

// Read reads what the link lets through.
func (cn *cutConn) Read(p []byte) (int, error) {
	n, err := cn.TCPConn.Read(p)
	if cn.link.current() != linkHangs {
		return n, err
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// Write drops what the link does not let through.
func (cn *cutConn) Write(p []byte) (int, error) {
	if cn.link.current() == linkHangs {
		_ = cn.SetReadDeadline(time.Now().Add(unacknowledgedTimeout))
		return len(p), nil
	}
	return cn.TCPConn.Write(p)
}

// SetDeadline sets the deadline, but not beyond the time after which the kernel gives up.
func (cn *cutConn) SetDeadline(t time.Time) error {
	if limit := time.Now().Add(unacknowledgedTimeout); cn.link.current() == linkHangs && (t.IsZero() || t.After(limit)) {
		t = limit
	}
	return cn.TCPConn.SetDeadline(t)
}

// Guards against refusing the clients of a host that reaches no endpoint while other hosts reach them all.
func TestHostCutOffFromAllEndpointsServes(t *testing.T) {
	t.Parallel()
	const settleTime, span = 3 * time.Second, 2 * time.Second
	for _, mode := range []cutMode{linkRefuses, linkHangs, linkRefusesNew} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 5, 3)
			env.writeConfiguration()
			link := &cutDialer{}
			cut, _ := env.startHostWithDialer("host-0", link)
			env.awaitReadiness(cut, true)
			env.startReadyHost("host-1")
			env.startReadyHost("host-2")
			env.awaitHosts(3)
			for _, uri := range []string{"/pay/1", "/look/1", "/note/1", "/query/1"} {
				require.NotEmpty(t, env.sendEvery(20*time.Millisecond, 200*time.Millisecond, uri, cut))
			}
			link.set(mode)
			env.sendEvery(20*time.Millisecond, settleTime, "/look/1", cut)
			for _, uri := range []string{"/pay/1", "/look/1", "/note/1", "/query/1"} {
				served, sent := 0, 0
				for _, re := range env.sendEvery(20*time.Millisecond, span, uri, cut) {
					sent++
					if re.status == http.StatusOK && re.complete && re.header.Get("X-Response-Seal") != "" {
						served++
					}
				}
				require.GreaterOrEqual(t, 3*served, 2*sent, "%s: %d of %d", uri, served, sent)
			}
		})
	}
}

// Guards against requests that run twice, or run although they were refused, on their way through another host.
func TestRequestsAreRunOnceAroundCut(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{linkRefuses, linkHangs} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 4, 3)
			env.writeConfiguration()
			link := &cutDialer{}
			cut, _ := env.startHostWithDialer("host-0", link)
			env.awaitReadiness(cut, true)
			env.startReadyHost("host-1")
			env.awaitHosts(2)
			var (
				wg       sync.WaitGroup
				mu       sync.Mutex
				statuses = make(map[string]int)
				stop     = make(chan struct{})
			)
			for i := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("pay-%d-%d", i, n)
						re := env.send(cut, http.MethodPost, "/pay/1", id, "body", nil)
						mu.Lock()
						statuses[id] = re.status
						mu.Unlock()
					}
				}()
			}
			for range 3 {
				<-time.After(300 * time.Millisecond)
				link.set(mode)
				<-time.After(1500 * time.Millisecond)
				link.set(linkUp)
			}
			close(stop)
			wg.Wait()
			runs := make(map[string]int)
			for _, ep := range env.plainEndpoints {
				for _, rr := range ep.RecordedRequests() {
					runs[rr.ID]++
				}
			}
			for id, status := range statuses {
				require.LessOrEqual(t, runs[id], 1, id)
				if status == http.StatusServiceUnavailable {
					require.Zero(t, runs[id], id)
				}
			}
		})
	}
}
