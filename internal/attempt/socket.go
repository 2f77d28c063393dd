package attempt

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// checkIdle reports whether an idle connection is open and has no unread bytes, which belong to no request, and whether the
// endpoint has closed it.
func checkIdle(nc net.Conn) (isUsable, isClosed bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isUsable = errors.Is(rerr, syscall.EAGAIN)
		isClosed = !isUsable && n <= 0
		return true
	})
	return err == nil && isUsable, err != nil || isClosed
}

// isReset reports whether a connection of which the end has been read was reset. The kernel reports a reset to
// only one call: if a concurrent write has received the error, reads return io.EOF.
func isReset(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		// A connection that the peer has closed still has a peer; one that was reset has none.
		_, perr := syscall.Getpeername(int(fd))
		reset = errors.Is(perr, syscall.ENOTCONN)
	})
	return err != nil || reset
}

// isEstablished reports whether neither side has closed or reset a connection, also if it has unread bytes.
func isEstablished(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	// The first byte of the structure that TCP_INFO returns is the state.
	const (
		stateMask        = 0xff
		stateEstablished = 1
	)
	established := false
	err = raw.Control(func(fd uintptr) {
		info, serr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		established = serr == nil && info&stateMask == stateEstablished
	})
	return err == nil && established
}
