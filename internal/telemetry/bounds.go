package telemetry

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// RegisterMemoryBudget exports the bytes that callers make the process hold, and their bound.
func (m *Metrics) RegisterMemoryBudget(used, limit func() int64) error {
	if err := m.Gauge("egretspar.memory.used", "Bytes of jobs, bodies and results that callers make the instance hold.", used); err != nil {
		return err
	}
	return m.Gauge("egretspar.memory.limit", "Bound on the bytes that callers make the instance hold.", limit)
}

// RegisterConnections exports the open connections of a port, and the connections closed in favour of others, refused, and
// closed because they were slow.
func (m *Metrics) RegisterConnections(port string, open func() int64, closed func() (evicted, refused, slow int64)) error {
	gauge, err := m.meter.Int64ObservableGauge("egretspar.connections.open", metric.WithDescription("Open connections of clients by port."))
	if err != nil {
		return errors.WithStack(err)
	}
	counter, err := m.meter.Int64ObservableCounter("egretspar.connections.closed",
		metric.WithDescription("Connections of clients that the instance closed, by port and reason."))
	if err != nil {
		return errors.WithStack(err)
	}
	portLabel := attribute.String("port", port)
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(gauge, open(), metric.WithAttributes(portLabel))
		evicted, refused, slow := closed()
		for reason, count := range map[string]int64{"evicted": evicted, "refused": refused, "slow": slow} {
			o.ObserveInt64(counter, count, metric.WithAttributes(portLabel, attribute.String("reason", reason)))
		}
		return nil
	}, gauge, counter)
	return errors.WithStack(err)
}
