package strictclient

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errReset is the error of a read at the end of a connection that failed while a request was written.
var errReset = errors.New("connection failed while the request was written")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial. A read from such a connection fails if the connection was reset, also when
// the kernel has reported the reset to a write.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
}

// conn is a connection whose Read tells a reset from an orderly end. The kernel reports a reset once, to a read or to a write. After a
// write got it, reads return the end of the stream, as if the peer had closed the connection, and a response that ends with its
// connection looks whole. Read returns errReset then.
type conn struct {
	net.Conn
	// socket is nil for a connection that is no socket, such as one in memory.
	socket syscall.RawConn

	// writing is held during each write.
	writing     sync.Mutex
	writeFailed bool
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		wrapped.socket, _ = s.SyscallConn()
	}
	return wrapped
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.hasFailed() {
		return n, errReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// hasFailed reports whether the connection failed and a write got the error. It waits for a write that is under way, which may hold
// the error and cannot block on a closed connection.
func (c *conn) hasFailed() bool {
	if !c.isClosed() {
		return false
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// isClosed reports whether the connection is closed in both directions: by a reset, or by this side. After an orderly end, the peer
// has closed one direction only, and may still read.
func (c *conn) isClosed() bool {
	if c.socket == nil {
		return false
	}
	isHungUp := false
	err := c.socket.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd)}}
		_, pollErr := unix.Poll(state, 0)
		isHungUp = pollErr == nil && state[0].Revents&unix.POLLHUP != 0
	})
	return isHungUp || err != nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if c.socket == nil {
		return nil, errors.New("connection is no socket")
	}
	return c.socket, nil
}
