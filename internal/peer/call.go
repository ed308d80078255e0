package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/wait"
)

// linkPollInterval is how often a call checks whether the link that it requested is up.
const linkPollInterval = 20 * time.Millisecond

// Call sends a call to an instance and waits for the reply or the end of ctx. It opens a link if there is none.
// ErrNoLink means that the call was not sent; after any other error the peer may have run it.
func (l *Links) Call(ctx context.Context, instance string, call Call) (Reply, error) {
	k, err := l.waitForLink(ctx, instance)
	if err != nil {
		return Reply{}, err
	}
	return k.call(ctx, call)
}

// waitForLink waits until the instance is linked. It fails if the instance is not a member or ctx ends first.
func (l *Links) waitForLink(ctx context.Context, instance string) (*link, error) {
	for {
		k, isMember := l.findOrRequestLink(instance)
		if k != nil {
			return k, nil
		}
		if !isMember || !wait.Sleep(ctx, linkPollInterval) {
			return nil, errors.Wrap(ErrNoLink, instance)
		}
	}
}

// findOrRequestLink returns the link to an instance. If there is none and the instance is a member, it makes the
// maintenance goroutine open one and returns nil.
func (l *Links) findOrRequestLink(instance string) (k *link, isMember bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isMember = l.members[instance]
	if isMember && l.topology.Grouped {
		l.onDemandUntil[instance] = time.Now().Add(onDemandLinkDuration)
	}
	k = l.links[instance]
	if k == nil {
		l.wakeMaintenance()
	}
	return k, isMember
}

func (k *link) call(ctx context.Context, call Call) (Reply, error) {
	result := make(chan Reply, 1)
	k.mu.Lock()
	k.nextID++
	call.ID = k.nextID
	k.pending[call.ID] = result
	k.mu.Unlock()
	defer k.removePending(call.ID)
	frame, err := encode(envelope{Frame: Frame{Call: &call}})
	if err != nil {
		return Reply{}, err
	}
	if !k.send(frame) {
		return Reply{}, errors.Wrap(ErrNoLink, k.peer.ID)
	}
	select {
	case reply := <-result:
		return reply, nil
	case <-k.done:
		return Reply{}, errors.Wrap(ErrLinkLost, k.peer.ID)
	case <-ctx.Done():
		return Reply{}, errors.WithStack(ctx.Err())
	}
}

func (k *link) removePending(id int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}

// deliverReply passes a reply to the waiting call. The reply is dropped if the call no longer waits.
func (k *link) deliverReply(reply Reply) {
	k.mu.Lock()
	result := k.pending[reply.ID]
	delete(k.pending, reply.ID)
	k.mu.Unlock()
	if result != nil {
		result <- reply
	}
}

// serveCall runs a peer's call on its own goroutine, or refuses it with status 503 if maxConcurrentCalls are
// running.
func (k *link) serveCall(ctx context.Context, call Call, wg *conc.WaitGroup) {
	select {
	case k.links.callSlots <- struct{}{}:
	default:
		k.reply(Reply{ID: call.ID, Status: http.StatusServiceUnavailable})
		return
	}
	wg.Go(func() {
		defer func() { <-k.links.callSlots }()
		reply := k.links.handleCall(ctx, call)
		reply.ID = call.ID
		k.reply(reply)
	})
}

func (k *link) reply(reply Reply) {
	frame, err := encode(envelope{Frame: Frame{Reply: &reply}})
	if err != nil {
		frame, _ = encode(envelope{Frame: Frame{Reply: &Reply{ID: reply.ID, Status: http.StatusInternalServerError}}})
	}
	k.send(frame)
}

// PushConfig sends a configuration to each linked peer that has not reported its revision and was not sent it
// before. It returns the number of peers to which the configuration was sent.
func (l *Links) PushConfig(config Config) int {
	frame, err := encode(envelope{Frame: Frame{Config: &config}})
	if err != nil {
		l.opts.Log.Error().Err(err).Int("revision", config.Revision).Msg("failed to encode configuration for peers")
		return 0
	}
	l.mu.Lock()
	open := l.openLinks()
	l.mu.Unlock()
	sent := 0
	for _, k := range open {
		if k.advanceRevision(int64(config.Revision)) && k.send(frame) {
			sent++
		}
	}
	return sent
}
