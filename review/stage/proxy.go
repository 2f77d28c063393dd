package stage

import (
	"io"
	"net"
	"sync"
)

// Proxy passes TCP connections on to an address. It can silence the open ones: it keeps them open and passes nothing more on, not even
// their end.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is a connection through a proxy.
type link struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

// NewProxy starts a proxy before an address.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	px := &Proxy{listener: ln, target: target}
	go px.serve()
	return px, nil
}

// Address returns the address of the proxy.
func (px *Proxy) Address() string { return px.listener.Addr().String() }

// SilenceOpen silences the connections that are open now, and returns their number. New ones work.
func (px *Proxy) SilenceOpen() int {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, li := range px.links {
		li.once.Do(func() { close(li.silent) })
	}
	return len(px.links)
}

// Close ends the proxy and its connections.
func (px *Proxy) Close() {
	_ = px.listener.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, li := range px.links {
		_ = li.client.Close()
		_ = li.server.Close()
	}
}

func (px *Proxy) serve() {
	for {
		client, err := px.listener.Accept()
		if err != nil {
			return
		}
		go px.pass(client)
	}
}

func (px *Proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", px.target)
	if err != nil {
		reset(client)
		return
	}
	li := &link{client: client, server: server, silent: make(chan struct{})}
	px.mu.Lock()
	px.links = append(px.links, li)
	px.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		li.copy(server, client)
	}()
	go func() {
		defer wg.Done()
		li.copy(client, server)
	}()
	wg.Wait()
	px.mu.Lock()
	for i, other := range px.links {
		if other == li {
			px.links = append(px.links[:i], px.links[i+1:]...)
			break
		}
	}
	px.mu.Unlock()
	if !li.isSilent() {
		_ = client.Close()
		_ = server.Close()
	}
}

// copy passes bytes on, and the way in which they end: a shutdown as a shutdown, a reset as a reset. Once the link is silent it passes
// nothing on.
func (li *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if li.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func (li *link) isSilent() bool {
	select {
	case <-li.silent:
		return true
	default:
		return false
	}
}

func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}
