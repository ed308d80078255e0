package connlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unsentBytes returns the bytes of responses that the kernel holds because the client has not received them; 0 if unknown.
func unsentBytes(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	if err := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return unsent
}
