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
	"arrowcleat/internal/connlimit"
	"arrowcleat/internal/control"
	"arrowcleat/internal/front"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/membudget"
	"arrowcleat/internal/requestids"
	"arrowcleat/internal/serve"
)

// Marshal is a marshal that serves on the platform.
type Marshal struct {
	*serve.Marshal
	discovery        *DiscoveryClient
	rollout          *RolloutClient
	terminateAfterMs float64 // from the start of Drain until open invocations are terminated
}

// Start starts a marshal with a configuration.
func Start(c *Config, log *slog.Logger) (*Marshal, error) { return StartWith(c, log, serve.Hooks{}) }

// StartWith starts a marshal with hooks, for example another clock or injected faults. It sets the transport of the
// hooks to the platform's protocols.
func StartWith(c *Config, log *slog.Logger, hooks serve.Hooks) (*Marshal, error) {
	if hooks.Clock == nil {
		hooks.Clock = loop.Monotonic()
	}
	c.now = loop.WallClock(hooks.Clock)
	if hooks.WallClock != nil {
		c.wallClock = hooks.WallClock
	}
	known, err := c.KnownNodes(log)
	if err != nil {
		log.Warn("invalid node list in the configuration; ignored", "err", err)
	}
	m := &Marshal{terminateAfterMs: c.killDelayMs() - terminateBeforeKillMs}
	hooks.Transport = &serve.Transport{
		ProtocolOptions: front.ProtocolOptions{ParseRequest: c.readRequest, HealthPath: "/healthz", MaxBodyBytes: maxBodyBytes,
			FirstRequestTimeoutMs: firstRequestMs, RetryAfter: c.retryAfter, DropInterimResponses: true},
		ModuleSettings:   c.ModuleSettings,
		KnownNodes:       known,
		FirstListTimeout: firstListMs * time.Millisecond,
		Strict:           true,
		ReuseDelay:       reuseDelayMs * time.Millisecond,
		ReportNames:      reportNames,
		NewRegistry: func(onNodesListed func(bool, []control.NodeEntry), _ func()) serve.Registry {
			m.discovery = &DiscoveryClient{endpoint: endpoint{address: c.DiscoveryAddress}, Log: log,
				OnNodesListed: onNodesListed, reader: c.newListReader(log)}
			return m.discovery
		},
		NewRolloutService: func(onStageUpdate StageUpdateFunc, onVoteFailed func(balance.Outcome)) serve.RolloutService {
			m.rollout = &RolloutClient{endpoint: endpoint{address: c.ReleaseAPIAddress}, Log: log,
				OnStageUpdate: onStageUpdate, OnVoteFailed: onVoteFailed,
				VoteTimeout: time.Duration(c.Settings.Rollout.VoteTimeoutMs * float64(time.Millisecond))}
			if c.initialRelease.IsObject() {
				if err := parseState(c.initialRelease, false, m.rollout.publish); err != nil {
					log.Warn("invalid rollout state in the configuration; ignored", "err", err)
				}
			}
			return m.rollout
		},
	}
	limits := c.Settings.Limits
	hooks.Transport.MaxNodeConnections = int(limits.IdlePerNode)
	hooks.Transport.MessageMemory = membudget.New(connlimit.MessageMemory(c.MemoryMB, int(limits.Connections), int(limits.IdlePerNode)))
	hooks.Transport.RequestIDs = requestids.New(connlimit.RequestIDMemory(c.MemoryMB))
	if c.peerListen != "" {
		hooks.Transport.NewPeers = func(onMessage func(int, string)) (serve.Peers, error) { return c.openPeers(log, onMessage) }
	}
	m.Marshal, err = serve.Start(c.Settings, log, hooks)
	return m, err
}

// retryAfter returns the header field that says when a throttled client may retry: in seconds with decimals, within the
// limit of the settings.
func (c *Config) retryAfter(ms float64) (field, value string) {
	if limit, ok := c.ModuleSettings["limits.max-retry-after-ms"].(float64); ok {
		ms = min(ms, limit)
	}
	return "Retry-After", strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// UpdateAddresses changes to the addresses in another configuration. Other changes need a restart.
func (m *Marshal) UpdateAddresses(c *Config) {
	m.discovery.SetAddress(c.DiscoveryAddress)
	m.rollout.SetAddress(c.ReleaseAPIAddress)
}

// Drain shuts the marshal down. For drainMs, while new connections still arrive, it serves everything, and after that
// the accepted invocations. When hurry is closed, and in any case before KILL can come, it terminates the invocations
// that are still open, because nobody would answer them after KILL. It serves new connections for drainMs in a hurry
// too: closing the listener earlier would lose them.
func (m *Marshal) Drain(hurry <-chan struct{}) error {
	killSoon := time.After(time.Duration(m.terminateAfterMs * float64(time.Millisecond)))
	m.Front.Drain()
	select {
	case <-time.After(drainMs * time.Millisecond):
	case <-m.Ended():
	}
	go func() {
		select {
		case <-hurry:
		case <-killSoon:
		case <-m.Ended():
		}
		m.End()
	}()
	return m.Stop()
}

// stateTimeout is the timeout of LogState for a worker's loop, short because its caller also handles signals.
const stateTimeout = 100 * time.Millisecond

// LogState logs the state of the marshal at debug level: the counts of invocations and their results, and for each node
// its build and health, the dispatches sent and their outcomes. The counts can be compared with the traffic on the
// sockets.
func (m *Marshal) LogState() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := m.PoolSnapshot(ctx, 0)
	if err != nil {
		m.Log.Debug("state not available", "err", err)
		return
	}
	nodes := make([]string, 0, len(state.Nodes))
	for _, n := range state.Nodes {
		if n.Health != balance.Gone {
			nodes = append(nodes, fmt.Sprintf("%s/%d/%d:%d%v", n.Address, n.Ver, n.Health, n.Sent, n.Outcomes))
		}
	}
	slices.Sort(nodes)
	m.Log.Debug("view", "taken", state.Accepted, "succeeded", state.Succeeded, "throttled", state.Throttled,
		"terminated", state.Terminated, "lapsed", state.ClientTimeouts, "open", state.Open, "dispatches", state.Dispatches,
		"endings", fmt.Sprint(state.Outcomes), "ver", state.Ver, "stage", state.Stage, "cap", state.Cap,
		"requests", &m.Front.Counters, "violations", fmt.Sprintf("%+v", state.Violations),
		"refused_behind", m.RejectedArrivals(), "goroutines", runtime.NumGoroutine(), "nodes", strings.Join(nodes, " "))
}
