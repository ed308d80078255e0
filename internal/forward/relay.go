package forward

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/reach"
)

// A request that passes through another instance is sent to that instance unchanged but for relayTargetHeader, which names the
// URL of the target. The other instance sends it to the target directly, so that it passes through one instance at most.
const (
	relayTargetHeader = "Egretspar-Relay-Target"
	// relayCheckHeader asks only whether the target is reached.
	relayCheckHeader = "Egretspar-Relay-Check"
	// relayErrorHeader marks a response that is not the target's. Its value is a relayError.
	relayErrorHeader = "Egretspar-Relay-Error"
)

// relayError says why another instance has no response of the target.
type relayError string

const (
	// relayCut means that the other instance reaches no targets itself, relayBusy that it has no room, relayUnknown that it does
	// not know the target (yet). Another instance may reach it.
	relayCut     relayError = "cut"
	relayBusy    relayError = "busy"
	relayUnknown relayError = "unknown_target"
	// relayUnreachable means that no connection to the target could be opened, relayUnsent that nothing was written to one.
	relayUnreachable relayError = "unreachable"
	relayUnsent      relayError = "unsent"
	// relayLost means that the target may have run the request.
	relayLost relayError = "lost"
)

const (
	// relayAfter is how long a connection to a target may take to open before the request goes through another instance.
	// Connections within a region open within a few milliseconds.
	relayAfter = 100 * time.Millisecond
	// relayDialTimeout limits the opening of a connection to another instance, and of one from there to the target.
	relayDialTimeout = 100 * time.Millisecond
)

// passedOn counts a request that another instance passed on to its target.
const passedOn = "passed_on"

var (
	errNotReached = errors.New("another instance does not reach the target")
	errRelayLost  = errors.New("response lost behind another instance")
)

// sendOptionsKey is the context key of sendOptions.
type sendOptionsKey struct{}

// sendOptions change how a request is sent.
type sendOptions struct {
	// directOnly keeps a request from passing through another instance.
	directOnly  bool
	dialTimeout time.Duration
}

func sendOptionsOf(ctx context.Context) sendOptions {
	options, _ := ctx.Value(sendOptionsKey{}).(sendOptions)
	return options
}

func withSendOptions(ctx context.Context, options sendOptions) context.Context {
	return context.WithValue(ctx, sendOptionsKey{}, options)
}

// DirectOnly returns a context whose requests never pass through another instance.
func DirectOnly(ctx context.Context) context.Context {
	return withSendOptions(ctx, sendOptions{directOnly: true})
}

// opening is a connection that is being opened.
type opening struct {
	done chan struct{}
	conn *conn
	err  error
}

// startOpening opens a connection to a target in the background.
func (c *client) startOpening(ctx context.Context, pool *targetPool) *opening {
	o := &opening{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		o.conn, o.err = c.openConn(context.WithoutCancel(ctx), pool)
	}()
	return o
}

// isOpen reports whether the connection is open already.
func (o *opening) isOpen() bool {
	select {
	case <-o.done:
		return o.err == nil
	default:
		return false
	}
}

// keep puts a connection that is not needed any more into the pool once it is open.
func (o *opening) keep() {
	go func() {
		<-o.done
		if o.err == nil {
			o.conn.finishResponse()
		}
	}()
}

// openOrRelay opens a connection to the target. If that fails or takes longer than relayAfter, the request goes through another
// instance, in which case the connection is nil and the response or the error is the result. Without another instance it waits
// for the connection.
func (c *client) openOrRelay(request *http.Request, pool *targetPool, triedPeers bool) (*conn, *http.Response, *sendError) {
	ctx := request.Context()
	o := c.startOpening(ctx, pool)
	timer := time.NewTimer(relayAfter)
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	if !o.isOpen() && ctx.Err() == nil && !triedPeers {
		if response, err, tried := c.relay(request, pool); tried {
			o.keep()
			return nil, response, err
		}
	}
	select {
	case <-o.done:
		if o.err != nil {
			return nil, nil, &sendError{stage: stageConnect, cause: o.err}
		}
		return o.conn, nil, nil
	case <-ctx.Done():
		o.keep()
		return nil, nil, &sendError{stage: stageConnect, cause: context.Cause(ctx)}
	}
}

// relay sends a request through another instance. The last result is false if no other instance took the request, so that it may
// still be sent directly.
func (c *client) relay(request *http.Request, pool *targetPool) (*http.Response, *sendError, bool) {
	var deniedBy []reach.Peer
	for _, peer := range c.reach.Peers(pool.url, time.Now()) {
		if request.Context().Err() != nil || isBodyUsed(request) {
			break
		}
		relayed, err := relayedRequest(request, pool.url, peer.URL)
		if err != nil {
			continue
		}
		sentAt := time.Now()
		response, failure, sendErr := c.sendToPeer(relayed, peer)
		c.countRelay(failure, sendErr)
		switch {
		case sendErr != nil && sendErr.mayHaveRun():
			if time.Since(sentAt) >= reach.SilentAfter {
				// The instance or the target hangs. A new connection shows whether it is the instance.
				c.closeIdleTo(peer.URL)
			}
			return nil, sendErr, true
		case sendErr != nil && request.Context().Err() != nil:
			// The caller has left.
		case sendErr != nil, failure == relayCut:
			c.reach.PeerUnusable(peer.Name, time.Now())
		case failure == relayBusy:
			c.reach.PeerBusy(peer.Name, time.Now())
		case failure == relayUnknown:
			// A target that was added or removed just now.
		case failure == relayUnreachable:
			deniedBy = append(deniedBy, peer)
		case failure == relayUnsent:
			return nil, &sendError{stage: stageUnsent, cause: errNotReached}, true
		case failure != "":
			return nil, &sendError{stage: stageSent, cause: errRelayLost}, true
		default:
			now := time.Now()
			c.reach.Relayed(pool.url, now)
			for _, other := range deniedBy {
				c.reach.PeerUnusable(other.Name, now)
			}
			return response, nil, true
		}
	}
	if len(deniedBy) > 0 {
		c.reach.Denied(pool.url, time.Now())
		return nil, &sendError{stage: stageConnect, cause: errNotReached}, true
	}
	if isBodyUsed(request) {
		return nil, &sendError{stage: stageUnsent, cause: errNotReached}, true
	}
	return nil, nil, false
}

