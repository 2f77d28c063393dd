package node

import (
	"net"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/peering"
)

// listen opens the listeners of the host.
func (no *Node) listen() error {
	var err error
	if no.exchange, err = peering.Listen(no.st.PeerListen, peering.Peer{
		Name: no.st.Name, Zone: no.st.Zone, Capacity: no.st.Weight, LinkMbps: no.st.LinkMbps,
	}, no.ck); err != nil {
		return err
	}
	no.exchange.HandleMessages(no.handleMessage)
	if no.clientListener, err = net.Listen("tcp", no.st.Listen); err != nil {
		return errors.Wrap(err, "node: listen for clients")
	}
	if no.relayListener, err = listenForPeers(no.st.PeerListen); err != nil {
		return err
	}
	if no.readyListener, err = net.Listen("tcp", no.st.ReadyListen); err != nil {
		return errors.Wrap(err, "node: listen for readiness")
	}
	if no.st.MetricsListen != "" {
		if no.metricsListener, err = net.Listen("tcp", no.st.MetricsListen); err != nil {
			return errors.Wrap(err, "node: listen for metrics")
		}
	}
	return nil
}

// listenForPeers listens for the requests of peers, on the port of the digests.
func listenForPeers(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	return ln, errors.Wrap(err, "node: listen for peers")
}
