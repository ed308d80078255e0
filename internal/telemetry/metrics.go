package telemetry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/egretspar/egretspar/internal/outcome"
)

// Metrics holds the metric instruments of one entry instance.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	refusals  metric.Int64Counter
	retries   metric.Int64Counter
	requests  metric.Int64Counter
	queueWait metric.Float64Histogram
	callTime  metric.Float64Histogram
	// rewardAttempts and rewardTime describe reward calls.
	rewardAttempts metric.Int64Counter
	relayed        metric.Int64Counter
	lateUploads    metric.Int64Counter
	rewardTime     metric.Float64Histogram
	// The attribute sets are built once, because building one for each request would allocate.
	refusalOptions map[outcome.Reason]metric.AddOption
	retryOptions   map[outcome.RetryReason]metric.AddOption
}

// NewMetrics returns instruments that are exported in the Prometheus text format.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{registry: registry, meter: provider.Meter("egretspar")}
	if err := m.createInstruments(); err != nil {
		return nil, err
	}
	m.initReasonCounters()
	return m, nil
}

func (m *Metrics) createInstruments() error {
	var errs [9]error
	m.refusals, errs[0] = m.meter.Int64Counter("egretspar.refusals", metric.WithDescription("Refused requests by reason."))
	m.retries, errs[1] = m.meter.Int64Counter("egretspar.retries", metric.WithDescription("Repeated attempts by reason."))
	m.requests, errs[2] = m.meter.Int64Counter("egretspar.requests", metric.WithDescription("Finished requests by service, team and outcome."))
	m.queueWait, errs[3] = m.meter.Float64Histogram("egretspar.queue.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to admission."),
		metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 30))
	m.callTime, errs[4] = m.meter.Float64Histogram("egretspar.served", metric.WithUnit("s"),
		metric.WithDescription("Time to the end of a call by kind and service."),
		metric.WithExplicitBucketBoundaries(0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16))
	m.rewardAttempts, errs[5] = m.meter.Int64Counter("egretspar.reward.attempts", metric.WithDescription("Attempts of reward calls by ending."))
	m.rewardTime, errs[6] = m.meter.Float64Histogram("egretspar.reward.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from the end of an item's text to its score."),
		metric.WithExplicitBucketBoundaries(0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8))
	m.relayed, errs[7] = m.meter.Int64Counter("egretspar.relayed",
		metric.WithDescription("Requests to targets that went through another instance (out) or came from one (in), by result."))
	m.lateUploads, errs[8] = m.meter.Int64Counter("egretspar.late.uploads",
		metric.WithDescription("Request bodies that were still being sent after the response, by how they ended."))
	for _, err := range errs {
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// initReasonCounters exports the counters of all reasons with the value 0 from the start.
func (m *Metrics) initReasonCounters() {
	m.refusalOptions = map[outcome.Reason]metric.AddOption{}
	for _, r := range outcome.Reasons() {
		m.refusalOptions[r] = reasonOption(string(r))
		m.refusals.Add(context.Background(), 0, m.refusalOptions[r])
	}
	m.retryOptions = map[outcome.RetryReason]metric.AddOption{}
	for _, r := range outcome.RetryReasons() {
		m.retryOptions[r] = reasonOption(string(r))
		m.retries.Add(context.Background(), 0, m.retryOptions[r])
	}
}

func reasonOption(reason string) metric.AddOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", reason)))
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(reason outcome.Reason) {
	m.refusals.Add(context.Background(), 1, m.refusalOptions[reason])
}

// CountRetry counts a retry.
func (m *Metrics) CountRetry(reason outcome.RetryReason) {
	m.retries.Add(context.Background(), 1, m.retryOptions[reason])
}

// CountRelay counts a request that went through another instance (direction "out") or came from one ("in").
func (m *Metrics) CountRelay(direction, result string) {
	m.relayed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("direction", direction), attribute.String("result", result)))
}

// CountLateUpload counts the body of a request that was still being sent after the response, by how it ended.
func (m *Metrics) CountLateUpload(end string) {
	m.lateUploads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("end", end)))
}

// RequestLabels are the labels of the request counter.
type RequestLabels struct {
	Service string
	Team    string
	Outcome outcome.Outcome
}

// CountRequest counts a finished request.
func (m *Metrics) CountRequest(l RequestLabels) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", l.Service),
		attribute.String("team", l.Team),
		attribute.String("outcome", string(l.Outcome)),
	))
}

// ObserveQueueWait records how many seconds a request to a service spent in the admission queue.
func (m *Metrics) ObserveQueueWait(service string, seconds float64) {
	m.queueWait.Record(context.Background(), seconds, metric.WithAttributes(attribute.String("service", service)))
}

// ObserveCall records the duration of a call in seconds. There are few kinds (those of routes, and those of calls about
// batch jobs), so the number of time series stays small.
func (m *Metrics) ObserveCall(kind, service string, seconds float64) {
	m.callTime.Record(context.Background(), seconds, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("service", service)))
}

// CountRewardAttempt counts an attempt of a reward call by its ending.
func (m *Metrics) CountRewardAttempt(ending string) {
	m.rewardAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("ending", ending)))
}

// ObserveReward records the seconds from the end of an item's text to its score.
func (m *Metrics) ObserveReward(seconds float64) { m.rewardTime.Record(context.Background(), seconds) }

// Gauge registers a gauge that is read at each export.
func (m *Metrics) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.WithStack(err)
}

// Counter registers a counter that is read at each export.
func (m *Metrics) Counter(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.WithStack(err)
}

// RegisterLimits exports the number of targets that name a limit, and how often a request was held back from one.
func (m *Metrics) RegisterLimits(limited, held func() int64) error {
	if err := m.Gauge("egretspar.targets.limited", "Targets that name a limit of requests.", limited); err != nil {
		return err
	}
	return m.Counter("egretspar.targets.held", "Requests and items that a target did not get at once because of its limit.", held)
}

// RegisterWarmUps exports the number of cold targets, how often a request was held back from one, and how often a run was held
// back because the target might be cold.
func (m *Metrics) RegisterWarmUps(cold, held, heldStarts func() int64) error {
	if err := m.Gauge("egretspar.targets.cold", "Targets that take few requests because they warm up.", cold); err != nil {
		return err
	}
	if err := m.Counter("egretspar.targets.cold_held", "Requests and items that a target did not get at once because it was cold.", held); err != nil {
		return err
	}
	return m.Counter("egretspar.starts.held", "Rounds of placement in which an item waited because of this instance's share of the starts.", heldStarts)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
