package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/member"
)

const (
	// PollInterval is the time between two reads of the configuration row by a reader, less a jitter of up to 10%.
	PollInterval = 500 * time.Millisecond
	// ownReadEvidenceAge is the age of evidence above which an instance that is not a reader reads the row itself.
	ownReadEvidenceAge = 2 * time.Second
	// readTimeout limits a read. A later response would be evidence that expires soon.
	readTimeout = 2 * time.Second
	// fetchDelay is how long an instance waits for a push before it fetches the body from a peer.
	fetchDelay   = 300 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// maxQueuedUpdates limits the pushed configurations that wait for installation. One that is dropped is later read
	// from the store or fetched from a peer.
	maxQueuedUpdates = 4
)

// Options configure the synchronisation of one instance.
type Options struct {
	Self  string
	Store Store
	Peers Peers
	// Validate parses and checks a body. A body for which it returns an error never comes into force.
	Validate func(body []byte) (*config.Document, error)
	Log      zerolog.Logger
}

// installedConfig is the configuration in force.
type installedConfig struct {
	revision int
	body     []byte
	document *config.Document
}

// aheadRevision is a peer's revision above the one in force, and when it was first seen.
type aheadRevision struct {
	revision int
	since    time.Time
}

// Sync keeps the configuration of one instance up to date.
type Sync struct {
	opts    Options
	updates chan update

	mu        sync.Mutex // guards the fields below up to installMu; never held during I/O
	core      *core
	installed installedConfig
	isReader  bool // reads the row every PollInterval; other instances get evidence from their peers
	isRelay   bool // pushes new revisions on to its peers
	peerAhead aheadRevision
	outage    outage

	installMu   sync.Mutex // serialises installation and guards subscribers; locked before mu
	subscribers []func(*config.Document, int)
}

// update is a configuration received from a peer.
type update struct {
	revision int
	body     []byte
}

// New returns a Sync that has no configuration yet.
func New(opts Options) *Sync {
	return &Sync{opts: opts, updates: make(chan update, maxQueuedUpdates), core: newCore(opts.Self), isReader: true}
}

// Run polls the store and installs new revisions until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(s.poll)
	p.Go(s.installUpdates)
	p.Go(s.fetchFromPeers)
	return p.Wait()
}

// SetMembers sets the known instances, and from the topology whether this instance is a reader and a relay.
func (s *Sync) SetMembers(m member.Snapshot, t member.Topology) {
	ids := make([]string, 0, len(m.Known))
	for _, i := range m.Known {
		ids = append(ids, i.ID)
	}
	contactTTL := member.ContactTimeout
	if t.Grouped {
		contactTTL = member.RelayedContactTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.setInstances(ids, contactTTL)
	s.isReader = t.PollsConfig
	s.isRelay = t.IsRelay
}

// RecordContact records contact with a peer.
func (s *Sync) RecordContact(k Contact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.recordContact(k)
}

// QueuePushed queues a configuration that a peer sent for installation. It does not block; if the queue is full, the
// configuration is dropped.
func (s *Sync) QueuePushed(revision int, body []byte) {
	if revision <= s.currentRevision() {
		return
	}
	select {
	case s.updates <- update{revision: revision, body: body}:
	default:
	}
}

// Serving reports whether this instance may serve under the revision that it has in force.
func (s *Sync) Serving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.isServing(now)
}

// ServingUntil returns the time at which this instance fails closed if it receives no further evidence or contact. It
// may be in the past. Running streams of keyed callers end StreamGracePeriod later.
func (s *Sync) ServingUntil(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.servingUntil(now)
}

// Evidence returns the revision in force and the age of the newest evidence for it; ok is false if there is none.
func (s *Sync) Evidence(now time.Time) (revision int, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok = s.core.evidenceAge(now)
	return s.core.inForce, age, ok
}

// Current returns the configuration in force and its revision, or nil and 0.
func (s *Sync) Current() (*config.Document, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.installed.document, s.installed.revision
}

// Body returns the text of the configuration in force and its revision.
func (s *Sync) Body() ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.installed.body, s.installed.revision
}

func (s *Sync) currentRevision() int {
	_, revision := s.Current()
	return revision
}

// Subscribe registers f and calls it at once if a revision is in force. After that f is called with each revision, in
// order, before the revision counts as in force. A revision is confirmed to peers only after all subscribers have
// returned.
func (s *Sync) Subscribe(f func(*config.Document, int)) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if document, revision := s.Current(); document != nil {
		f(document, revision)
	}
}

