// Package day runs a scripted scenario on loopback sockets. It starts stand-in nodes, a service registry, a rollout
// service, marshals and clients, in this process or as processes of their own, injects the faults of the scenario, and
// has package audit check the records of the sockets.
package day

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"

	"arrowcleat/internal/settings"
)

//go:embed default.txtpb
var defaultScenario []byte

// DefaultScenario returns the built-in scenario.
func DefaultScenario() *settings.Day {
	d, err := parseScenario("default.txtpb", defaultScenario)
	if err != nil {
		panic(err) // it is embedded in the program
	}
	return d
}

// LoadScenario reads a scenario from a file.
func LoadScenario(path string) (*settings.Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, text)
}

// parseScenario parses and checks a scenario in protobuf text format.
func parseScenario(name string, text []byte) (*settings.Day, error) {
	d := &settings.Day{}
	if err := prototext.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if d.Settings == nil {
		return nil, fmt.Errorf("%s: settings: block is missing: it holds the settings of the marshals", name)
	}
	d.Settings.Instance.Marshals = d.Marshals
	set, err := settings.Parse(name+": settings", d.Settings.Text())
	if err != nil {
		return nil, err
	}
	d.Settings = set // with all blocks present
	if err := validate(d); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for i, t := range d.Trouble {
		if faultKinds[t.Kind].start == nil {
			return nil, fmt.Errorf("%s: trouble %d: unknown kind %q; known kinds: %s", name, i+1, t.Kind,
				strings.Join(FaultKinds(), ", "))
		}
	}
	if d.Habits == nil {
		d.Habits = &settings.Habits{PatienceLeast: 1}
	}
	return d, nil
}

// Resize changes the numbers of nodes and marshals and the rate of a scenario; 0 leaves a number as it is.
func Resize(d *settings.Day, nodes, marshals uint32, rate float64) error {
	if nodes > 0 {
		d.Nodes = nodes
	}
	if marshals > 0 {
		d.Marshals, d.Settings.Instance.Marshals = marshals, marshals
	}
	if rate != 0 {
		d.Rate = rate
	}
	return validate(d)
}

// validate checks the numbers of a scenario.
func validate(d *settings.Day) error {
	for _, check := range []struct {
		invalid bool
		message string
	}{
		{d.Seconds <= 0 || d.Seconds > 3600, "seconds: must be above 0 and at most 3600"},
		{d.Marshals == 0 || d.Marshals > 100, "marshals: must be from 1 to 100"},
		{d.Nodes == 0 || d.Nodes > 1000, "nodes: must be from 1 to 1000"},
		{d.Cores == 0, "cores: must be at least 1"},
		{d.Rate <= 0 || d.Rate > 20000, "rate: must be above 0 and at most 20000 invocations per second"},
		{len(d.WorkMs) != len(d.Settings.Operation), "work_ms: needs one value for each operation"},
		{len(d.Mix) != len(d.Settings.Operation), "mix: needs one value for each operation"},
		{len(d.Speed) == 0, "speed: needs at least one value"},
	} {
		if check.invalid {
			return errors.New(check.message)
		}
	}
	return nil
}

// FaultKinds lists the names of all kinds of faults.
func FaultKinds() []string {
	var all []string
	for k := range faultKinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return append(all, "bad_build")
}

// benchNames maps the bench's names of faults to the names used here.
var benchNames = map[string]string{"balancer_roll": "marshal_roll", "balancer_stall": "marshal_stall",
	"control_down": "conveyor_down", "discovery_stale": "roster_stale"}

// DefaultWithFault returns the default scenario with one kind of fault, at medium strength, in place of all others.
func DefaultWithFault(kind string) (*settings.Day, error) {
	d := DefaultScenario()
	if ours, ok := benchNames[kind]; ok {
		kind = ours
	}
	if kind == "bad_build" {
		d.Trouble, d.Build = nil, []*settings.Build{{AtS: 2, Fault: &settings.Fault{Errors: 0.3}}}
		return d, nil
	}
	k, ok := faultKinds[kind]
	if !ok {
		return nil, fmt.Errorf("unknown trouble %q; known troubles: %s", kind, strings.Join(FaultKinds(), ", "))
	}
	t := k.defaults
	d.Trouble = nil
	for _, how := range append(k.variants, "")[:max(1, len(k.variants))] { // all variants, one after the other
		n := &settings.Trouble{Kind: kind, ForS: t.ForS, Part: t.Part, Size: t.Size, Extra: t.Extra, How: how}
		n.AtS = 4 + 5*float64(len(d.Trouble))
		if n.AtS+n.ForS > d.Seconds-1 {
			n.ForS = math.Max(1, d.Seconds-1-n.AtS)
		}
		d.Trouble = append(d.Trouble, n)
	}
	d.Build = d.Build[:1]
	return d, nil
}
