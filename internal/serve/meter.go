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
type meter struct{ m *Marshal }

var (
	perCore   = []string{"core"}
	perScope  = []string{"pool", "ver", "op"}
	desc      = prometheus.NewDesc
	descRan   = desc("arrowcleat_core_calls_total", "Calls that the core's loop has run.", perCore, nil)
	descBusy  = desc("arrowcleat_core_busy_seconds_total", "Time spent in them.", perCore, nil)
	descStand = desc("arrowcleat_core_standing_seconds", "How long the call that runs now has run; 0 for none.", perCore, nil)
	descWait  = desc("arrowcleat_core_waiting", "Arrivals that wait for the core.", perCore, nil)
	descBack  = desc("arrowcleat_core_refused_total", "Arrivals refused because too many waited.", perCore, nil)
	descConns = desc("arrowcleat_core_connections", "Clients' connections that belong to the core.", perCore, nil)
	descMoved = desc("arrowcleat_moved_total", "Invocations taken by another core than their connection's.", nil, nil)
	descOpen  = desc("arrowcleat_open", "Invocations between their head and their answer.", nil, nil)
	descRead  = desc("arrowcleat_requests_read_total", "Requests read from clients.", nil, nil)
	descDone  = desc("arrowcleat_requests_done_total", "Requests read and over, by their outcome; unanswered must stay 0.", []string{"outcome"}, nil)
	descTwice = desc("arrowcleat_second_answers_total", "Answers held back since none was owed; must stay 0.", nil, nil)
	descEnds  = desc("arrowcleat_connections_closed_total", "Clients' connections closed, by the reason.", []string{"reason"}, nil)
	descHeld  = desc("arrowcleat_dispatches_held_back_total", "Dispatches decided on that the last look before writing held back.", nil, nil)
	descChair = desc("arrowcleat_chair", "The core whose instance votes for the marshal.", []string{"pool"}, nil)
	descTaken = desc("arrowcleat_window_taken", "Invocations in the window that the exposure rule counts.", perScope, nil)
	descExp   = desc("arrowcleat_window_exposed", "Exposures in the window, leases that are out among them.", perScope, nil)
	descLease = desc("arrowcleat_leased", "Exposures by leases that are out.", perScope, nil)
	descNo    = desc("arrowcleat_leases_refused_total", "Leases that the rule left no room for.", []string{"pool"}, nil)
)

func (c meter) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c meter) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	count, level := prometheus.CounterValue, prometheus.GaugeValue
	for i, l := range c.m.Loops {
		core := strconv.Itoa(i)
		put(descRan, count, float64(l.Completed()), core)
		put(descBusy, count, l.BusyMs()/1000, core)
		put(descStand, level, l.CurrentCallMs()/1000, core)
		put(descWait, level, float64(l.Waiting()), core)
		put(descBack, count, float64(l.Refused()), core)
		put(descConns, level, float64(c.m.Front.Homes(i)), core)
	}
	put(descMoved, count, float64(c.m.Front.Moved()))
	put(descOpen, level, float64(c.m.Front.Open()))
	counts := &c.m.Front.Counts
	put(descRead, count, float64(counts.Read.Load()))
	for outcome, n := range map[string]int64{"answered": counts.Answered.Load(), "left": counts.Left.Load(), "unanswered": counts.Unanswered.Load()} {
		put(descDone, count, float64(n), outcome)
	}
	put(descHeld, count, float64(counts.HeldBack.Load()))
	put(descTwice, count, float64(counts.SecondAnswers.Load()))
	for reason, n := range counts.ClosedBy() {
		put(descEnds, count, float64(n), reason)
	}
	for _, g := range c.m.groups {
		if g.account == nil {
			continue
		}
		pool := strconv.Itoa(g.number)
		if len(c.m.Set.Pool) > 0 {
			pool = c.m.Set.Pool[g.number].Name
		}
		st := g.account.Snapshot()
		put(descChair, level, float64(st.Coordinator), pool)
		put(descNo, count, float64(st.RefusedDraws), pool)
		for _, s := range st.Scopes {
			op := "all"
			if s.Op >= 0 {
				op = g.set.Operation[s.Op].Name
			}
			ver := strconv.Itoa(s.Ver)
			put(descTaken, level, s.Accepted, pool, ver, op)
			put(descExp, level, s.Exposed, pool, ver, op)
			put(descLease, level, float64(s.Leased), pool, ver, op)
		}
	}
}

// meterOn serves the metrics until the context ends.
func (m *Marshal) meterOn(ctx context.Context) {
	r := prometheus.NewRegistry()
	r.MustRegister(meter{m}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: 5 * time.Second}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	m.background(func() { s.Serve(m.meter) })
	m.background(func() { <-ctx.Done(); s.Close() })
}

// MetricsAddress is where the metrics are, empty for nowhere.
func (m *Marshal) MetricsAddress() string {
	if m.meter == nil {
		return ""
	}
	return m.meter.Addr().String()
}
