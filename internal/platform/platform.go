package platform

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/front"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/serve"
)

// Marshal is one in service on the platform.
type Marshal struct {
	*serve.Marshal
	roster   *Roster
	conveyor *Conveyor
	stopMs   float64 // after the word to stop until what is open is terminated
}

// Start starts a marshal as a configuration says.
func Start(c *Config, log *slog.Logger) (*Marshal, error) { return StartWith(c, log, serve.Hooks{}) }

// StartWith starts one with a clock or with planted faults of its own; the ways of the platform are set here.
func StartWith(c *Config, log *slog.Logger, hooks serve.Hooks) (*Marshal, error) {
	if hooks.Clock == nil {
		hooks.Clock = loop.Monotonic()
	}
	c.now = loop.WallClock(hooks.Clock)
	if hooks.WallClock != nil {
		c.wall = hooks.WallClock
	}
	known, err := c.Known(log)
	if err != nil {
		log.Warn("the list that was held last is of no use", "err", err)
	}
	m := &Marshal{stopMs: c.killMs() - lastMs}
	hooks.Transport = &serve.Transport{
		ProtocolOptions:  front.ProtocolOptions{ParseRequest: c.asked, HealthPath: "/healthz", MaxBodyBytes: mostBody, FirstRequestTimeoutMs: firstMs, RetryAfter: c.retryAfter, DropInterimResponses: true},
		ModuleSettings:   c.Module,
		KnownNodes:       known,
		FirstListTimeout: firstListMs * time.Millisecond,
		Strict:           true,
		ReuseDelay:       settleMs * time.Millisecond,
		ReportNames:      reports,
		NewRegistry: func(listed func(bool, []control.Line), _ func()) serve.Registry {
			m.roster = &Roster{endpoint: endpoint{address: c.Discovery}, Log: log, Listed: listed, read: c.reader(log)}
			return m.roster
		},
		NewRolloutService: func(told Staged, failed func(balance.Outcome)) serve.RolloutService {
			m.conveyor = &Conveyor{endpoint: endpoint{address: c.API}, Log: log, Staged: told, Failed: failed,
				Patience: time.Duration(c.Set.Rollout.VoteTimeoutMs * float64(time.Millisecond))}
			if c.news.IsObject() {
				if err := staged(c.news, false, m.conveyor.tell); err != nil {
					log.Warn("the news in the configuration is of no use", "err", err)
				}
			}
			return m.conveyor
		},
	}
	hooks.Transport.MaxNodeConnections = int(c.Set.Limits.IdlePerNode)
	if c.listen != "" {
		hooks.Transport.NewPeers = func(told func(int, string)) (serve.Peers, error) { return c.peersOf(log, told) }
	}
	m.Marshal, err = serve.Start(c.Set, log, hooks)
	return m, err
}

// retryAfter says when to come back, in seconds with decimals, within what the settings allow.
func (c *Config) retryAfter(ms float64) (field, value string) {
	if most, ok := c.Module["limits.max-retry-after-ms"].(float64); ok {
		ms = min(ms, most)
	}
	return "Retry-After", strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// Move takes the addresses of another configuration; all else needs a restart.
func (m *Marshal) Move(c *Config) {
	m.roster.Move(c.Discovery)
	m.conveyor.Move(c.API)
}

// Drain is a planned end: for as long as new connections go on coming all is served, and after that what was taken, unless it is to
// hurry: then what is still open is terminated. So it is before KILL can come: nobody else answers it then. Also in a hurry it serves what
// comes: a listener closed earlier would lose it.
func (m *Marshal) Drain(hurry <-chan struct{}) error {
	killed := time.After(time.Duration(m.stopMs * float64(time.Millisecond)))
	m.Front.Drain()
	select {
	case <-time.After(drainMs * time.Millisecond):
	case <-m.Ended():
	}
	go func() {
		select {
		case <-hurry:
		case <-killed:
		case <-m.Ended():
		}
		m.End()
	}()
	return m.Stop()
}

// sayWithin is how long a view waits for a loop: who asks for it also waits for signals.
const sayWithin = 100 * time.Millisecond

// Say logs what the marshal sees: what it took and answered, and of each node what was sent, how it ended and what is
// out there, to be held against the traffic on the sockets.
func (m *Marshal) Say() {
	ctx, done := context.WithTimeout(context.Background(), sayWithin)
	defer done()
	r, err := m.PoolSnapshot(ctx, 0)
	if err != nil {
		m.Log.Debug("no view", "err", err)
		return
	}
	nodes := make([]string, 0, len(r.Nodes))
	for _, n := range r.Nodes {
		if n.Health != balance.Gone {
			nodes = append(nodes, fmt.Sprintf("%s/%d/%d:%d%v", n.Address, n.Ver, n.Health, n.Sent, n.Outcomes))
		}
	}
	slices.Sort(nodes)
	m.Log.Debug("view", "taken", r.Accepted, "succeeded", r.Succeeded, "throttled", r.Throttled, "terminated", r.Terminated,
		"lapsed", r.ClientTimeouts, "open", r.Open, "dispatches", r.Dispatches, "endings", fmt.Sprint(r.Outcomes), "ver", r.Ver, "stage", r.Stage,
		"cap", r.Cap, "requests", &m.Front.Counters, "violations", fmt.Sprintf("%+v", r.Violations), "refused_behind", m.RejectedArrivals(), "goroutines", runtime.NumGoroutine(), "nodes", strings.Join(nodes, " "))
}
