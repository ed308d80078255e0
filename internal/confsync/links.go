package confsync

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/peer"
)

// bodyReply is the reply to a peer's request for the configuration in force.
type bodyReply struct {
	Revision int    `json:"revision"`
	Body     string `json:"body"`
}

// LinkPeers implements Peers over peer links.
type LinkPeers struct {
	Links *peer.Links
	// State returns the state to send, with the revision in force.
	State func() peer.State
}

// Push implements Peers.
func (p LinkPeers) Push(revision int, body []byte) {
	p.Links.PushConfig(peer.Config{Revision: revision, Body: string(body)})
}

// Announce implements Peers.
func (p LinkPeers) Announce(int) { p.Links.Broadcast(p.State()) }

// Fetch implements Peers.
func (p LinkPeers) Fetch(ctx context.Context, instance string) (int, []byte, error) {
	reply, err := p.Links.Call(ctx, instance, peer.Call{Method: peer.MethodConfig})
	if err != nil {
		return 0, nil, err
	}
	if reply.Status != http.StatusOK {
		return 0, nil, errors.Errorf("peer returned status %d", reply.Status)
	}
	var r bodyReply
	if err := json.Unmarshal([]byte(reply.Body), &r); err != nil {
		return 0, nil, errors.Wrap(err, "decode configuration from peer")
	}
	return r.Revision, []byte(r.Body), nil
}

// ServeConfig returns the reply to a peer's request for the configuration in force.
func (s *Sync) ServeConfig() peer.Reply {
	text, revision := s.Body()
	if revision == 0 {
		return peer.Reply{Status: http.StatusNotFound}
	}
	data, err := json.Marshal(bodyReply{Revision: revision, Body: string(text)})
	if err != nil {
		return peer.Reply{Status: http.StatusInternalServerError}
	}
	return peer.Reply{Status: http.StatusOK, Body: string(data)}
}

// RecordLinkContact records contact with a peer that was received over a link.
func (s *Sync) RecordLinkContact(k peer.Contact) {
	s.RecordContact(Contact{
		Instance:   k.Instance.ID,
		Start:      k.Instance.Start,
		Revision:   k.State.Revision,
		At:         k.ComposedAfter,
		EvidenceAt: k.EvidenceAt,
	})
}
