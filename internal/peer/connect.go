package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/member"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// Path is the path of the link endpoint on an instance's peer address.
	Path             = "/peer"
	handshakeTimeout = 2 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 5 * time.Second
	// largerIDDialDelay is how long the instance with the larger ID waits for the other one to dial. After that it
	// dials itself, because the other instance may not have discovered it yet.
	largerIDDialDelay = 2 * time.Second
	// onDemandLinkDuration is how long a link outside the topology is kept after the last call that requested it.
	onDemandLinkDuration = time.Minute
)

var errNotAuthenticated = errors.New("peer authentication failed: secret not accepted")

// Handler accepts incoming links.
func (l *Links) Handler() http.Handler { return http.HandlerFunc(l.accept) }

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	isRunning := l.ctx != nil
	l.mu.Unlock()
	if !isRunning {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ended := make(chan struct{})
	started := l.goWithContext(func(ctx context.Context) {
		defer close(ended)
		l.serveIncoming(ctx, conn, r.RemoteAddr)
	})
	if !started {
		closeQuietly(conn)
		return
	}
	<-ended
}

func (l *Links) serveIncoming(ctx context.Context, conn *websocket.Conn, address string) {
	defer closeQuietly(conn)
	k, err := l.acceptHandshake(ctx, conn)
	if err != nil {
		l.opts.Log.Warn().Err(err).Str("address", address).Msg("peer link refused")
		return
	}
	l.serveLink(ctx, k)
}

// acceptHandshake checks the dialling peer's hello before it sends its own, which contains the secret, so that only
// an authenticated peer receives the secret.
func (l *Links) acceptHandshake(ctx context.Context, conn *websocket.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	peer, sent, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	k := newLink(l, conn, peer, false)
	k.lastPeerSent.Store(sent)
	return k, l.writeHello(ctx, conn, sent)
}

func (l *Links) dialHandshake(ctx context.Context, conn *websocket.Conn, wantID string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := l.writeHello(ctx, conn, 0); err != nil {
		return nil, err
	}
	peer, sent, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if peer.ID != wantID {
		return nil, errors.Errorf("instance %q responded at the address of instance %q", peer.ID, wantID)
	}
	k := newLink(l, conn, peer, true)
	k.lastPeerSent.Store(sent)
	return k, nil
}

func (l *Links) writeHello(ctx context.Context, conn *websocket.Conn, echo int64) error {
	self := l.opts.Self
	hello := Hello{
		Instance: self.ID,
		Zone:     self.Zone,
		Region:   self.Region,
		Start:    int(self.Start),
		Address:  &self.Address,
		Version:  &l.opts.Version,
		Secret:   l.opts.Secrets[0],
	}
	data, err := encode(envelope{Frame: Frame{Hello: &hello}, Sent: l.clock(), Echo: echo})
	if err != nil {
		return err
	}
	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "write hello")
}

func (l *Links) readHello(ctx context.Context, conn *websocket.Conn) (member.Instance, int64, error) {
	conn.SetReadLimit(maxHelloBytes)
	_, data, err := conn.Read(ctx)
	if err != nil {
		return member.Instance{}, 0, errors.Wrap(err, "read hello")
	}
	conn.SetReadLimit(maxFrameBytes)
	e, err := decode(data)
	if err != nil {
		return member.Instance{}, 0, err
	}
	if e.Hello == nil {
		return member.Instance{}, 0, errors.New("first frame is not a hello")
	}
	if !l.isAcceptedSecret(e.Hello.Secret) {
		return member.Instance{}, 0, errNotAuthenticated
	}
	if e.Hello.Region != l.opts.Self.Region {
		return member.Instance{}, 0, errors.Errorf("peer belongs to another region: %q", e.Hello.Region)
	}
	if e.Hello.Instance == l.opts.Self.ID {
		return member.Instance{}, 0, errors.New("peer has the same ID as this instance")
	}
	peer := member.Instance{ID: e.Hello.Instance, Zone: e.Hello.Zone, Region: e.Hello.Region, Start: int64(e.Hello.Start)}
	if e.Hello.Address != nil {
		peer.Address = *e.Hello.Address
	}
	return peer, e.Sent, nil
}