// isBodyUsed reports whether a part of a streamed body was read, so that it cannot be sent again.
func isBodyUsed(request *http.Request) bool {
	body, ok := request.Body.(*upload)
	return ok && body.isUsed()
}

// closeIdleTo closes the idle connections to a URL.
func (c *client) closeIdleTo(raw string) {
	if pool, err := c.pool(raw); err == nil {
		pool.closeIdle(0, time.Now())
	}
}

// countRelay counts a request that was handed to another instance.
func (c *client) countRelay(failure relayError, err *sendError) {
	result := string(failure)
	switch {
	case err != nil && err.mayHaveRun():
		result = "instance_lost"
	case err != nil:
		result = "instance_unreachable"
	case result == "":
		result = passedOn
	}
	c.observeRelay("out", result)
}

// relayedRequest returns the request to another instance.
func relayedRequest(request *http.Request, targetURL, peerURL string) (*http.Request, error) {
	base, err := url.Parse(peerURL)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	relayed := *request
	relayedURL := *request.URL
	relayedURL.Scheme, relayedURL.Host = base.Scheme, base.Host
	relayed.URL = &relayedURL
	if relayed.Host == "" {
		relayed.Host = request.URL.Host
	}
	relayed.Header = request.Header.Clone()
	relayed.Header.Set(relayTargetHeader, targetURL)
	if request.GetBody != nil {
		relayed.Body, err = request.GetBody()
	}
	return &relayed, errors.WithStack(err)
}

// sendToPeer sends a request to another instance, and returns the target's response or why there is none.
func (c *client) sendToPeer(request *http.Request, peer reach.Peer) (*http.Response, relayError, *sendError) {
	pool, err := c.pool(peer.URL)
	if err != nil {
		return nil, "", &sendError{stage: stageConnect, cause: err}
	}
	connection, isReused := pool.get(), true
	if connection == nil {
		ctx := withSendOptions(request.Context(), sendOptions{dialTimeout: relayDialTimeout})
		if connection, err = c.dial(ctx, pool); err != nil {
			return nil, "", &sendError{stage: stageConnect, cause: err}
		}
		isReused = false
	}
	c.reach.Begin(peer.Name)
	sentAt := time.Now()
	response, sendErr := c.exchange(request, connection, isReused)
	if sendErr != nil {
		c.reach.End(peer.Name)
		sendErr.behindPeer = true
		return nil, "", sendErr
	}
	c.reach.PeerResponded(peer.Name)
	if failure := relayError(response.Header.Get(relayErrorHeader)); failure != "" {
		_ = response.Body.Close()
		c.reach.End(peer.Name)
		return nil, failure, nil
	}
	if body, ok := response.Body.(*responseBody); ok {
		body.onEnd = func() { c.reach.End(peer.Name) }
	} else {
		c.reach.End(peer.Name)
	}
	if c.observeResponse != nil {
		c.observeResponse(request, response, sentAt)
	}
	return response, "", nil
}

// Probe opens a direct connection to a target, which stays open for later requests. The table learns the result.
func (f *Forwarder) Probe(ctx context.Context, targetURL string) {
	pool, err := f.client.pool(targetURL)
	if err != nil {
		return
	}
	if connection, err := f.client.openConn(ctx, pool); err == nil {
		connection.finishResponse()
	}
}

// AskPeers asks other instances whether they reach a target, until one does. The table learns the result.
func (f *Forwarder) AskPeers(ctx context.Context, targetURL string) {
	isDenied := false
	for _, peer := range f.client.reach.Peers(targetURL, time.Now()) {
		check, err := http.NewRequestWithContext(ctx, http.MethodGet, peer.URL+"/", nil)
		if err != nil {
			return
		}
		check.Header.Set("User-Agent", "")
		check.Header.Set(relayCheckHeader, "1")
		check.Header.Set(relayTargetHeader, targetURL)
		response, failure, sendErr := f.client.sendToPeer(check, peer)
		switch {
		case sendErr != nil, failure == relayCut:
			f.client.reach.PeerUnusable(peer.Name, time.Now())
		case failure == "":
			_ = response.Body.Close()
			f.client.reach.Relayed(targetURL, time.Now())
			return
		default:
			isDenied = true
		}
	}
	if isDenied {
		f.client.reach.Denied(targetURL, time.Now())
	}
}
