package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// ownsConn reports whether a process has a TCP connection with this local address. A connection does not tell who opened it,
// but the kernel's table does.
func ownsConn(pid int, local net.Addr) bool {
	ap, err := netip.ParseAddrPort(local.String())
	if pid == 0 || err != nil {
		return false
	}
	ip := ap.Addr().Unmap().As4()
	wanted := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), ap.Port())
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return false
	}
	defer func() { _ = table.Close() }()
	const localColumn, inodeColumn = 1, 9
	sc := bufio.NewScanner(table)
	for sc.Scan() {
		if fields := strings.Fields(sc.Text()); len(fields) > inodeColumn && fields[localColumn] == wanted {
			return hasSocket(pid, fields[inodeColumn])
		}
	}
	return false
}

// hasSocket reports whether a process has the socket with this inode open.
func hasSocket(pid int, inode string) bool {
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, name := range names {
		if target, err := os.Readlink(name); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