// maxHelloBytes limits how much this instance reads from an unauthenticated peer.
const maxHelloBytes = 4 << 10

// isAcceptedSecret reports whether the secret is one of Options.Secrets. It compares hashes, and always with every
// accepted secret, so that the time taken reveals neither the content nor the length of a secret.
func (l *Links) isAcceptedSecret(secret string) bool {
	got := sha256.Sum256([]byte(secret))
	match := 0
	for _, accepted := range l.opts.Secrets {
		want := sha256.Sum256([]byte(accepted))
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return match == 1
}

// serveLink registers the link and runs it until it is disconnected. It returns at once if the link is not accepted.
func (l *Links) serveLink(ctx context.Context, k *link) {
	if !l.register(k) {
		return
	}
	l.opts.Log.Info().Str("peer", k.peer.ID).Bool("dialled", k.dialled).Msg("peer link up")
	k.send(l.composeStateFrame(k))
	k.run(ctx)
	l.unregister(k)
	l.opts.Log.Info().Str("peer", k.peer.ID).Str("cause", *k.disconnectReason.Load()).Msg("peer link down")
}

// updateLinks dials wanted peers that have no link, and disconnects links that this instance dialled and no longer
// wants. Only the instance that dialled a link ends it, because it may need the link when the other end does not.
func (l *Links) updateLinks() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return
	}
	wanted := make(map[string]bool, len(l.topology.Links))
	for _, id := range l.topology.Links {
		wanted[id] = true
	}
	for id, until := range l.onDemandUntil {
		if now.After(until) {
			delete(l.onDemandUntil, id)
			continue
		}
		wanted[id] = true
	}
	for id := range wanted {
		l.startDialling(id)
	}
	for id, k := range l.links {
		if k.dialled && !wanted[id] && l.members[id].ID != "" {
			k.disconnect("no longer needed")
		}
	}
}

// startDialling dials a peer on a new goroutine unless it is linked, already being dialled or has no known address.
// The caller holds the mutex.
func (l *Links) startDialling(id string) {
	if l.links[id] != nil || l.dialling[id] || l.members[id].Address == "" {
		return
	}
	l.dialling[id] = true
	ctx := l.ctx
	l.wg.Go(func() {
		l.dial(ctx, id)
		l.mu.Lock()
		delete(l.dialling, id)
		l.mu.Unlock()
	})
}

// dial connects to a peer, with retries, and serves the link. It returns when the link has ended, when the peer is
// linked through another connection or when it is no longer wanted.
func (l *Links) dial(ctx context.Context, id string) {
	backoff := minBackoff
	if id < l.opts.Self.ID && !l.isOnDemand(id) {
		backoff = largerIDDialDelay
		if !wait.Sleep(ctx, jitter(backoff)) {
			return
		}
	}
	for {
		address, wanted := l.dialAddress(id)
		if !wanted || ctx.Err() != nil {
			return
		}
		err := l.dialOnce(ctx, id, address)
		if err == nil {
			return
		}
		l.opts.Log.Debug().Err(err).Str("peer", id).Msg("failed to connect to peer")
		if !wait.Sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Links) dialOnce(ctx context.Context, id, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	url := l.opts.Scheme + "://" + address + Path
	conn, response, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{
		HTTPClient:      l.opts.Client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		defer response.Body.Close()
	}
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	defer closeQuietly(conn)
	k, err := l.dialHandshake(ctx, conn, id)
	if err != nil {
		return err
	}
	l.serveLink(ctx, k)
	return nil
}

// dialAddress returns the address of a peer and whether to dial it: it is wanted, has an address and is not linked.
func (l *Links) dialAddress(id string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[id] != nil {
		return "", false
	}
	_, wanted := l.onDemandUntil[id]
	for _, wantedID := range l.topology.Links {
		if wantedID == id {
			wanted = true
		}
	}
	return l.members[id].Address, wanted && l.members[id].Address != ""
}

func (l *Links) isOnDemand(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.onDemandUntil[id]
	return ok
}

// jitter returns a random time between half of d and d, so that instances do not all dial a restarted peer at the
// same moment.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
