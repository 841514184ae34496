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
	mostBody     = 64 << 10 // bytes of a body
	mostDatagram = 256      // bytes between marshals
	firstMs      = 2500.0   // from connecting to a whole first request, of the 3 s in which a client is owed something
	firstListMs  = 1000     // for discovery's agent, which is on this machine and answers at once unless it is silent
	settleMs     = 20       // a second answer may come some ms behind the first
	idleMs       = 120000.0 // a connection that has served is kept while there is room
	drainMs      = 600.0    // after TERM, in which new connections go on coming
	callMs       = 1000.0   // to connect to a node, or for a vote, where settings bound it by nothing
	restMs       = 700.0    // beyond the longest limit, until KILL comes
	longestMs    = 3000.0   // a longer limit counts as this for KILL
	lastMs       = 250.0    // before KILL in which all is answered: a marshal may be held up for 150 ms of it
)

// Config is what the platform tells a marshal.
type Config struct {
	Set       *settings.Settings
	Module    balance.Settings // what the simulator gives an instance
	Discovery string
	API       string
	Cores     float64
	MemoryMB  float64
	Differs   []string // what the environment says otherwise; the configuration counts

	now    func() time.Time
	wall   func() time.Time
	news   gjson.Result
	known  gjson.Result
	listen string // of datagrams
	peers  []string
	all    string
	names  *names
}

// killMs is for how long after TERM there is no KILL.
func (c *Config) killMs() float64 {
	longest := 0.0
	for _, o := range c.Set.Operation {
		longest = max(longest, o.LimitMs)
	}
	return min(longest, longestMs) + restMs
}

// variables say in the environment what fields of the configuration say.
var variables = map[string]string{"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY"}

// Read reads a configuration. The error names the field that is missing or wrong. What the environment says counts where the
// configuration does not say it.
func Read(path string, environment func(variable string) string) (*Config, error) {
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
		if v := j.Get(name); !v.Exists() && variables[name] != "" && environment(variables[name]) != "" {
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
		return environment(variables[name])
	}
	c := &Config{now: time.Now, wall: time.Now, Module: brief.Decode(j.Get("settings")), Discovery: said("discovery"),
		API: j.Get("release_api.address").Str, Cores: j.Get("limits.cores").Num, MemoryMB: j.Get("limits.memory_mb").Num,
		news: j.Get("release_api.news"), known: j.Get("known"), listen: j.Get("peer_listen").Str,
		all: j.Get("peers_all").Str}
	for name, least := range map[string]float64{"limits.sockets": connlimit.MinDescriptors, "limits.memory_mb": 8, "limits.cores": 0.001} {
		if v := j.Get(name).Num; v < least {
			return nil, fmt.Errorf("%s: %v is too little: at least %v", name, v, least)
		}
	}
	for name, variable := range variables {
		if other := environment(variable); other != "" && j.Get(name).Exists() && other != j.Get(name).Str {
			c.Differs = append(c.Differs, fmt.Sprintf("%s says %q, the configuration %q", variable, other, j.Get(name).Str))
		}
	}
	for _, a := range map[string]string{"listen": said("listen"), "discovery": c.Discovery, "release_api.address": c.API} {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("%.60q is no host:port", a)
		}
	}
	for _, p := range j.Get("peers").Array() {
		c.peers = append(c.peers, p.Str)
	}
	if may, _ := c.Module["limits.may-tell"].(bool); !may {
		c.listen = ""
	}
	c.Set, err = c.settings(said("listen"), int(j.Get("limits.sockets").Num))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Set.Seed = seed
	return c, nil
}

// or is a time that settings may leave out.
func or(ms, absent float64) float64 {
	if ms > 0 {
		return ms
	}
	return absent
}

// settings are the marshal's own, for its clients' side and its connections to nodes. The module gets the platform's.
func (c *Config) settings(listen string, sockets int) (*settings.Settings, error) {
	num := func(name string) float64 { v, _ := c.Module[name].(float64); return v }
	c.names = &names{}
	c.names.zones, _ = c.Module["zones"].([]string)
	c.names.models, _ = c.Module["models"].([]string)
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
			HeaderBytes: 16 << 10, RepeatBodyBytes: mostBody + 1, HeldAnswerBytes: mostBody + 1, IdlePerNode: uint32(nodes),
			Probes: true, ProbePath: "/load"},
		Times: &settings.Times{HeaderMs: firstMs, BodyMs: firstMs, WriteMs: 1000, IdleMs: idleMs, DialMs: or(num("limits.dial-timeout-ms"), callMs),
			NodeIdleMs: num("limits.conn-idle-ms") * 0.9, AnswerMs: 5},
		Roster: &settings.Roster{}, Conveyor: &settings.Conveyor{}, Record: &settings.Record{},
		Rules:   &settings.Rules{GraceMs: num("rules.stop-sending-within-ms")},
		Rollout: &settings.Rollout{VoteTimeoutMs: or(num("rollout.api-timeout-ms"), callMs)},
		Log:     &settings.Log{Level: "warn", Form: "text"},
	}
	ops, _ := c.Module["operations"].([]balance.Settings)
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
		s.Times.StopMs = max(s.Times.StopMs, limit+restMs)
	}
	tenants, _ := c.Module["tenants"].([]balance.Settings)
	for _, t := range tenants {
		name, _ := t["name"].(string)
		s.Tenant = append(s.Tenant, &settings.Tenant{Name: name})
	}
	return s, nil
}

// Known is the list as the marshal last held it.
func (c *Config) Known(log *slog.Logger) ([]control.Line, error) {
	if !c.known.IsObject() {
		return nil, nil
	}
	return c.reader(log).lines(c.known)
}

func (c *Config) reader(log *slog.Logger) *reader { return &reader{c.names, c.now, c.wall, log} }
