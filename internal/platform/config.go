// Package platform runs a marshal on the operators' platform. It reads the platform's configuration and request headers
// and implements its protocols to discovery, to the release API and between marshals. It makes no routing decisions.
// See docs/platform.md.
package platform

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
	"arrowcleat/internal/brief"
	"arrowcleat/internal/connlimit"
	"arrowcleat/internal/control"
	"arrowcleat/internal/settings"
)

// Limits and times of the platform's protocol.
const (
	maxBodyBytes          = 64 << 10 // of a request or response body
	maxDatagramBytes      = 256      // of a message between marshals
	firstRequestMs        = 2500.0   // from connecting to a complete first request; the client must be answered within 3 s
	firstListMs           = 1000     // to wait for the first list; discovery's local agent answers at once unless it is unresponsive
	reuseDelayMs          = 20       // before a node connection is reused: a second response may follow the first by some ms
	clientIdleMs          = 120000.0 // a connection that has served a request is kept open while there is room
	drainMs               = 600.0    // after TERM, while new connections still arrive
	defaultCallTimeoutMs  = 1000.0   // to connect to a node, or for a vote, where the settings have no limit
	killMarginMs          = 700.0    // KILL comes this long after TERM plus the longest time limit
	maxCountedLimitMs     = 3000.0   // a longer time limit counts as this much towards KILL
	terminateBeforeKillMs = 250.0    // before KILL, to answer all open requests; 150 ms of it cover a stall of the marshal
)

// Config is the configuration that the platform gives a marshal.
type Config struct {
	Settings             *settings.Settings // of the marshal
	ModuleSettings       balance.Settings   // of the balancing module, in the form that the simulator uses
	DiscoveryAddress     string
	ReleaseAPIAddress    string
	Cores                float64
	MemoryMB             float64
	EnvironmentConflicts []string // environment variables that contradict the configuration, which takes precedence

	now             func() time.Time // wall-clock time at the start plus elapsed monotonic time
	wallClock       func() time.Time // may be stepped
	initialRelease  gjson.Result     // state of the newest build
	knownList       gjson.Result     // node list that the marshal last held
	peerListen      string           // UDP address; empty: no messages between marshals
	peerAddresses   []string         // by the numbers of the marshals
	allPeersAddress string           // reaches all marshals
	names           *nameTable
}

// killDelayMs returns the time from TERM to KILL.
func (c *Config) killDelayMs() float64 {
	longest := 0.0
	for _, o := range c.Settings.Operation {
		longest = max(longest, o.LimitMs)
	}
	return min(longest, maxCountedLimitMs) + killMarginMs
}

// environmentVariables are the variables that correspond to fields of the configuration.
var environmentVariables = map[string]string{"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY"}

