package balance

import "fmt"

// stand is a Host for the examples: a clock set by hand, and every act printed as a short line.
type exampleHost struct {
	b          *Balancer
	now        float64
	quiet      bool
	timerFuncs []func() // timers, by when they fall due
	timerTimes []float64
	dispatches map[string]int
	lastNode   map[string]uint32
	latencyMs  func(node uint32) float64 // how long a dispatch takes, and what its node reports
	loadReport func(node uint32) map[string]float64
}

func (s *exampleHost) printf(format string, a ...any) {
	if !s.quiet {
		fmt.Printf("%6.0f  "+format+"\n", append([]any{s.now}, a...)...)
	}
}

func (s *exampleHost) Now() float64 { return s.now }
func (s *exampleHost) Dispatch(inv string, node uint32, timeLimit float64) {
	s.dispatches[inv]++
	s.lastNode[inv] = node
	s.printf("dispatch %s to node %d", inv, node)
}
func (s *exampleHost) Cancel(inv string, dispatch int) {
	s.printf("cancel %s dispatch %d", inv, dispatch)
}
func (s *exampleHost) Throttle(inv string, comeBack float64) { s.printf("throttle %s", inv) }
func (s *exampleHost) Terminate(inv string)                  { s.printf("terminate %s", inv) }
func (s *exampleHost) Probe(node uint32)                     { s.printf("probe node %d", node) }
func (s *exampleHost) FetchNodes()                           { s.printf("fetch the list") }
func (s *exampleHost) WatchNodes(on bool)                    { s.printf("watch the list") }
func (s *exampleHost) SendToPeer(peer int, text string)      { s.printf("tell %d %q", peer, text) }
func (s *exampleHost) Log(text string)                       {}
func (s *exampleHost) Vote(ver, stage int, verdict Verdict) {
	defer func(mute bool) { s.quiet = mute }(s.quiet)
	s.quiet = false // votes are always told
	s.printf("vote %s on build %d at stage %d", [...]string{"none", "on", "hold", "back"}[verdict], ver, stage)
}
func (s *exampleHost) SetTimer(after float64, handle int64) {
	s.timerTimes = append(s.timerTimes, s.now+after)
	s.timerFuncs = append(s.timerFuncs, func() { s.b.TimerFired(handle) })
}

// until lets time pass and timers fall due.
func (s *exampleHost) advanceTo(t float64) {
	for {
		first := -1
		for i, at := range s.timerTimes {
			if at <= t && (first < 0 || at < s.timerTimes[first]) {
				first = i
			}
		}
		if first < 0 {
			s.now = t
			return
		}
		act := s.timerFuncs[first]
		s.now = max(s.now, s.timerTimes[first])
		s.timerTimes = append(s.timerTimes[:first], s.timerTimes[first+1:]...)
		s.timerFuncs = append(s.timerFuncs[:first], s.timerFuncs[first+1:]...)
		act()
	}
}

// begin starts a marshal with one operation of the given kind, changed settings, and four nodes of build 1.
func newExample(repeatPolicy string, overrides Settings) *exampleHost {
	settings := Settings{"marshals": 1.0, "zone": 0.0, "discovery": "automatic", "limits.most-tries": 4.0,
		"limits.second-copies": false, "rules.fall-ms": 1000.0, "rules.fall-multiple": 2.0,
		"rules.cold-from": 0.3, "rules.warm-up-ms": 5000.0, "rollout.gate-mode": "any",
		"rollout.counted-over-ms": 4000.0, "rollout.allowance": 1.0, "rollout.cap-scope": "all",
		"rollout.shielded": 0.0, "rollout.api-rate": 10.0, "rollout.vote-ttl-ms": 4000.0,
		"rollout.most-shares": []float64{0.1, 1}, "rollout.stage-share": []float64{0.1, 1},
		"operations": []Settings{{"repeat": repeatPolicy, "group": "zone", "memory-ms": 3000.0, "slo-ms": 500.0}}}
	for name, v := range overrides {
		settings[name] = v
	}
	s := &exampleHost{now: 100000, dispatches: map[string]int{}, lastNode: map[string]uint32{},
		latencyMs:  func(uint32) float64 { return 50 },
		loadReport: func(uint32) map[string]float64 { return nil }}
	s.b = New(s, settings, 7)
	s.b.NodesListed(true, []Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1},
		{ID: 3, Ver: 1, Size: 1, Zone: 1}, {ID: 4, Ver: 1, Size: 1, Zone: 1}})
	s.b.StageUpdate(1, 0, Released, 1, 60000, false)
	return s
}

// arrive brings an invocation with the client's patience of a second.
func (s *exampleHost) arrive(inv string) {
	s.b.InvocationArrived(inv, 0, 0, "k"+inv, 1000, 0, false, false)
}

// end ends an invocation's last dispatch.
func (s *exampleHost) end(inv string, outcome Outcome) {
	attempt, node := s.dispatches[inv]-1, s.lastNode[inv]
	s.b.DispatchEnded(inv, attempt, node, outcome, s.latencyMs(node), outcome == Succeeded, s.loadReport(node))
}

// serve sends n invocations through, 20 ms apart, and prints none of it but votes.
func (s *exampleHost) run(n int, name string, end func(node uint32) Outcome) {
	for i := range n {
		inv := fmt.Sprint(name, i)
		s.quiet = true
		s.arrive(inv)
		for tries := s.dispatches[inv]; tries > 0; {
			outcome := end(s.lastNode[inv])
			s.end(inv, outcome)
			if outcome == Succeeded || s.dispatches[inv] == tries {
				break
			}
			tries = s.dispatches[inv]
		}
		s.quiet = false
		s.advanceTo(s.now + 20)
	}
}
