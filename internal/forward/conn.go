package forward

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

var (
	errUnsolicited = errors.New("target sent data without a request")
	errAbandoned   = errors.New("request was abandoned before it was written")
)

// conn is one connection to a target. It records whether any byte of the current request was written.
// Between requests, Read blocks on a channel and not on the network, and the socket is checked for data before
// the next request is written. Unsolicited data is therefore never read as the response to a later request.
type conn struct {
	net.Conn
	pool       *targetPool
	clientConn *http.ClientConn
	isTLS      bool
	// network is the connection to the target below TLS.
	network net.Conn
	socket  syscall.RawConn

	mu sync.Mutex
	// peekFunc, peekErr and peekBuffer are fields to avoid an allocation in each check of the socket.
	peekFunc   func(fd uintptr)
	peekErr    error
	peekBuffer [1]byte
	// requestWritten reports whether a byte of the current request was, or may have been, sent.
	requestWritten bool
	// abandoned reports that the current request must not be written any more.
	abandoned bool
	// isReading reports whether a Read is blocked on the network. awaitsRequest reports whether a Read waits for
	// the next request; requestStarted is closed to wake it.
	isReading      bool
	awaitsRequest  bool
	requestStarted chan struct{}
	// responseRead reports whether the current response was read to its end.
	responseRead bool
	// head checks the heads of the current response.
	head      headCheck
	isIdle    bool
	unusable  bool
	idleSince time.Time
	// keepAlive is the timeout for idle connections that the target announced, or 0 if it announced none.
	keepAlive time.Duration
	// transmission sends the body of the current request if it is an upload. If it outlasts its response, sendsOn is set and responseEnd
	// gets whether the response was whole.
	transmission *transmission
	sendsOn      bool
	responseEnd  chan bool
	// givenUp reports that the current request is given up.
	givenUp bool
}

// Read waits until a request is written and then reads from the network. A Read that is blocked on the network
// when a response ends is interrupted and waits for the next request.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if err := c.awaitRequest(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if interrupted := c.finishRead(p, &n, &err); !interrupted {
			return n, err
		}
	}
}

// awaitRequest blocks until a request is written. It returns an error if the connection became unusable.
func (c *conn) awaitRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRequest = true
	c.returnToPoolLocked()
	for !c.requestWritten && !c.unusable {
		c.requestStarted = make(chan struct{})
		started := c.requestStarted
		c.mu.Unlock()
		<-started
		c.mu.Lock()
	}
	c.awaitsRequest = false
	if c.unusable {
		return net.ErrClosed
	}
	c.isReading = true
	return nil
}

// finishRead checks the result of a network read into p. It reports whether the read was interrupted because the
// response had ended, in which case Read waits for the next request.
func (c *conn) finishRead(p []byte, n *int, err *error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	if c.responseRead && *n == 0 && errors.Is(*err, os.ErrDeadlineExceeded) {
		*err = c.SetReadDeadline(time.Time{})
		return *err == nil
	}
	if c.responseRead && *n > 0 {
		*n, *err = 0, errUnsolicited
	}
	if headErr := c.head.check(p[:*n]); headErr != nil {
		*n, *err = 0, headErr
	}
	if *err != nil {
		c.markUnusableLocked()
	}
	return false
}

// markUnusableLocked makes the connection unusable and wakes a waiting Read.
func (c *conn) markUnusableLocked() {
	c.unusable = true
	c.leavePoolLocked()
	c.wakeReaderLocked()
}

func (c *conn) wakeReaderLocked() {
	if c.requestStarted != nil {
		close(c.requestStarted)
		c.requestStarted = nil
	}
}

// socketOpenAndEmpty reports whether the socket is open and has no data to read. It returns true for connections
// that are not sockets, as in tests.
func (c *conn) socketOpenAndEmpty() bool {
	if c.socket == nil {
		return true
	}
	err := c.socket.Control(c.peekFunc)
	return err == nil && errors.Is(c.peekErr, syscall.EAGAIN)
}