// ReadConfig reads a configuration file. Errors name the field that is missing or invalid, or quote an address that is
// not host:port. An environment variable is used only if its field is missing.
func ReadConfig(path string, getenv func(variable string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parse(string(text), getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// parse reads the text of a configuration.
func parse(text string, getenv func(string) string) (*Config, error) {
	if !gjson.Valid(text) {
		return nil, errors.New("not valid JSON")
	}
	j := gjson.Parse(text)
	for name, want := range map[string]gjson.Type{"listen": gjson.String, "discovery": gjson.String, "seed": gjson.String,
		"release_api.address": gjson.String, "settings": gjson.JSON, "limits.sockets": gjson.Number,
		"limits.memory_mb": gjson.Number, "limits.cores": gjson.Number} {
		if v := j.Get(name); !v.Exists() && environmentVariables[name] != "" && getenv(environmentVariables[name]) != "" {
			continue
		} else if !v.Exists() {
			return nil, fmt.Errorf("%s: missing", name)
		} else if v.Type != want {
			return nil, fmt.Errorf("%s: not of the type %v", name, want)
		}
	}
	seed, err := strconv.ParseUint(j.Get("seed").Str, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.40q is not a 64-bit hexadecimal number", j.Get("seed").Str)
	}
	value := func(name string) string { // of a field, or of its variable
		if v := j.Get(name); v.Exists() {
			return v.Str
		}
		return getenv(environmentVariables[name])
	}
	c := &Config{now: time.Now, wallClock: time.Now, ModuleSettings: brief.Decode(j.Get("settings")),
		DiscoveryAddress: value("discovery"), ReleaseAPIAddress: j.Get("release_api.address").Str,
		Cores: j.Get("limits.cores").Num, MemoryMB: j.Get("limits.memory_mb").Num,
		initialRelease: j.Get("release_api.news"), knownList: j.Get("known"), peerListen: j.Get("peer_listen").Str,
		allPeersAddress: j.Get("peers_all").Str}
	for name, least := range map[string]float64{"limits.sockets": connlimit.MinDescriptors, "limits.memory_mb": 8,
		"limits.cores": 0.001} {
		if v := j.Get(name).Num; v < least {
			return nil, fmt.Errorf("%s: %v is too little: at least %v", name, v, least)
		}
	}
	for name, variable := range environmentVariables {
		if other := getenv(variable); other != "" && j.Get(name).Exists() && other != j.Get(name).Str {
			c.EnvironmentConflicts = append(c.EnvironmentConflicts,
				fmt.Sprintf("%s is %q, but the configuration has %q", variable, other, j.Get(name).Str))
		}
	}
	for _, address := range map[string]string{"listen": value("listen"), "discovery": c.DiscoveryAddress,
		"release_api.address": c.ReleaseAPIAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%.60q is not host:port", address)
		}
	}
	for _, p := range j.Get("peers").Array() {
		c.peerAddresses = append(c.peerAddresses, p.Str)
	}
	if allowed, _ := c.ModuleSettings["limits.may-tell"].(bool); !allowed {
		c.peerListen = ""
	}
	c.Settings, err = c.marshalSettings(value("listen"), int(j.Get("limits.sockets").Num))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Settings.Seed = seed
	return c, nil
}

// orDefault returns ms, or missing if the settings leave the time out.
func orDefault(ms, missing float64) float64 {
	if ms > 0 {
		return ms
	}
	return missing
}

// marshalSettings makes the settings of the marshal itself, for its client side and its connections to nodes. The
// module uses ModuleSettings.
func (c *Config) marshalSettings(listen string, sockets int) (*settings.Settings, error) {
	number := func(name string) float64 { v, _ := c.ModuleSettings[name].(float64); return v }
	c.names = &nameTable{}
	c.names.zones, _ = c.ModuleSettings["zones"].([]string)
	c.names.models, _ = c.ModuleSettings["models"].([]string)
	zones := c.names.zones
	if len(zones) == 0 { // a customer without zones: one zone for all
		zones = []string{""}
	}
	zone := int(number("zone"))
	if zone < 0 || zone >= len(zones) {
		return nil, fmt.Errorf("zone %d of this marshal is not one of the %d zones", zone, len(zones))
	}
	clients, nodes := connlimit.Divide(sockets)
	s := &settings.Settings{
		Instance: &settings.Instance{Number: uint32(number("number")), Marshals: uint32(number("marshals")), Zone: zones[zone]},
		Listen:   &settings.Listen{Invocations: listen},
		Zone:     zones,
		Model:    c.names.models,
		Headers: &settings.Headers{Tenant: "X-Customer", Key: "X-Object", Mark: "Idempotency-Key", TimeMs: "X-Expires-In-Ms",
			TurnedAway: "X-Never-Ran"},
		Limits: &settings.Limits{Connections: uint32(clients), Open: uint32(clients), Queue: uint32(clients), LineBytes: 4096,
			HeaderBytes: 16 << 10, RepeatBodyBytes: maxBodyBytes + 1, HeldAnswerBytes: maxBodyBytes + 1, IdlePerNode: uint32(nodes),
			Probes: true, ProbePath: "/load"},
		Times: &settings.Times{HeaderMs: firstRequestMs, BodyMs: firstRequestMs, WriteMs: 1000, IdleMs: clientIdleMs,
			DialMs:     orDefault(number("limits.dial-timeout-ms"), defaultCallTimeoutMs),
			NodeIdleMs: number("limits.conn-idle-ms") * 0.9, AnswerMs: 5},
		Roster: &settings.Roster{}, Conveyor: &settings.Conveyor{}, Record: &settings.Record{},
		Rules:   &settings.Rules{GraceMs: number("rules.stop-sending-within-ms")},
		Rollout: &settings.Rollout{VoteTimeoutMs: orDefault(number("rollout.api-timeout-ms"), defaultCallTimeoutMs)},
		Log:     &settings.Log{Level: "warn", Form: "text"},
	}
	ops, _ := c.ModuleSettings["operations"].([]balance.Settings)
	if len(ops) == 0 {
		return nil, errors.New("no operation")
	}
	for _, op := range ops {
		text := func(name string) string { v, _ := op[name].(string); return v }
		repeat, ok := map[string]settings.Repeat{"idempotent": settings.Repeat_IDEMPOTENT,
			"fingerprinted": settings.Repeat_FINGERPRINTED, "side-effecting": settings.Repeat_SIDE_EFFECTING}[text("repeat")]
		limit, _ := op["limit-ms"].(float64)
		memory, _ := op["memory-ms"].(float64)
		if !ok || text("name") == "" || limit <= 0 {
			return nil, fmt.Errorf("operation %q: name, repeat or time limit is missing or invalid", text("name"))
		}
		s.Operation = append(s.Operation, &settings.Operation{Name: text("name"), Repeat: repeat, LimitMs: limit, MemoryMs: memory,
			Group: text("group")})
		s.Times.StopMs = max(s.Times.StopMs, limit+killMarginMs)
	}
	tenants, _ := c.ModuleSettings["tenants"].([]balance.Settings)
	for _, t := range tenants {
		name, _ := t["name"].(string)
		s.Tenant = append(s.Tenant, &settings.Tenant{Name: name})
	}
	return s, nil
}

// KnownNodes returns the node list of the configuration, which is the one that the marshal last held; nil if there is
// none.
func (c *Config) KnownNodes(log *slog.Logger) ([]control.NodeEntry, error) {
	if !c.knownList.IsObject() {
		return nil, nil
	}
	return c.newListReader(log).entries(c.knownList)
}

// newListReader returns a reader of discovery's lists.
func (c *Config) newListReader(log *slog.Logger) *listReader {
	return &listReader{c.names, c.now, c.wallClock, log}
}
