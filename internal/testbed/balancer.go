package testbed

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// Balancer emulates the platform's load balancer. It probes the instances and selects ready ones round-robin.
type Balancer struct {
	mu        sync.Mutex
	urls      []string
	ready     map[string]bool
	nextIndex int
	client    *http.Client
}

// NewBalancer returns a balancer for the given instances. No instance counts as ready until Run has probed it.
func NewBalancer(nodes []*Instance) *Balancer {
	b := &Balancer{ready: map[string]bool{}, client: &http.Client{Timeout: probeTimeout}}
	for _, n := range nodes {
		b.urls = append(b.urls, n.URL)
	}
	return b
}

// Run probes the readiness of the instances until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		urls := slices.Clone(b.urls)
		b.mu.Unlock()
		for _, url := range urls {
			ready := b.probe(ctx, url)
			b.mu.Lock()
			b.ready[url] = ready
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) probe(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Replace replaces the URL of a stopped instance by that of its successor.
func (b *Balancer) Replace(oldURL, newURL string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ready, oldURL)
	b.urls[slices.Index(b.urls, oldURL)] = newURL
}

// Pick returns the URL of the next ready instance. If no instance is ready, it returns that of the current one.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.urls {
		b.nextIndex = (b.nextIndex + 1) % len(b.urls)
		if b.ready[b.urls[b.nextIndex]] {
			return b.urls[b.nextIndex]
		}
	}
	return b.urls[b.nextIndex]
}

// ReadyCount returns the number of instances that were ready at their last probe.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, ready := range b.ready {
		if ready {
			n++
		}
	}
	return n
}

// RoundTripper returns a transport that sends each request to the next ready instance through base, as a load
// balancer without session affinity does.
func (b *Balancer) RoundTripper(base http.RoundTripper) http.RoundTripper {
	return rotatingTransport{b, base}
}

type rotatingTransport struct {
	balancer *Balancer
	base     http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t rotatingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	clone := r.Clone(r.Context())
	host := strings.TrimPrefix(t.balancer.Pick(), "http://")
	clone.URL.Host, clone.Host = host, host
	return t.base.RoundTrip(clone)
}