// install puts a revision in force and announces it, unless the revision in force is at least as high.
func (s *Sync) install(revision int, body []byte) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if revision <= s.currentRevision() {
		return nil
	}
	document, err := s.opts.Validate(body)
	if err != nil {
		return errors.WithMessagef(err, "configuration revision %d", revision)
	}
	for _, f := range s.subscribers {
		f(document, revision)
	}
	s.mu.Lock()
	s.core.putInForce(revision)
	s.installed = installedConfig{revision: revision, body: body, document: document}
	s.mu.Unlock()
	s.opts.Log.Info().Int("revision", revision).Msg("configuration in force")
	s.opts.Peers.Announce(revision)
	return nil
}

// poll reads the row about every PollInterval. An instance that is not a reader reads it only if it has no evidence or
// its evidence is older than ownReadEvidenceAge.
func (s *Sync) poll(ctx context.Context) error {
	for {
		if s.shouldRead(time.Now()) {
			if err := s.readOnce(ctx); err != nil && ctx.Err() == nil {
				s.opts.Log.Warn().Err(err).Msg("failed to read configuration")
			}
		}
		if err := sleep(ctx, s.nextPollDelay()); err != nil {
			return err
		}
	}
}

// nextPollDelay returns the time until poll next checks whether to read the row. Jitter keeps instances from reading
// at the same time. An instance that is not a reader checks less often, so that a store that has just recovered from
// an outage does not receive reads from all instances twice a second.
func (s *Sync) nextPollDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReader || s.core.inForce == 0 {
		return PollInterval - rand.N(PollInterval/10)
	}
	return ownReadEvidenceAge - rand.N(ownReadEvidenceAge/2)
}

func (s *Sync) shouldRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.core.evidenceAge(now)
	return s.isReader || !ok || age > ownReadEvidenceAge
}

// readOnce reads the row. If it contains a revision above the one in force, readOnce installs and relays that revision.
func (s *Sync) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := time.Now()
	h, err := s.opts.Store.readHead(ctx)
	s.recordReadResult(time.Now(), err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.core.recordRead(h.Revision, sentAt)
	s.mu.Unlock()
	if h.Revision <= s.currentRevision() {
		return nil
	}
	body, err := s.opts.Store.readBody(ctx, h.Object)
	if err != nil {
		return err
	}
	if err := s.install(h.Revision, body); err != nil {
		return err
	}
	s.relayUpdate(update{revision: h.Revision, body: body})
	return nil
}

func (s *Sync) installUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case u := <-s.updates:
			if err := s.install(u.revision, u.body); err != nil {
				s.opts.Log.Error().Err(err).Msg("failed to install pushed configuration")
				continue
			}
			s.relayUpdate(u)
		}
	}
}

// relayUpdate pushes a configuration to peers if this instance is a relay. In a full mesh the writer reaches every
// instance itself, and pushes from all of them would multiply the traffic.
func (s *Sync) relayUpdate(u update) {
	s.mu.Lock()
	isRelay := s.isRelay
	s.mu.Unlock()
	if isRelay {
		s.opts.Peers.Push(u.revision, u.body)
	}
}

// fetchFromPeers fetches a revision from a peer if its push was lost, and the first configuration if the store cannot
// be read.
func (s *Sync) fetchFromPeers(ctx context.Context) error {
	for {
		if err := sleep(ctx, fetchDelay); err != nil {
			return err
		}
		peer, ok := s.peerToFetchFrom(time.Now())
		if !ok {
			continue
		}
		if err := s.fetchFromPeer(ctx, peer); err != nil && ctx.Err() == nil {
			s.opts.Log.Warn().Err(err).Str("peer", peer).Msg("failed to fetch configuration from peer")
		}
	}
}

// peerToFetchFrom returns the peer from which to fetch a configuration now, if any.
func (s *Sync) peerToFetchFrom(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.inForce == 0 {
		k, ok := s.core.bootstrapPeer(now)
		return k.Instance, ok
	}
	k, ok := s.core.peerAhead(now)
	if !ok {
		return "", false
	}
	if k.Revision != s.peerAhead.revision {
		s.peerAhead = aheadRevision{revision: k.Revision, since: now}
	}
	return k.Instance, now.Sub(s.peerAhead.since) >= fetchDelay
}

func (s *Sync) fetchFromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	revision, body, err := s.opts.Peers.Fetch(ctx, peer)
	if err != nil {
		return err
	}
	return s.install(revision, body)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}
