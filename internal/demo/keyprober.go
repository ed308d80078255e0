package demo

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/testbed"
)

const (
	keyProbeInterval = 20 * time.Millisecond
	probeStreamSeed  = 1
)

// keyProber uses a key continuously, with new requests and with a running stream on every instance. It records when
// the key was last accepted, by a response to a request or by text on a stream.
type keyProber struct {
	key          string
	httpClient   *http.Client
	lastUseNanos atomic.Int64
	uses         atomic.Int64
}

func newKeyProber(key string) *keyProber {
	return &keyProber{key: key, httpClient: &http.Client{Transport: &http.Transport{}}}
}

func (p *keyProber) run(ctx context.Context, instances []*testbed.Instance) {
	var wg conc.WaitGroup
	for _, n := range instances {
		wg.Go(func() { p.sendRequests(ctx, n) })
		wg.Go(func() { p.readLongStream(ctx, n) })
	}
	wg.Wait()
}

func (p *keyProber) recordUse() {
	p.lastUseNanos.Store(time.Now().UnixNano())
	p.uses.Add(1)
}

// lastUse returns the time at which the key was last accepted.
func (p *keyProber) lastUse() time.Time { return time.Unix(0, p.lastUseNanos.Load()) }

func (p *keyProber) sendRequests(ctx context.Context, n *testbed.Instance) {
	ticker := time.NewTicker(keyProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL+"/svc/"+serviceBooking+"/status", nil)
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+p.key)
		response, err := p.httpClient.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.recordUse()
		}
	}
}

// readLongStream reads one stream to its end. Each piece of text counts as a use of the key.
func (p *keyProber) readLongStream(ctx context.Context, n *testbed.Instance) {
	request, err := newCompletionRequest(ctx, n.URL, serviceDigest, probeStreamSeed, digestMedianTokens)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+p.key)
	response, err := p.httpClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	readStream(response.Body, func(string) { p.recordUse() })
}
