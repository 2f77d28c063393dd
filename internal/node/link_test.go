package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/platform"
)

const hostPrefix = "bergamotway/hosts/"

var errLinkCut = errors.New("the link is cut")

type (
	// hostLinks are the links of one host to the metadata store and to the other hosts.
	hostLinks struct {
		metastore.Store
		all *hostLinkSet
		// hangs makes calls to a store that is cut off hang instead of failing.
		hangs bool
		// isEarlier lets the host register like one of an earlier version, which does not read what began a stream.
		isEarlier bool
		// gate receives the datagrams for the host.
		gate *net.UDPConn

		mu       sync.Mutex
		cut      chan struct{}
		isCut    bool
		address  netip.AddrPort
		peersCut atomic.Bool
	}

	// hostLinkSet holds the links of all hosts.
	hostLinkSet struct {
		mu    sync.Mutex
		links []*hostLinks
	}
)

// startLinkedHosts starts hosts named host-0 and so on whose links can be cut, and waits until they know each other.
func (env *testEnv) startLinkedHosts(count int, dialer attempt.Dialer, earlier ...int) ([]*node.Node, []*hostLinks) {
	set := &hostLinkSet{}
	var hosts []*node.Node
	for i := range count {
		gate, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(env.t, err)
		env.t.Cleanup(func() { _ = gate.Close() })
		hl := &hostLinks{Store: platform.NewMetadataStore(env.store.Address(), nil), all: set, gate: gate, cut: make(chan struct{})}
		hl.isEarlier = slices.Contains(earlier, i)
		set.mu.Lock()
		set.links = append(set.links, hl)
		set.mu.Unlock()
		go hl.forward()
		var own attempt.Dialer
		if i == 0 {
			own = dialer
		}
		no, _ := env.startHostWithStore(hostName(i), own, hl)
		hosts = append(hosts, no)
	}
	for _, no := range hosts {
		env.awaitReadiness(no, true)
	}
	env.awaitHosts(count)
	return hosts, set.links
}

func hostName(i int) string { return "host-" + string(rune('0'+i)) }

// forward passes datagrams on to the host, unless it or their sender is cut off.
func (hl *hostLinks) forward() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := hl.gate.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		hl.mu.Lock()
		address := hl.address
		hl.mu.Unlock()
		if address.IsValid() && !hl.peersCut.Load() && !hl.all.isSenderCut(from) {
			_, _ = hl.gate.WriteToUDPAddrPort(buf[:n], address)
		}
	}
}

func (hs *hostLinkSet) isSenderCut(from netip.AddrPort) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for _, hl := range hs.links {
		hl.mu.Lock()
		isSender := hl.address == from
		hl.mu.Unlock()
		if isSender {
			return hl.peersCut.Load()
		}
	}
	return false
}

// cutStore cuts the host off from the metadata store, or ends the cut.
func (hl *hostLinks) cutStore(isCut bool) {
	hl.mu.Lock()
	defer hl.mu.Unlock()
	if isCut == hl.isCut {
		return
	}
	if hl.isCut = isCut; isCut {
		close(hl.cut)
		return
	}
	hl.cut = make(chan struct{})
}

// call makes a call to the store that ends with an error when the host is cut off.
func (hl *hostLinks) call(ctx context.Context, send func(ctx context.Context) error) error {
	hl.mu.Lock()
	cut, isCut := hl.cut, hl.isCut
	hl.mu.Unlock()
	if isCut && hl.hangs {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	if isCut {
		return metastore.NewUnavailableError("call", false, errLinkCut)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := send(ctx)
	select {
	case <-cut:
		return metastore.NewUnavailableError("call", true, errLinkCut)
	default:
		return err
	}
}

func (hl *hostLinks) List(ctx context.Context, prefix string) (sn metastore.Snapshot, err error) {
	err = hl.call(ctx, func(ctx context.Context) (err error) {
		sn, err = hl.Store.List(ctx, prefix)
		return err
	})
	return sn, err
}

func (hl *hostLinks) Watch(ctx context.Context, prefix string, re metastore.Revision, wait time.Duration) (ch metastore.Changes, err error) {
	err = hl.call(ctx, func(ctx context.Context) (err error) {
		ch, err = hl.Store.Watch(ctx, prefix, re, wait)
		return err
	})
	return ch, err
}

// Commit applies a transaction. Others find the gate in place of the address of the host.
func (hl *hostLinks) Commit(ctx context.Context, tx metastore.Transaction) (re metastore.Revision, err error) {
	for i, pu := range tx.Puts {
		var registration map[string]any
		if !strings.HasPrefix(pu.Key, hostPrefix) || json.Unmarshal(pu.Value, &registration) != nil {
			continue
		}
		if text, ok := registration["address"].(string); ok {
			hl.mu.Lock()
			hl.address = netip.MustParseAddrPort(text)
			hl.mu.Unlock()
			registration["address"] = hl.gate.LocalAddr().String()
			if hl.isEarlier {
				delete(registration, "origins")
			}
			tx.Puts[i].Value, _ = json.Marshal(registration)
		}
	}
	err = hl.call(ctx, func(ctx context.Context) (err error) {
		re, err = hl.Store.Commit(ctx, tx)
		return err
	})
	return re, err
}

func (hl *hostLinks) Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	err = hl.call(ctx, func(ctx context.Context) (err error) {
		lease, err = hl.Store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

func (hl *hostLinks) Renew(ctx context.Context, lease uint64) error {
	return hl.call(ctx, func(ctx context.Context) error { return hl.Store.Renew(ctx, lease) })
}

func (hl *hostLinks) Revoke(ctx context.Context, lease uint64) error {
	return hl.call(ctx, func(ctx context.Context) error { return hl.Store.Revoke(ctx, lease) })
}
