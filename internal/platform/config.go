// Package platform is the marshal on the operators' platform: its configuration, what the heads of its clients' requests
// say, and its ways to discovery, to the release API and to the other marshals. It decides nothing; docs/platform.md.
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

// The protocol's own figures.
const (
	maxBodyBytes          = 64 << 10 // bytes of a body
	maxDatagramBytes      = 256      // bytes between marshals
	firstRequestMs        = 2500.0   // from connecting to a whole first request, of the 3 s in which a client is owed something
	firstListMs           = 1000     // for discovery's agent, which is on this machine and answers at once unless it is silent
	reuseDelayMs          = 20       // a second answer may come some ms behind the first
	clientIdleMs          = 120000.0 // a connection that has served is kept while there is room
	drainMs               = 600.0    // after TERM, in which new connections go on coming
	defaultCallTimeoutMs  = 1000.0   // to connect to a node, or for a vote, where settings bound it by nothing
	killMarginMs          = 700.0    // beyond the longest limit, until KILL comes
	maxCountedLimitMs     = 3000.0   // a longer limit counts as this for KILL
	terminateBeforeKillMs = 250.0    // before KILL in which all is answered: a marshal may be held up for 150 ms of it
)

// Config is what the platform tells a marshal.
type Config struct {
	Settings             *settings.Settings
	ModuleSettings       balance.Settings // what the simulator gives an instance
	DiscoveryAddress     string
	ReleaseAPIAddress    string
	Cores                float64
	MemoryMB             float64
	EnvironmentConflicts []string // what the environment says otherwise; the configuration counts

	now             func() time.Time
	wallClock       func() time.Time
	initialRelease  gjson.Result
	knownList       gjson.Result
	peerListen      string // of datagrams
	peerAddresses   []string
	allPeersAddress string
	names           *nameTable
}

// killDelayMs is for how long after TERM there is no KILL.
func (c *Config) killDelayMs() float64 {
	longest := 0.0
	for _, o := range c.Settings.Operation {
		longest = max(longest, o.LimitMs)
	}
	return min(longest, maxCountedLimitMs) + killMarginMs
}

// environmentVariables say in the environment what fields of the configuration say.
var environmentVariables = map[string]string{"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY"}

