package serve

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsCollector collects the metrics of a marshal when they are requested. It reads counters that the loops keep
// anyway, so that a request neither waits for a stalled core nor takes time from a busy one.
type metricsCollector struct{ m *Marshal }

var (
	perCore           = []string{"core"}
	perScope          = []string{"pool", "ver", "op"}
	desc              = prometheus.NewDesc
	descCalls         = desc("arrowcleat_core_calls_total", "Calls run by the loop of the core.", perCore, nil)
	descBusy          = desc("arrowcleat_core_busy_seconds_total", "Time spent in calls of the loop, in seconds.", perCore, nil)
	descStalled       = desc("arrowcleat_core_standing_seconds", "How long the current call has been running, in seconds; 0 if none.", perCore, nil)
	descWaiting       = desc("arrowcleat_core_waiting", "Arrivals queued for the core.", perCore, nil)
	descRejected      = desc("arrowcleat_core_refused_total", "Arrivals rejected because the queue of the core was full.", perCore, nil)
	descConnections   = desc("arrowcleat_core_connections", "Client connections assigned to the core.", perCore, nil)
	descMoved         = desc("arrowcleat_moved_total", "Invocations accepted by another core than the one of their connection.", nil, nil)
	descOpen          = desc("arrowcleat_open", "Invocations whose request header was read and that are not answered yet.", nil, nil)
	descRead          = desc("arrowcleat_requests_read_total", "Requests read from clients.", nil, nil)
	descDone          = desc("arrowcleat_requests_done_total", "Requests read and completed, by outcome; unanswered must stay 0.", []string{"outcome"}, nil)
	descLongestUnread = desc("arrowcleat_longest_unread_seconds", "Longest time that a request waited before it was read, in seconds.", nil, nil)
	descSecondAnswers = desc("arrowcleat_second_answers_total", "Answers suppressed because no answer was pending; must stay 0.", nil, nil)
	descClosed        = desc("arrowcleat_connections_closed_total", "Client connections closed, by reason.", []string{"reason"}, nil)
	descSuppressed    = desc("arrowcleat_dispatches_held_back_total", "Dispatches suppressed by the final check before writing.", nil, nil)
	descCoordinator   = desc("arrowcleat_chair", "The coordinator: the core whose instance votes for the marshal.", []string{"pool"}, nil)
	descAccepted      = desc("arrowcleat_window_taken", "Invocations accepted in the window of the exposure rule.", perScope, nil)
	descExposed       = desc("arrowcleat_window_exposed", "Exposures in the window, including leases in flight.", perScope, nil)
	descLeased        = desc("arrowcleat_leased", "Exposures by leases in flight.", perScope, nil)
	descLeasesRefused = desc("arrowcleat_leases_refused_total", "Leases refused because the exposure rule left no room for them.", []string{"pool"}, nil)
)

// Describe implements prometheus.Collector.
func (c metricsCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c metricsCollector) Collect(ch chan<- prometheus.Metric) {
	emit := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	counter, gauge := prometheus.CounterValue, prometheus.GaugeValue
	for i, l := range c.m.Loops {
		core := strconv.Itoa(i)
		emit(descCalls, counter, float64(l.Completed()), core)
		emit(descBusy, counter, l.BusyMs()/1000, core)
		emit(descStalled, gauge, l.CurrentCallMs()/1000, core)
		emit(descWaiting, gauge, float64(l.Waiting()), core)
		emit(descRejected, counter, float64(l.Refused()), core)
		emit(descConnections, gauge, float64(c.m.Front.CoreConnections(i)), core)
	}
	emit(descMoved, counter, float64(c.m.Front.MovedInvocations()))
	emit(descOpen, gauge, float64(c.m.Front.OpenInvocations()))
	counts := &c.m.Front.Counters
	emit(descRead, counter, float64(counts.RequestsRead.Load()))
	for outcome, n := range map[string]int64{"answered": counts.Answered.Load(), "left": counts.ClientsGone.Load(),
		"unanswered": counts.Unanswered.Load()} {
		emit(descDone, counter, float64(n), outcome)
	}
	emit(descSuppressed, counter, float64(counts.SuppressedDispatches.Load()))
	emit(descLongestUnread, gauge, time.Duration(counts.LongestUnread.Load()).Seconds())
	emit(descSecondAnswers, counter, float64(counts.SecondAnswers.Load()))
	for reason, n := range counts.ClosedByReason() {
		emit(descClosed, counter, float64(n), reason)
	}
	for _, p := range c.m.pools {
		if p.account == nil {
			continue
		}
		pool := strconv.Itoa(p.number)
		if len(c.m.Settings.Pool) > 0 {
			pool = c.m.Settings.Pool[p.number].Name
		}
		account := p.account.Snapshot()
		emit(descCoordinator, gauge, float64(account.Coordinator), pool)
		emit(descLeasesRefused, counter, float64(account.RefusedDraws), pool)
		for _, s := range account.Scopes {
			op := "all"
			if s.Op >= 0 {
				op = p.settings.Operation[s.Op].Name
			}
			ver := strconv.Itoa(s.Ver)
			emit(descAccepted, gauge, s.Accepted, pool, ver, op)
			emit(descExposed, gauge, s.Exposed, pool, ver, op)
			emit(descLeased, gauge, float64(s.Leased), pool, ver, op)
		}
	}
}

// serveMetrics serves the metrics until the context ends.
func (m *Marshal) serveMetrics(ctx context.Context) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{m}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: 5 * time.Second}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	m.background(func() { server.Serve(m.metricsListener) })
	m.background(func() { <-ctx.Done(); server.Close() })
}

// MetricsAddress returns the address of the metrics, or "" if they are not served.
func (m *Marshal) MetricsAddress() string {
	if m.metricsListener == nil {
		return ""
	}
	return m.metricsListener.Addr().String()
}
