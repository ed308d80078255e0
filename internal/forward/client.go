package forward

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/reach"
	"github.com/egretspar/egretspar/internal/sockopt"
	"github.com/egretspar/egretspar/internal/strictclient"
)

// defaultRequestIDHeader carries the request ID to the target. If the target repeats it in the response, a
// response to another request can be detected.
const defaultRequestIDHeader = "Egretspar-Request"

// sendStage is the stage at which sending a request failed.
type sendStage int

const (
	// stageConnect means that no connection could be opened.
	stageConnect sendStage = iota + 1
	// stageUnsent means that a connection was open, but no part of the request was written.
	stageUnsent
	// stageSent means that at least a part of the request was written.
	stageSent
)

// sendError is the error of a request that got no valid response.
type sendError struct {
	stage sendStage
	cause error
	// reusedConn reports whether the connection had served another request, so the target may have been closing it.
	reusedConn bool
	// answered reports that the target sent something, but not a response to the request.
	answered bool
	// behindPeer reports that the link to another instance failed, which says nothing about the target.
	behindPeer bool
}

func (e *sendError) Error() string { return e.cause.Error() }

func (e *sendError) Unwrap() error { return e.cause }

// mayHaveRun reports whether the target may have run the request.
func (e *sendError) mayHaveRun() bool { return e.stage == stageSent }

// client sends each request at most once over its own pools of connections. http.Transport retries some
// requests on reused connections; its ClientConn never does.
type client struct {
	transport *http.Transport
	limits    Limits
	// requestIDHeader names the header that carries the request ID.
	requestIDHeader string
	observeResponse func(request *http.Request, response *http.Response, sentAt time.Time)
	// reach learns which targets are reached; it may be nil.
	reach *reach.Table
	// observeRelay counts requests that pass through another instance.
	observeRelay func(direction, result string)
	// pools maps the URL of each target to its *targetPool.
	pools sync.Map
}

// connContextKey is the context key of the *conn that wraps a new network connection.
type connContextKey struct{}

func newClient(options Options) *client {
	dial := options.DialContext
	if dial == nil {
		dial = targetDialer(options.Limits.DialTimeout).DialContext
	}
	dial = strictclient.Dial(dial)
	tlsConfig := options.TLS
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	c := &client{limits: options.Limits, requestIDHeader: options.Dialect.RequestIDHeader, observeResponse: options.Dialect.ObserveResponse, reach: options.Reach, observeRelay: options.ObserveRelay}
	if c.observeRelay == nil {
		c.observeRelay = func(string, string) {}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			return attachConn(ctx, raw, err)
		},
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tlsHandshake(ctx, raw, address, tlsConfig)
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: options.Limits.MaxHeaderBytes,
		// If a target ignores the Expect header, the body is sent after this time.
		ExpectContinueTimeout: time.Second,
	}
	return c
}

const (
	// An idle connection is probed each keepAliveInterval and closed after keepAliveProbes without a response: the network may
	// drop its packets without a reset.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout closes a connection whose sent bytes are not acknowledged. The kernel also applies it to probes, so it must
	// not be shorter than all of them but the last.
	unackedTimeout = 2500 * time.Millisecond
)

// targetDialer returns a dialer whose connections end soon after the network has dropped them.
func targetDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         sockopt.Abortive(unackedTimeout),
	}
}

func attachConn(ctx context.Context, raw net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	c, ok := ctx.Value(connContextKey{}).(*conn)
	if !ok {
		return nil, errors.New("connection opened outside the pool")
	}
	c.attach(raw)
	return c, nil
}

func tlsHandshake(ctx context.Context, raw net.Conn, address string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config = config.Clone()
	config.ServerName = host
	tlsConn := tls.Client(raw, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return attachConn(ctx, tlsConn, nil)
}

// pool returns the connection pool of the target with the given URL.
func (c *client) pool(raw string) (*targetPool, error) {
	if existing, ok := c.pools.Load(raw); ok {
		return existing.(*targetPool), nil
	}
	base, err := url.Parse(raw)
	if err != nil {
		return nil, errors.Wrap(err, "parse target URL")
	}
	if base.Host == "" {
		return nil, errors.Errorf("target URL %q has no host", raw)
	}
	created := &targetPool{url: raw, baseURL: base, maxIdleConns: c.limits.MaxIdlePerTarget, maxIdle: c.limits.IdleTimeout}
	existing, _ := c.pools.LoadOrStore(raw, created)
	return existing.(*targetPool), nil
}

// withPath appends an escaped path to the URL of a target. URL.JoinPath is not used because it drops the slash
// after a host without a path and cleans the caller's path.
func withPath(base *url.URL, escaped string) *url.URL {
	u := *base
	u.RawPath = strings.TrimSuffix(base.EscapedPath(), "/") + escaped
	u.Path, _ = url.PathUnescape(u.RawPath)
	return &u
}

// openConn opens a connection to a target. The table of links learns the result.
func (c *client) openConn(ctx context.Context, pool *targetPool) (*conn, error) {
	begin := time.Now()
	opened, err := c.dial(ctx, pool)
	switch {
	case err == nil:
		c.reach.Opened(pool.url, time.Now())
	case !errors.Is(ctx.Err(), context.Canceled):
		c.reach.OpenFailed(pool.url, begin, time.Now())
	}
	return opened, err
}

// dial opens a connection to the URL of a pool.
func (c *client) dial(ctx context.Context, pool *targetPool) (*conn, error) {
	u := pool.baseURL
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(sendOptionsOf(ctx).dialTimeout, c.limits.DialTimeout))
	defer cancel()
	opened := &conn{pool: pool}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Hostname(), map[bool]string{true: "443", false: "80"}[u.Scheme == "https"])
	}
	cc, err := c.transport.NewClientConn(context.WithValue(ctx, connContextKey{}, opened), u.Scheme, address)
	if err != nil {
		return nil, err
	}
	opened.clientConn = cc
	return opened, nil
}

