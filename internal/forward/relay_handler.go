package forward

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// maxRelayed limits the requests of other instances that this one passes on at once.
	maxRelayed = 256
	// recentContact is the age of a contact with a target that answers another instance's question without a new connection.
	recentContact = time.Second
)

// RelayHandler returns a handler that passes requests of other instances on to targets. It refuses requests for URLs that are not
// those of targets.
func (f *Forwarder) RelayHandler(isTarget func(url string) bool) http.Handler {
	slots := make(chan struct{}, maxRelayed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		targetURL := r.Header.Get(relayTargetHeader)
		failure := relayError("")
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			failure = relayBusy
		}
		switch {
		case failure != "":
		case !isTarget(targetURL):
			failure = relayUnknown
		case f.client.reach.IsCut(targetURL):
			failure = relayCut
		case r.Header.Get(relayCheckHeader) != "":
			failure = f.check(r.Context(), targetURL)
			if failure == "" {
				w.WriteHeader(http.StatusNoContent)
				return
			}
		}
		if failure != "" {
			f.client.refuseRelay(w, failure)
			return
		}
		f.passOn(w, r, targetURL)
	})
}

// check reports whether this instance reaches a target. A failure is not recorded: this instance has no request for the target.
func (f *Forwarder) check(ctx context.Context, targetURL string) relayError {
	c := f.client
	if c.reach.ContactWithin(targetURL, recentContact, time.Now()) {
		return ""
	}
	pool, err := c.pool(targetURL)
	if err != nil {
		return relayUnknown
	}
	connection, err := c.dial(withSendOptions(ctx, sendOptions{dialTimeout: relayDialTimeout}), pool)
	if err != nil {
		return relayUnreachable
	}
	c.reach.Opened(targetURL, time.Now())
	connection.finishResponse()
	return ""
}

// refuseRelay tells another instance that there is no response of the target.
func (c *client) refuseRelay(w http.ResponseWriter, failure relayError) {
	c.observeRelay("in", string(failure))
	w.Header().Set(relayErrorHeader, string(failure))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusBadGateway)
}

// passOn sends another instance's request to a target and the response back.
func (f *Forwarder) passOn(w http.ResponseWriter, r *http.Request, targetURL string) {
	base, err := url.Parse(targetURL)
	if err != nil {
		f.client.refuseRelay(w, relayUnknown)
		return
	}
	options := f.Plain.options
	options.Picker = pinned{target.Target{URL: targetURL}}
	options.Quarantine = nil
	options.Counter = uncounted{}
	options.StripCredentials = func(http.Header) {}
	options.Dialect = Dialect{
		RequestIDHeader: options.Dialect.RequestIDHeader, KeepHost: true, OmitOutcome: true,
		Refuse: func(w http.ResponseWriter, _ string, refusal *outcome.Refusal) {
			switch {
			case refusal.Outcome != outcome.NotRun:
				f.client.refuseRelay(w, relayLost)
			case refusal.Reason == outcome.TargetUnreachable:
				f.client.refuseRelay(w, relayUnreachable)
			default:
				f.client.refuseRelay(w, relayUnsent)
			}
		},
	}
	plain := &Plain{options: options, client: f.client}
	ctx := withSendOptions(r.Context(), sendOptions{directOnly: true, dialTimeout: relayDialTimeout})
	plain.ServePlain(w, r.WithContext(ctx), Call{
		RequestID: r.Header.Get(options.Dialect.RequestIDHeader), Path: strings.TrimPrefix(r.URL.EscapedPath(), base.EscapedPath()), Attempts: 1,
		Report: func(report Report) {
			if report.Outcome == outcome.Ran {
				f.client.observeRelay("in", passedOn)
			}
		},
	})
}

// pinned is a Picker that knows one target. The instance that sent the request has reserved its slot.
type pinned struct{ chosen target.Target }

func (p pinned) Pick(target.Request, time.Time) (target.Reservation, *outcome.Refusal) { return p, nil }

func (p pinned) Target() target.Target { return p.chosen }

func (p pinned) Done(target.Result, time.Duration) {}

// uncounted counts nothing: the instance that sent the request counts it.
type uncounted struct{}

func (uncounted) CountRefusal(outcome.Reason) {}

func (uncounted) CountRetry(outcome.RetryReason) {}
