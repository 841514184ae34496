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
	discovery        *DiscoveryClient
	rollout          *RolloutClient
	terminateAfterMs float64 // after the word to stop until what is open is terminated
}

// Start starts a marshal as a configuration says.
func Start(c *Config, log *slog.Logger) (*Marshal, error) { return StartWith(c, log, serve.Hooks{}) }

// StartWith starts one with a clock or with planted faults of its own; the ways of the platform are set here.
func StartWith(c *Config, log *slog.Logger, hooks serve.Hooks) (*Marshal, error) {
	if hooks.Clock == nil {
		hooks.Clock = loop.Monotonic()
	}
	c.now = loop.WallClock(hooks.Clock)
	if hooks.Wall != nil {
		c.wallClock = hooks.Wall
	}
	known, err := c.KnownNodes(log)
	if err != nil {
		log.Warn("the list that was held last is of no use", "err", err)
	}
	m := &Marshal{terminateAfterMs: c.killDelayMs() - terminateBeforeKillMs}
	hooks.Ways = &serve.Ways{
		Terms:     front.Terms{Read: c.readRequest, Health: "/healthz", MostBody: maxBodyBytes, FirstMs: firstRequestMs, RetryAfter: c.retryAfter, Quiet: true},
		Settings:  c.ModuleSettings,
		Known:     known,
		FirstList: firstListMs * time.Millisecond,
		Strict:    true,
		Settle:    reuseDelayMs * time.Millisecond,
		Reports:   reportNames,
		Roster: func(listed func(bool, []control.NodeEntry), _ func()) serve.Roster {
			m.discovery = &DiscoveryClient{endpoint: endpoint{address: c.DiscoveryAddress}, Log: log, OnNodesListed: listed, reader: c.newListReader(log)}
			return m.discovery
		},
		Conveyor: func(told StageUpdateFunc, failed func(balance.Ending)) serve.Conveyor {
			m.rollout = &RolloutClient{endpoint: endpoint{address: c.ReleaseAPIAddress}, Log: log, OnStageUpdate: told, OnVoteFailed: failed,
				VoteTimeout: time.Duration(c.Settings.Rollout.VoteTimeoutMs * float64(time.Millisecond))}
			if c.initialRelease.IsObject() {
				if err := parseState(c.initialRelease, false, m.rollout.publish); err != nil {
					log.Warn("the news in the configuration is of no use", "err", err)
				}
			}
			return m.rollout
		},
	}
	hooks.Ways.NodeConnections = int(c.Settings.Limits.IdlePerNode)
	if c.peerListen != "" {
		hooks.Ways.Peers = func(told func(int, string)) (serve.Peers, error) { return c.openPeers(log, told) }
	}
	m.Marshal, err = serve.Start(c.Settings, log, hooks)
	return m, err
}

// retryAfter says when to come back, in seconds with decimals, within what the settings allow.
func (c *Config) retryAfter(ms float64) (field, value string) {
	if most, ok := c.ModuleSettings["limits.max-retry-after-ms"].(float64); ok {
		ms = min(ms, most)
	}
	return "Retry-After", strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// UpdateAddresses takes the addresses of another configuration; all else needs a restart.
func (m *Marshal) UpdateAddresses(c *Config) {
	m.discovery.SetAddress(c.DiscoveryAddress)
	m.rollout.SetAddress(c.ReleaseAPIAddress)
}

// Drain is a planned end: for as long as new connections go on coming all is served, and after that what was taken, unless it is to
// hurry: then what is still open is terminated. So it is before KILL can come: nobody else answers it then. Also in a hurry it serves what
// comes: a listener closed earlier would lose it.
func (m *Marshal) Drain(hurry <-chan struct{}) error {
	killed := time.After(time.Duration(m.terminateAfterMs * float64(time.Millisecond)))
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

// stateTimeout is how long a view waits for a loop: who asks for it also waits for signals.
const stateTimeout = 100 * time.Millisecond

// LogState logs what the marshal sees: what it took and answered, and of each node what was sent, how it ended and what is
// out there, to be held against the traffic on the sockets.
func (m *Marshal) LogState() {
	ctx, done := context.WithTimeout(context.Background(), stateTimeout)
	defer done()
	r, err := m.LookAt(ctx, 0)
	if err != nil {
		m.Log.Debug("no view", "err", err)
		return
	}
	nodes := make([]string, 0, len(r.Nodes))
	for _, n := range r.Nodes {
		if n.Health != balance.Gone {
			nodes = append(nodes, fmt.Sprintf("%s/%d/%d:%d%v", n.Address, n.Ver, n.Health, n.Sent, n.Endings))
		}
	}
	slices.Sort(nodes)
	m.Log.Debug("view", "taken", r.Taken, "succeeded", r.Succeeded, "throttled", r.Throttled, "terminated", r.Terminated,
		"lapsed", r.Lapsed, "open", r.Open, "dispatches", r.Dispatches, "endings", fmt.Sprint(r.Endings), "ver", r.Ver, "stage", r.Stage,
		"cap", r.Cap, "requests", &m.Front.Counts, "violations", fmt.Sprintf("%+v", r.Violations), "refused_behind", m.Behind(), "goroutines", runtime.NumGoroutine(), "nodes", strings.Join(nodes, " "))
}
