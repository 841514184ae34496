package day

import (
	"fmt"
	"math"
	"os"

	"github.com/tidwall/gjson"

	"arrowcleat/internal/settings"
)

const (
	maxNodes, maxMarshals = 24, 5 // what one machine can run together with the clients
	maxSeconds            = 120
)

// LoadBenchScenario converts a scenario file of the bench into a scenario whose size fits one machine. It takes over the
// kinds, times and shares of the faults and builds. Operations and rules stay those of the default scenario, which
// are about ten times as fast.
func LoadBenchScenario(path string) (*settings.Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	bench := gjson.ParseBytes(text)
	servers, marshals := len(bench.Get("servers").Array()), len(bench.Get("balancers").Array())
	if !gjson.ValidBytes(text) || servers == 0 || marshals == 0 || !bench.Get("length").Exists() {
		return nil, fmt.Errorf("%s: not a scenario of the bench: it needs length, servers and balancers", path)
	}
	d := DefaultScenario()
	d.Seconds = min(bench.Get("length").Num/1e6, maxSeconds)
	d.Nodes, d.Marshals = uint32(min(servers, maxNodes)), uint32(min(marshals, maxMarshals))
	d.Settings.Instance.Marshals = d.Marshals
	d.Trouble, d.Build = nil, nil
	for _, t := range bench.Get("troubles").Array() {
		name := t.Get("kind").Str
		if name == "bad_build" {
			continue // listed among the releases
		}
		if alias, ok := benchNames[name]; ok {
			name = alias
		}
		if faultKinds[name].start == nil {
			return nil, fmt.Errorf("%s: unknown trouble %q", path, name)
		}
		trouble := &settings.Trouble{Kind: name, AtS: t.Get("at").Num / 1e6, ForS: t.Get("len").Num / 1e6, Size: t.Get("size").Num,
			Extra: t.Get("extra").Num, How: t.Get("how").Str}
		total, count := servers, 0
		for _, i := range t.Get("on").Array() {
			if int(i.Num) < servers { // larger numbers are servers that start later
				count++
			}
		}
		switch name {
		case "marshal_stall":
			total = marshals
		case "marshal_roll":
			total = marshals
			trouble.How = ""
			for _, step := range t.Get("steps").Array() {
				count += len(step.Get("stop").Array())
			}
		case "slow_link": // the bench gives it in units of the shortest SLO time
			trouble.Size *= shortestSLOMs(d.Settings)
		case "roster_stale", "conveyor_down":
			trouble.Extra = trouble.Size
		}
		trouble.Part = math.Min(1, float64(count)/float64(total))
		d.Trouble = append(d.Trouble, trouble)
	}
	for _, r := range bench.Get("fam.releases").Array() {
		at, strength := r.Get("at").Num/1e6, r.Get("strength").Num
		if at >= d.Seconds {
			continue
		}
		b := &settings.Build{AtS: at, Fault: &settings.Fault{}}
		switch r.Get("bad").Str {
		case "errors":
			b.Fault.Errors = 0.05 + 0.3*strength
		case "class":
			b.Fault.Errors, b.Fault.ErrorsOp = 0.3+0.6*strength, uint32(min(r.Get("class").Int(), int64(len(d.WorkMs)-1)))+1
		case "slow":
			b.Fault.Work = 1.8 + 2*strength
		case "load":
			b.Fault.Work, b.Fault.Errors, b.Fault.BusyOver = 2, 0.3, 0.6-0.3*strength
		case "late":
			b.Fault.Work, b.Fault.Errors, b.Fault.AfterMs = 2, 0.3, 5000+4000*strength
		case "wrong":
			b.Fault.Wrong = 0.1 + 0.3*strength
		case "shared":
			b.Shared = 1.5 + 1.5*strength
		}
		d.Build = append(d.Build, b)
	}
	return d, nil
}

// shortestSLOMs returns the shortest SLO time of all operations.
func shortestSLOMs(s *settings.Settings) float64 {
	shortest := math.Inf(1)
	for _, o := range s.Operation {
		shortest = math.Min(shortest, o.SloMs)
	}
	return shortest
}