// ReadConfig reads a configuration. The error names the field that is missing or wrong. What the environment says counts where the
// configuration does not say it.
func ReadConfig(path string, environment func(variable string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parse(string(text), environment)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parse(text string, environment func(string) string) (*Config, error) {
	if !gjson.Valid(text) {
		return nil, errors.New("not valid JSON")
	}
	j := gjson.Parse(text)
	for name, t := range map[string]gjson.Type{"listen": gjson.String, "discovery": gjson.String, "seed": gjson.String,
		"release_api.address": gjson.String, "settings": gjson.JSON, "limits.sockets": gjson.Number,
		"limits.memory_mb": gjson.Number, "limits.cores": gjson.Number} {
		if v := j.Get(name); !v.Exists() && environmentVariables[name] != "" && environment(environmentVariables[name]) != "" {
			continue
		} else if !v.Exists() {
			return nil, fmt.Errorf("%s: missing", name)
		} else if v.Type != t {
			return nil, fmt.Errorf("%s: not of the type %v", name, t)
		}
	}
	seed, err := strconv.ParseUint(j.Get("seed").Str, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.40q is no number of 64 bits in hex", j.Get("seed").Str)
	}
	said := func(name string) string {
		if v := j.Get(name); v.Exists() {
			return v.Str
		}
		return environment(environmentVariables[name])
	}
	c := &Config{now: time.Now, wallClock: time.Now, ModuleSettings: brief.Settings(j.Get("settings")), DiscoveryAddress: said("discovery"),
		ReleaseAPIAddress: j.Get("release_api.address").Str, Cores: j.Get("limits.cores").Num, MemoryMB: j.Get("limits.memory_mb").Num,
		initialRelease: j.Get("release_api.news"), knownList: j.Get("known"), peerListen: j.Get("peer_listen").Str,
		allPeersAddress: j.Get("peers_all").Str}
	for name, least := range map[string]float64{"limits.sockets": connlimit.Least, "limits.memory_mb": 8, "limits.cores": 0.001} {
		if v := j.Get(name).Num; v < least {
			return nil, fmt.Errorf("%s: %v is too little: at least %v", name, v, least)
		}
	}
	for name, variable := range environmentVariables {
		if other := environment(variable); other != "" && j.Get(name).Exists() && other != j.Get(name).Str {
			c.EnvironmentConflicts = append(c.EnvironmentConflicts, fmt.Sprintf("%s says %q, the configuration %q", variable, other, j.Get(name).Str))
		}
	}
	for _, a := range map[string]string{"listen": said("listen"), "discovery": c.DiscoveryAddress, "release_api.address": c.ReleaseAPIAddress} {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("%.60q is no host:port", a)
		}
	}
	for _, p := range j.Get("peers").Array() {
		c.peerAddresses = append(c.peerAddresses, p.Str)
	}
	if may, _ := c.ModuleSettings["limits.may-tell"].(bool); !may {
		c.peerListen = ""
	}
	c.Settings, err = c.marshalSettings(said("listen"), int(j.Get("limits.sockets").Num))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Settings.Seed = seed
	return c, nil
}

// orDefault is a time that settings may leave out.
func orDefault(ms, absent float64) float64 {
	if ms > 0 {
		return ms
	}
	return absent
}

// marshalSettings are the marshal's own, for its clients' side and its connections to nodes. The module gets the platform's.
func (c *Config) marshalSettings(listen string, sockets int) (*settings.Settings, error) {
	num := func(name string) float64 { v, _ := c.ModuleSettings[name].(float64); return v }
	c.names = &nameTable{}
	c.names.zones, _ = c.ModuleSettings["zones"].([]string)
	c.names.models, _ = c.ModuleSettings["models"].([]string)
	zones := c.names.zones
	if len(zones) == 0 { // a customer without zones: all is one
		zones = []string{""}
	}
	zone := int(num("zone"))
	if zone < 0 || zone >= len(zones) {
		return nil, fmt.Errorf("the own zone, %d, is none of %d", zone, len(zones))
	}
	clients, nodes := connlimit.Divide(sockets)
	s := &settings.Settings{
		Instance: &settings.Instance{Number: uint32(num("number")), Marshals: uint32(num("marshals")), Zone: zones[zone]},
		Listen:   &settings.Listen{Invocations: listen},
		Zone:     zones,
		Model:    c.names.models,
		Headers: &settings.Headers{Tenant: "X-Customer", Key: "X-Object", Mark: "Idempotency-Key", TimeMs: "X-Expires-In-Ms",
			TurnedAway: "X-Never-Ran"},
		Limits: &settings.Limits{Connections: uint32(clients), Open: uint32(clients), Queue: uint32(clients), LineBytes: 4096,
			HeaderBytes: 16 << 10, RepeatBodyBytes: maxBodyBytes + 1, HeldAnswerBytes: maxBodyBytes + 1, IdlePerNode: uint32(nodes),
			Probes: true, ProbePath: "/load"},
		Times: &settings.Times{HeaderMs: firstRequestMs, BodyMs: firstRequestMs, WriteMs: 1000, IdleMs: clientIdleMs, DialMs: orDefault(num("limits.dial-timeout-ms"), defaultCallTimeoutMs),
			NodeIdleMs: num("limits.conn-idle-ms") * 0.9, AnswerMs: 5},
		Roster: &settings.Roster{}, Conveyor: &settings.Conveyor{}, Record: &settings.Record{},
		Rules:   &settings.Rules{GraceMs: num("rules.stop-sending-within-ms")},
		Rollout: &settings.Rollout{VoteTimeoutMs: orDefault(num("rollout.api-timeout-ms"), defaultCallTimeoutMs)},
		Log:     &settings.Log{Level: "warn", Form: "text"},
	}
	ops, _ := c.ModuleSettings["operations"].([]balance.Settings)
	if len(ops) == 0 {
		return nil, errors.New("no operation")
	}
	for _, o := range ops {
		text := func(name string) string { v, _ := o[name].(string); return v }
		repeat, ok := map[string]settings.Repeat{"idempotent": settings.Repeat_IDEMPOTENT,
			"fingerprinted": settings.Repeat_FINGERPRINTED, "side-effecting": settings.Repeat_SIDE_EFFECTING}[text("repeat")]
		limit, _ := o["limit-ms"].(float64)
		memory, _ := o["memory-ms"].(float64)
		if !ok || text("name") == "" || limit <= 0 {
			return nil, fmt.Errorf("operation %q: name, repeat or time limit is missing or unknown", text("name"))
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

// KnownNodes is the list as the marshal last held it.
func (c *Config) KnownNodes(log *slog.Logger) ([]control.NodeEntry, error) {
	if !c.knownList.IsObject() {
		return nil, nil
	}
	return c.newListReader(log).entries(c.knownList)
}

func (c *Config) newListReader(log *slog.Logger) *listReader {
	return &listReader{c.names, c.now, c.wallClock, log}
}
