// Package sockopt sets options of TCP sockets that net has no function for.
package sockopt

import (
	"cmp"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Abortive returns a net.Dialer.Control for connections whose unacknowledged bytes must not arrive later: TCP repeats them until a
// network partition has healed, also after the connection was closed or its process has ended. Such a connection is reset when
// it is closed, also by the end of its process. It is closed when bytes are not acknowledged for unackedTimeout, also while its process
// is suspended.
func Abortive(unackedTimeout time.Duration) func(network, address string, socket syscall.RawConn) error {
	return func(_, _ string, socket syscall.RawConn) error {
		var setErr error
		err := socket.Control(func(fd uintptr) { setErr = setAbortive(int(fd), unackedTimeout) })
		return errors.WithStack(cmp.Or(err, setErr))
	}
}

func setAbortive(fd int, unackedTimeout time.Duration) error {
	if err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0}); err != nil {
		return errors.Wrap(err, "set SO_LINGER")
	}
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}
