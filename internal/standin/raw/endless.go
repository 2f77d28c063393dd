package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Endless is a server that answers each request with a beginning and then repeats a chunk until the caller closes the
// connection. It is safe for concurrent use.
type Endless struct {
	listener  net.Listener
	beginning string
	chunk     []byte
	open      atomic.Int64
	accepted  atomic.Int64
}

// NewEndless starts a server. The caller closes it.
func NewEndless(beginning, chunk string) (*Endless, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "raw: listen")
	}
	en := &Endless{listener: ln, beginning: beginning, chunk: []byte(chunk)}
	go en.accept()
	return en, nil
}

// Address returns the address of the server.
func (en *Endless) Address() string { return en.listener.Addr().String() }

// OpenConnections returns the number of connections that no side has closed.
func (en *Endless) OpenConnections() int { return int(en.open.Load()) }

// AcceptedConnections returns the number of connections so far.
func (en *Endless) AcceptedConnections() int { return int(en.accepted.Load()) }

// Close stops accepting connections. Those that are open end when the caller closes them.
func (en *Endless) Close() error { return en.listener.Close() }

func (en *Endless) accept() {
	for {
		nc, err := en.listener.Accept()
		if err != nil {
			return
		}
		en.open.Add(1)
		en.accepted.Add(1)
		go en.serve(nc)
	}
}

func (en *Endless) serve(nc net.Conn) {
	defer en.open.Add(-1)
	defer func() { _ = nc.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	_, err = io.WriteString(nc, en.beginning)
	for err == nil {
		_, err = nc.Write(en.chunk)
	}
}
