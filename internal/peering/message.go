package peering

import (
	"net/netip"
	"slices"
)

// HandleMessages sets the function that receives the messages of other hosts. It is called from the goroutine that reads
// datagrams, and must not keep the data.
func (ex *Exchange) HandleMessages(handle func(data []byte)) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.handleMessage = handle
}

// SendMessage sends a message to another host by its name, apart from the digests. It may be lost, and is dropped if the
// host is not known.
func (ex *Exchange) SendMessage(host string, data []byte) {
	ex.mu.Lock()
	i := slices.IndexFunc(ex.peers, func(pe Peer) bool { return pe.Name == host })
	var address netip.AddrPort
	if i >= 0 {
		address = ex.peers[i].Address
	}
	ex.mu.Unlock()
	if i >= 0 {
		// The sender does not rely on it.
		_, _ = ex.conn.WriteToUDPAddrPort(append([]byte{messageMark}, data...), address)
	}
}

// deliverMessage passes a received message to the function that was set for messages.
func (ex *Exchange) deliverMessage(data []byte) {
	ex.mu.Lock()
	handle := ex.handleMessage
	ex.mu.Unlock()
	if handle != nil {
		handle(data)
	}
}
