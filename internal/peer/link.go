package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/member"
)

// link is one authenticated connection to a peer.
type link struct {
	links            *Links
	conn             *websocket.Conn
	peer             member.Instance
	dialled          bool
	sendQueue        chan []byte
	done             chan struct{}
	disconnectOnce   sync.Once
	disconnectReason atomic.Pointer[string]

	lastPeerSent   atomic.Int64 // highest envelope.Sent received
	lastReceivedAt atomic.Int64 // clock of links when the last frame arrived
	peerRevision   atomic.Int64 // highest configuration revision that the peer reported or was sent

	sentStates    map[string]sentState // by instance ID; guarded by the mutex of links
	runsByShortID map[int]instanceRun  // used only by the goroutine that reads frames

	mu      sync.Mutex
	pending map[int]chan Reply
	nextID  int
}

func newLink(links *Links, conn *websocket.Conn, peer member.Instance, dialled bool) *link {
	k := &link{
		links:     links,
		conn:      conn,
		peer:      peer,
		dialled:   dialled,
		sendQueue: make(chan []byte, sendQueueLength),
		done:      make(chan struct{}),
		pending:   make(map[int]chan Reply),

		sentStates:    make(map[string]sentState),
		runsByShortID: make(map[int]instanceRun),
	}
	k.lastReceivedAt.Store(links.clock())
	return k
}

// isDialledBySmallerID reports whether the instance with the smaller ID dialled the link.
func (k *link) isDialledBySmallerID() bool {
	return k.dialled == (k.links.opts.Self.ID < k.peer.ID)
}

// run sends and receives frames until the link is disconnected or ctx ends.
func (k *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { k.write(ctx) })
	wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-k.done:
		}
		closeQuietly(k.conn)
	})
	k.disconnect(k.read(ctx, &wg).Error())
	cancel()
	wg.Wait()
}

// disconnect ends the link. Only the first reason is kept; it is logged.
func (k *link) disconnect(reason string) {
	k.disconnectOnce.Do(func() {
		k.disconnectReason.Store(&reason)
		close(k.done)
	})
}

// send queues a frame and reports whether it was queued. If the queue is full, the peer is disconnected, because
// waiting for it would delay the other peers.
func (k *link) send(frame []byte) bool {
	select {
	case <-k.done:
		return false
	default:
	}
	select {
	case k.sendQueue <- frame:
		return true
	default:
		k.disconnect("send queue full")
		return false
	}
}

func (k *link) write(ctx context.Context) {
	for {
		select {
		case <-k.done:
			return
		case <-ctx.Done():
			return
		case frame := <-k.sendQueue:
			if err := k.writeFrame(ctx, frame); err != nil {
				k.disconnect(err.Error())
				return
			}
		}
	}
}

func (k *link) writeFrame(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrap(k.conn.Write(ctx, websocket.MessageBinary, frame), "write peer frame")
}

// read receives frames until the link ends. It returns the reason, which is never nil.
func (k *link) read(ctx context.Context, wg *conc.WaitGroup) error {
	for {
		_, data, err := k.conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read peer frame")
		}
		e, err := decode(data)
		if err != nil {
			return err
		}
		if e.Bye != nil {
			return errors.New("peer closed the link: " + e.Bye.Reason)
		}
		if err := k.receive(ctx, e, wg); err != nil {
			return err
		}
	}
}

func (k *link) receive(ctx context.Context, e envelope, wg *conc.WaitGroup) error {
	now := k.links.clock()
	k.lastReceivedAt.Store(now)
	if e.Echo > now {
		return errors.Errorf("peer echoed the time %d ms, which is in the future", e.Echo)
	}
	if e.Sent > k.lastPeerSent.Load() {
		k.lastPeerSent.Store(e.Sent)
	}
	k.links.receiveStates(k, e)
	if e.Config != nil {
		k.advanceRevision(int64(e.Config.Revision))
		k.links.onConfig(k.peer.ID, *e.Config)
	}
	if e.Call != nil {
		k.serveCall(ctx, *e.Call, wg)
	}
	if e.Reply != nil {
		k.deliverReply(*e.Reply)
	}
	return nil
}

// advanceRevision records that the peer has the revision, or was sent it. It returns false if a revision at least as
// high was recorded before.
func (k *link) advanceRevision(revision int64) bool {
	for {
		old := k.peerRevision.Load()
		if revision <= old {
			return false
		}
		if k.peerRevision.CompareAndSwap(old, revision) {
			return true
		}
	}
}

// disconnectWithBye sends a bye frame and disconnects.
func (k *link) disconnectWithBye() {
	frame, err := encode(envelope{Frame: Frame{Bye: &Bye{Reason: "stopping"}}})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout/4)
		defer cancel()
		_ = k.conn.Write(ctx, websocket.MessageBinary, frame)
	}
	k.disconnect("this instance is stopping")
}

// clock returns the time since the links were created in whole milliseconds, rounded down. It starts at 1, because
// an Echo of 0 means that no frame has been received.
func (l *Links) clock() int64 { return time.Since(l.start).Milliseconds() + 1 }

// clockToTime returns the earliest time at which clock returned ms.
func (l *Links) clockToTime(ms int64) time.Time {
	return l.start.Add(time.Duration(ms-1) * time.Millisecond)
}
