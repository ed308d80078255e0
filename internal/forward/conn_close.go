package forward

import "time"

// Close closes the connection and aborts a blocked read of the caller's body; without that, a request whose connection broke would
// end only after the read. An upload that outlasts its response goes on first. A request without its whole response is given up: what is
// still under way must not reach the target later.
func (c *conn) Close() error {
	c.mu.Lock()
	isAbandoned := c.requestWritten && !c.responseRead
	sent := c.transmission
	c.transmission = nil
	c.sendsOn = c.mayOutlastLocked(sent)
	if c.sendsOn {
		c.responseEnd = make(chan bool, 1)
		if c.responseRead {
			c.responseEnd <- true
		}
		go c.closeAfter(sent)
	}
	sendsOn := c.sendsOn
	c.markUnusableLocked()
	c.mu.Unlock()
	if sendsOn {
		return nil
	}
	if sent != nil {
		sent.abortRead()
	}
	if isAbandoned {
		return c.reset()
	}
	return c.closeInOrder()
}

// mayOutlastLocked reports whether a transmission may go on although the transport closes the connection. The transport does so 50 ms
// after the end of a response if it still sends the body, and it does not say whether that or an error is its reason.
func (c *conn) mayOutlastLocked(sent *transmission) bool {
	isResponding := c.head.part == bodyPart && !c.unusable && !c.givenUp
	if !isResponding || sent == nil || !sent.isSending() {
		return false
	}
	// The context also ends after a whole response.
	return c.responseRead || sent.ctx.Err() == nil
}

const (
	// responseEndTimeout is how long it may take to read the last bytes of a response once the transport has closed the connection.
	responseEndTimeout = time.Second
	// lastWriteTimeout is how long the transport may take to write what it has buffered at the end of a body.
	lastWriteTimeout = time.Second
)

// closeAfter closes the connection after a transmission that may outlast its response.
func (c *conn) closeAfter(sent *transmission) {
	if !c.awaitResponseEnd() || !sent.awaitEnd() {
		sent.abortRead()
		_ = c.reset()
		return
	}
	time.Sleep(lastWriteTimeout)
	_ = c.closeInOrder()
}

// awaitResponseEnd waits for the end of the response and reports whether it was whole.
func (c *conn) awaitResponseEnd() bool {
	timer := time.NewTimer(responseEndTimeout)
	defer timer.Stop()
	select {
	case isWhole := <-c.responseEnd:
		return isWhole
	case <-timer.C:
		return false
	}
}

// endResponseLocked tells closeAfter whether the response was whole.
func (c *conn) endResponseLocked(isWhole bool) {
	if !c.sendsOn {
		return
	}
	select {
	case c.responseEnd <- isWhole:
	default:
	}
}

// reset closes the connection and drops what is under way.
func (c *conn) reset() error {
	if socket, ok := c.network.(lingerer); ok {
		_ = socket.SetLinger(resetOnClose)
	}
	// TLS would send a message first, which may block.
	return c.network.Close()
}

// lingerer is a socket that can say what happens to its unacknowledged bytes when it is closed.
type lingerer interface{ SetLinger(sec int) error }

const (
	// resetOnClose drops unacknowledged bytes. It is the default of connections to targets, so that they are reset when the process is
	// killed.
	resetOnClose = 0
	// lingerInBackground delivers unacknowledged bytes, and ends the connection in order.
	lingerInBackground = -1
)

// closeInOrder closes a connection without a request.
func (c *conn) closeInOrder() error {
	if socket, ok := c.network.(lingerer); ok {
		_ = socket.SetLinger(lingerInBackground)
	}
	return c.Conn.Close()
}
