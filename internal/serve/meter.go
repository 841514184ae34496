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

// meter collects what each core does, when it is asked: from counters that the loops keep anyway, so that asking
// neither waits for a core that stands still nor takes time from one that is busy.
type metricsCollector struct{ m *Marshal }

var (
	perCore           = []string{"core"}
	perScope          = []string{"pool", "ver", "op"}
	desc              = prometheus.NewDesc
	descCalls         = desc("arrowcleat_core_calls_total", "Calls that the core's loop has run.", perCore, nil)
	descBusy          = desc("arrowcleat_core_busy_seconds_total", "Time spent in them.", perCore, nil)
	descStalled       = desc("arrowcleat_core_standing_seconds", "How long the call that runs now has run; 0 for none.", perCore, nil)
	descWaiting       = desc("arrowcleat_core_waiting", "Arrivals that wait for the core.", perCore, nil)
	descRejected      = desc("arrowcleat_core_refused_total", "Arrivals refused because too many waited.", perCore, nil)
	descConnections   = desc("arrowcleat_core_connections", "Clients' connections that belong to the core.", perCore, nil)
	descMoved         = desc("arrowcleat_moved_total", "Invocations taken by another core than their connection's.", nil, nil)
	descOpen          = desc("arrowcleat_open", "Invocations between their head and their answer.", nil, nil)
	descRead          = desc("arrowcleat_requests_read_total", "Requests read from clients.", nil, nil)
	descDone          = desc("arrowcleat_requests_done_total", "Requests read and over, by their outcome; unanswered must stay 0.", []string{"outcome"}, nil)
	descSecondAnswers = desc("arrowcleat_second_answers_total", "Answers held back since none was owed; must stay 0.", nil, nil)
	descClosed        = desc("arrowcleat_connections_closed_total", "Clients' connections closed, by the reason.", []string{"reason"}, nil)
	descSuppressed    = desc("arrowcleat_dispatches_held_back_total", "Dispatches decided on that the last look before writing held back.", nil, nil)
	descCoordinator   = desc("arrowcleat_chair", "The core whose instance votes for the marshal.", []string{"pool"}, nil)
	descAccepted      = desc("arrowcleat_window_taken", "Invocations in the window that the exposure rule counts.", perScope, nil)
	descExposed       = desc("arrowcleat_window_exposed", "Exposures in the window, leases that are out among them.", perScope, nil)
	descLeased        = desc("arrowcleat_leased", "Exposures by leases that are out.", perScope, nil)
	descLeasesRefused = desc("arrowcleat_leases_refused_total", "Leases that the rule left no room for.", []string{"pool"}, nil)
)

func (c metricsCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c metricsCollector) Collect(ch chan<- prometheus.Metric) {
	emit := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	counter, gauge := prometheus.CounterValue, prometheus.GaugeValue
	for i, l := range c.m.Loops {
		core := strconv.Itoa(i)
		emit(descCalls, counter, float64(l.Ran()), core)
		emit(descBusy, counter, l.Busy()/1000, core)
		emit(descStalled, gauge, l.Standing()/1000, core)
		emit(descWaiting, gauge, float64(l.Waiting()), core)
		emit(descRejected, counter, float64(l.Behind()), core)
		emit(descConnections, gauge, float64(c.m.Front.Homes(i)), core)
	}
	emit(descMoved, counter, float64(c.m.Front.Moved()))
	emit(descOpen, gauge, float64(c.m.Front.Open()))
	counts := &c.m.Front.Counts
	emit(descRead, counter, float64(counts.Read.Load()))
	for outcome, n := range map[string]int64{"answered": counts.Answered.Load(), "left": counts.Left.Load(), "unanswered": counts.Unanswered.Load()} {
		emit(descDone, counter, float64(n), outcome)
	}
	emit(descSuppressed, counter, float64(counts.HeldBack.Load()))
	emit(descSecondAnswers, counter, float64(counts.SecondAnswers.Load()))
	for reason, n := range counts.ClosedBy() {
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
		account := p.account.Look()
		emit(descCoordinator, gauge, float64(account.Chair), pool)
		emit(descLeasesRefused, counter, float64(account.Refused), pool)
		for _, s := range account.Scopes {
			op := "all"
			if s.Op >= 0 {
				op = p.settings.Operation[s.Op].Name
			}
			ver := strconv.Itoa(s.Ver)
			emit(descAccepted, gauge, s.Taken, pool, ver, op)
			emit(descExposed, gauge, s.Exposed, pool, ver, op)
			emit(descLeased, gauge, float64(s.Leased), pool, ver, op)
		}
	}
}

// meterOn serves the metrics until the context ends.
func (m *Marshal) serveMetrics(ctx context.Context) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{m}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: 5 * time.Second}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	m.background(func() { server.Serve(m.metricsListener) })
	m.background(func() { <-ctx.Done(); server.Close() })
}

// MetricsAddress is where the metrics are, empty for nowhere.
func (m *Marshal) MetricsAddress() string {
	if m.metricsListener == nil {
		return ""
	}
	return m.metricsListener.Addr().String()
}
