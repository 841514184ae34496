// Package day plays a scripted day on loopback sockets: stand-ins, marshals and clients, with troubles, as parts
// of this process or as processes of their own, and hands what passed on the sockets to the audit.
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

// DefaultScenario is the day that is played when none is named.
func DefaultScenario() *settings.Day {
	d, err := parseScenario("default.txtpb", defaultScenario)
	if err != nil {
		panic(err) // it is part of the program
	}
	return d
}

// LoadScenario reads a day from a file.
func LoadScenario(path string) (*settings.Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, text)
}

func parseScenario(name string, text []byte) (*settings.Day, error) {
	d := &settings.Day{}
	if err := prototext.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if d.Settings == nil {
		return nil, fmt.Errorf("%s: settings: the block is missing: which settings do the marshals have?", name)
	}
	d.Settings.Instance.Marshals = d.Marshals
	set, err := settings.Parse(name+": settings", d.Settings.Text())
	if err != nil {
		return nil, err
	}
	d.Settings = set // with every block there
	if err := validate(d); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for i, t := range d.Trouble {
		if faultKinds[t.Kind].start == nil {
			return nil, fmt.Errorf("%s: trouble %d: no kind is called %q; there are %s", name, i+1, t.Kind,
				strings.Join(FaultKinds(), ", "))
		}
	}
	if d.Habits == nil {
		d.Habits = &settings.Habits{PatienceLeast: 1}
	}
	return d, nil
}

// Resize gives a day other numbers; 0 leaves one as it is.
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

// validate checks a day's numbers.
func validate(d *settings.Day) error {
	for _, check := range []struct {
		is   bool
		what string
	}{
		{d.Seconds <= 0 || d.Seconds > 3600, "seconds: from above 0 to 3600"},
		{d.Marshals == 0 || d.Marshals > 100, "marshals: from 1 to 100"},
		{d.Nodes == 0 || d.Nodes > 1000, "nodes: from 1 to 1000"},
		{d.Cores == 0, "cores: 1 at least"},
		{d.Rate <= 0 || d.Rate > 20000, "rate: from above 0 to 20000 invocations a second"},
		{len(d.WorkMs) != len(d.Settings.Operation), "work_ms: one for each operation"},
		{len(d.Mix) != len(d.Settings.Operation), "mix: one for each operation"},
		{len(d.Speed) == 0, "speed: one at least"},
	} {
		if check.is {
			return errors.New(check.what)
		}
	}
	return nil
}

// FaultKinds lists the troubles.
func FaultKinds() []string {
	var all []string
	for k := range faultKinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return append(all, "bad_build")
}

// benchNames are names by which others know a trouble.
var benchNames = map[string]string{"balancer_roll": "marshal_roll", "balancer_stall": "marshal_stall",
	"control_down": "conveyor_down", "discovery_stale": "roster_stale"}

// DefaultWithFault gives the default day with one trouble only, at its middle strength, in place of the script.
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
		return nil, fmt.Errorf("no trouble is called %q; there are %s", kind, strings.Join(FaultKinds(), ", "))
	}
	t := k.defaults
	d.Trouble = nil
	for _, how := range append(k.variants, "")[:max(1, len(k.variants))] { // each way it can come, one after the other
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
