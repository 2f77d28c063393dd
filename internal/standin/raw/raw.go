// Package raw is a server whose response is given byte by byte, so that it may be invalid or end early.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// RespondOnce starts a server that reads one request, writes the response and closes the connection, with a reset if isReset is
// set. The caller stops it.
func RespondOnce(response string, isReset bool) (address string, stop func() error, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "raw: listen")
	}
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		rq, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(nc, response)
		if tcp, ok := nc.(*net.TCPConn); ok && isReset {
			_ = tcp.SetLinger(0)
		}
	}()
	return ln.Addr().String(), ln.Close, nil
}