// send writes the request once, to the target or to another instance that passes it on, and returns the response. Closing the
// response body before its end closes the connection.
func (c *client) send(request *http.Request, pool *targetPool) (*http.Response, *sendError) {
	ctx := request.Context()
	if err := ctx.Err(); err != nil {
		return nil, &sendError{stage: stageConnect, cause: context.Cause(ctx)}
	}
	way := reach.Direct
	if !sendOptionsOf(ctx).directOnly {
		way = c.reach.Way(pool.url, time.Now())
	}
	if way.UseIdle {
		if connection := pool.get(); connection != nil {
			return c.sendDirect(request, connection, true)
		}
	}
	if way.ViaPeer {
		if response, err, tried := c.relay(request, pool); tried {
			return response, err
		}
	}
	if !way.NoPeers {
		connection, response, err := c.openOrRelay(request, pool, way.ViaPeer)
		if connection == nil {
			return response, err
		}
		return c.sendDirect(request, connection, false)
	}
	connection, err := c.openConn(ctx, pool)
	if err != nil {
		return nil, &sendError{stage: stageConnect, cause: err}
	}
	return c.sendDirect(request, connection, false)
}

// sendDirect sends a request over a connection to its target.
func (c *client) sendDirect(request *http.Request, connection *conn, isReused bool) (*http.Response, *sendError) {
	sentAt := time.Now()
	response, err := c.exchange(request, connection, isReused)
	target := connection.pool.url
	if response == nil {
		if err.stage == stageSent && !err.answered && (request.Context().Err() == nil || time.Since(sentAt) >= reach.SilentAfter) {
			c.reach.Silent(target, sentAt, time.Now())
		}
		return nil, err
	}
	c.reach.Answered(target, time.Now())
	if c.observeResponse != nil {
		c.observeResponse(request, response, sentAt)
	}
	return response, nil
}

// exchange sends a request over a connection and returns the response. It is an error if the response belongs to another request
// or has an unexpected status.
func (c *client) exchange(request *http.Request, connection *conn, isReused bool) (*http.Response, *sendError) {
	if u, ok := request.Body.(*upload); ok {
		sent, err := u.begin(request.Context())
		if err != nil {
			connection.closeClientConn()
			return nil, &sendError{stage: stageUnsent, cause: err, reusedConn: isReused}
		}
		connection.setTransmission(sent)
		request = request.WithContext(request.Context())
		request.Body = sent
	}
	response, err := connection.clientConn.RoundTrip(request)
	if err != nil {
		stage := stageSent
		if connection.abandonUnsent() {
			stage = stageUnsent
		}
		connection.closeClientConn()
		if isReused && request.Context().Err() == nil {
			// The target has probably closed its other idle connections too.
			connection.pool.closeIdle(0, time.Now())
		}
		return nil, &sendError{stage: stage, cause: err, reusedConn: isReused}
	}
	if echoed := response.Header.Get(c.requestIDHeader); echoed != "" && echoed != request.Header.Get(c.requestIDHeader) {
		connection.closeClientConn()
		return nil, &sendError{stage: stageSent, cause: errors.New("response belongs to another request"), answered: true}
	}
	connection.readKeepAlive(response.Header)
	if response.StatusCode < http.StatusOK {
		// The request did not ask for a protocol switch (101), and statuses below 100 are invalid.
		connection.closeClientConn()
		return nil, &sendError{stage: stageSent, cause: errors.Errorf("target responded with unexpected status %d", response.StatusCode), answered: true}
	}
	if response.ContentLength == 0 || request.Method == http.MethodHead {
		response.Body = http.NoBody
		connection.finishResponse()
		return response, nil
	}
	response.Body = &responseBody{body: response.Body, conn: connection}
	return response, nil
}

// closeIdle closes connections that have been idle for age or longer, and removes the pools of targets that
// were not used for unusedPoolTTL.
func (c *client) closeIdle(age time.Duration) {
	now := time.Now()
	c.pools.Range(func(raw, value any) bool {
		p := value.(*targetPool)
		p.closeIdle(age, now)
		if p.retireIfUnused(now) {
			c.pools.Delete(raw)
		}
		return true
	})
}

// responseBody returns the connection to its pool at the end of the response, or closes it on an error or an
// early Close.
type responseBody struct {
	body     io.ReadCloser
	conn     *conn
	finished bool
	// onEnd is called at the end, if set.
	onEnd func()
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil || b.finished {
		return n, err
	}
	b.finish(func() {
		if errors.Is(err, io.EOF) {
			b.conn.finishResponse()
		} else {
			b.conn.closeClientConn()
		}
	})
	return n, err
}

func (b *responseBody) Close() error {
	if !b.finished {
		b.finish(b.conn.closeClientConn)
	}
	return nil
}

func (b *responseBody) finish(release func()) {
	b.finished = true
	release()
	if b.onEnd != nil {
		b.onEnd()
	}
}
