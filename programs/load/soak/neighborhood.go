package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	hostPrefix        = "bergamotway/hosts/"
	maxDatagramBytes  = 64 << 10
	neighborListeners = 20
)

type (
	// neighborhood is in the way of all traffic between hosts. The metadata store's front writes its addresses into the hosts'
	// registrations. The zero value has no hosts. It is safe for concurrent use.
	neighborhood struct {
		mu        sync.Mutex
		neighbors []*neighbor
		front     *http.Server
		address   string
	}

	// neighbor takes the datagrams and connections for one host at an address of its own. It passes datagrams on from the
	// address that the sender has in its registration.
	neighbor struct {
		host    *process
		target  netip.AddrPort
		conn    *net.UDPConn
		relays  *proxy
		cutOff  bool
		address string
	}
)

// add puts a neighbor in the way of a host that listens for others at target.
func (nh *neighborhood) add(ho *process, target string) error {
	ap, err := netip.ParseAddrPort(target)
	if err != nil {
		return errors.Wrap(err, "soak: neighbor")
	}
	nb := &neighbor{host: ho, target: ap}
	for range neighborListeners {
		// Datagrams and connections need the same port.
		if nb.relays, err = newGuardedProxy(target, func(client net.Conn) bool { return nh.refuses(nb, client) }); err != nil {
			return err
		}
		nb.address = nb.relays.address()
		if nb.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(nb.address))); err == nil {
			break
		}
		nb.relays.close()
	}
	if err != nil {
		return errors.Wrap(err, "soak: neighbor")
	}
	ho.neighbor = nb
	nh.mu.Lock()
	nh.neighbors = append(nh.neighbors, nb)
	nh.mu.Unlock()
	go nh.forward(nb)
	return nil
}

// forward passes datagrams on, unless their sender or receiver is cut off.
func (nh *neighborhood) forward(nb *neighbor) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := nb.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		nh.mu.Lock()
		var sender *neighbor
		for _, other := range nh.neighbors {
			if other.target == netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
				sender = other
			}
		}
		isCut := sender == nil || sender.cutOff || nb.cutOff
		nh.mu.Unlock()
		if !isCut {
			// Datagrams may be lost.
			_, _ = sender.conn.WriteToUDPAddrPort(buf[:n], nb.target)
		}
	}
}

// refuses reports whether a connection to a host is refused because it or the host that connects is cut off.
func (nh *neighborhood) refuses(nb *neighbor, client net.Conn) bool {
	nh.mu.Lock()
	defer nh.mu.Unlock()
	if nb.cutOff {
		return true
	}
	for _, other := range nh.neighbors {
		if other.cutOff && ownsConn(other.host.pid(), client.RemoteAddr()) {
			return true
		}
	}
	return false
}

// cut cuts a host off from all others, or joins it to them again. Open connections to all hosts are reset.
func (nh *neighborhood) cut(ho *process, isCut bool) {
	nh.mu.Lock()
	ho.neighbor.cutOff = isCut
	neighbors := nh.neighbors
	nh.mu.Unlock()
	if !isCut {
		return
	}
	for _, nb := range neighbors {
		nb.relays.resetAll()
	}
}

// joinAll ends all cuts.
func (nh *neighborhood) joinAll() {
	nh.mu.Lock()
	defer nh.mu.Unlock()
	for _, nb := range nh.neighbors {
		nb.cutOff = false
	}
}

// serveStore serves the metadata store to hosts, with the neighbors' addresses in the registrations that they write.
func (nh *neighborhood) serveStore(store *site.Store) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(processLoopbackIP(), "0"))
	if err != nil {
		return errors.Wrap(err, "soak: store")
	}
	nh.address = ln.Addr().String()
	nh.front = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/kv-txn" {
			data, err := io.ReadAll(rq.Body)
			if err != nil {
				return
			}
			rq.Body = io.NopCloser(bytes.NewReader(nh.replaceAddresses(data)))
		}
		store.ServeHTTP(w, rq)
	}), ReadHeaderTimeout: requestTimeout}
	go func() { _ = nh.front.Serve(ln) }()
	return nil
}

// storeAddress returns the address at which hosts reach the metadata store.
func (nh *neighborhood) storeAddress(direct string) string {
	if nh.front == nil {
		return direct
	}
	return nh.address
}

// replaceAddresses returns a transaction in which the registrations of hosts have the addresses of their neighbors.
func (nh *neighborhood) replaceAddresses(transaction []byte) []byte {
	var tx map[string]json.RawMessage
	var puts []struct {
		Key   string          `json:"key"`
		Value []byte          `json:"value"`
		Lease json.RawMessage `json:"lease,omitempty"`
	}
	if json.Unmarshal(transaction, &tx) != nil || json.Unmarshal(tx["puts"], &puts) != nil {
		return transaction
	}
	nh.mu.Lock()
	defer nh.mu.Unlock()
	for i, pu := range puts {
		var registration map[string]any
		name, ok := strings.CutPrefix(pu.Key, hostPrefix)
		if !ok || json.Unmarshal(pu.Value, &registration) != nil {
			continue
		}
		for _, nb := range nh.neighbors {
			if nb.host.name != name {
				continue
			}
			for _, field := range []string{"address", "relay"} {
				if _, ok := registration[field]; ok {
					registration[field] = nb.address
				}
			}
		}
		value, err := json.Marshal(registration)
		if err != nil {
			return transaction
		}
		puts[i].Value = value
	}
	var err error
	if tx["puts"], err = json.Marshal(puts); err != nil {
		return transaction
	}
	out, err := json.Marshal(tx)
	if err != nil {
		return transaction
	}
	return out
}

func (nh *neighborhood) close() {
	if nh.front != nil {
		_ = nh.front.Close()
	}
	nh.mu.Lock()
	neighbors := nh.neighbors
	nh.mu.Unlock()
	for _, nb := range neighbors {
		nb.relays.close()
		_ = nb.conn.Close()
	}
}