func (c *conn) peekSocket(fd uintptr) {
	_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// attach sets the network connection, and its socket if it has one.
func (c *conn) attach(raw net.Conn) {
	c.Conn = raw
	if secure, ok := raw.(*tls.Conn); ok {
		c.isTLS = true
		raw = secure.NetConn()
	}
	c.network = raw
	if socket, ok := raw.(syscall.Conn); ok {
		c.socket, _ = socket.SyscallConn()
	}
	c.peekFunc = c.peekSocket
}

// Write records that a part of the current request was sent. If the first write fails with 0 bytes written,
// the request counts as unsent, except under TLS, where a part of a record may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.abandoned || c.unusable && !c.sendsOn {
		c.mu.Unlock()
		return 0, errAbandoned
	}
	first := !c.requestWritten
	// A TLS target may send session tickets before the first request.
	if first && !c.isTLS && !c.socketOpenAndEmpty() {
		c.markUnusableLocked()
		c.abandoned = true
		c.mu.Unlock()
		return 0, errUnsolicited
	}
	c.requestWritten = true
	c.wakeReaderLocked()
	c.mu.Unlock()

	n, err := c.Conn.Write(p)
	if err != nil && n == 0 && first && !c.isTLS {
		c.mu.Lock()
		c.requestWritten = false
		c.abandoned = true
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) setTransmission(t *transmission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transmission = t
}

// abandonUnsent gives up the current request if no part of it was written, and reports whether it did. Later
// writes then fail.
func (c *conn) abandonUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestWritten {
		return false
	}
	c.abandoned = true
	return true
}

// finishResponse records that the response was read to its end.
func (c *conn) finishResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseRead = true
	c.endResponseLocked(true)
	if c.isReading {
		_ = c.SetReadDeadline(pastDeadline)
	}
	c.returnToPoolLocked()
}

// keepAliveMargin is subtracted from the target's keep-alive timeout, because the target starts counting earlier.
const keepAliveMargin = 500 * time.Millisecond

// readKeepAlive stores the timeout of the Keep-Alive header.
func (c *conn) readKeepAlive(header http.Header) {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(text)
			if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
				c.mu.Lock()
				c.keepAlive = time.Duration(seconds) * time.Second
				c.mu.Unlock()
			}
		}
	}
}

// pastDeadline is a read deadline in the past, which interrupts a blocked Read.
var pastDeadline = time.Unix(1, 0)

func (c *conn) returnToPoolLocked() {
	if !c.responseRead || !c.awaitsRequest || c.unusable || c.abandoned {
		return
	}
	c.responseRead = false
	c.head = headCheck{}
	c.requestWritten = false
	c.transmission = nil
	c.isIdle = true
	c.idleSince = time.Now()
	if !c.pool.put(c) {
		c.isIdle = false
		c.markUnusableLocked()
		_ = c.closeInOrder()
	}
}

func (c *conn) leavePoolLocked() {
	if c.isIdle {
		c.isIdle = false
		c.pool.remove(c)
	}
}

// closeClientConn gives up the current request and closes the connection through its HTTP client; blocked reads and writes fail.
func (c *conn) closeClientConn() {
	c.mu.Lock()
	c.givenUp = true
	c.endResponseLocked(false)
	c.mu.Unlock()
	_ = c.clientConn.Close()
}

// acquire takes an idle connection for a request and reports whether it is usable. A connection that was idle
// for too long is not, because the target may be closing it.
func (c *conn) acquire(maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepAlive > 0 {
		maxIdle = min(maxIdle, c.keepAlive-keepAliveMargin)
	}
	ok := c.isIdle && !c.unusable && time.Since(c.idleSince) < maxIdle && c.socketOpenAndEmpty()
	c.isIdle = false
	return ok
}

func (c *conn) expireIdle(age time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle || now.Sub(c.idleSince) < age {
		return false
	}
	c.markUnusableLocked()
	return true
}
