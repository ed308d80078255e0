package sockopt

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against bytes that the kernel sends again for a suspended process long after its call is out of date, and against bytes that
// outlive the process.
func TestAbortiveSetsOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{Control: Abortive(700 * time.Millisecond)}
	c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	socket, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = socket.Control(func(fd uintptr) {
		unacked, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil || unacked != 700 {
			t.Errorf("unacknowledged bytes are given up after %d ms (%v), want 700", unacked, err)
		}
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		if err != nil || linger.Onoff == 0 || linger.Linger != 0 {
			t.Errorf("linger is %+v (%v), want a reset at the end", linger, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
