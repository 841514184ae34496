package balance

import "fmt"

// exampleHost is a Host for the examples: its clock is set by hand, and each action is printed as a short line.
type exampleHost struct {
	b          *Balancer
	now        float64
	quiet      bool
	timerFuncs []func()  // pending timers
	timerTimes []float64 // when each of them fires
	dispatches map[string]int
	lastNode   map[string]uint32         // node of each invocation's last dispatch
	latencyMs  func(node uint32) float64 // duration of a dispatch
	loadReport func(node uint32) map[string]float64
}

func (s *exampleHost) printf(format string, a ...any) {
	if !s.quiet {
		fmt.Printf("%6.0f  "+format+"\n", append([]any{s.now}, a...)...)
	}
}

func (s *exampleHost) Now() float64 { return s.now }
func (s *exampleHost) Dispatch(inv string, node uint32, timeLimitMs float64) {
	s.dispatches[inv]++
	s.lastNode[inv] = node
	s.printf("dispatch %s to node %d", inv, node)
}
func (s *exampleHost) Cancel(inv string, attempt int) {
	s.printf("cancel %s dispatch %d", inv, attempt)
}
func (s *exampleHost) Throttle(inv string, retryAfterMs float64) { s.printf("throttle %s", inv) }
func (s *exampleHost) Terminate(inv string)                      { s.printf("terminate %s", inv) }
func (s *exampleHost) Probe(node uint32)                         { s.printf("probe node %d", node) }
func (s *exampleHost) FetchNodes()                               { s.printf("fetch the list") }
func (s *exampleHost) WatchNodes(on bool)                        { s.printf("watch the list") }
func (s *exampleHost) SendToPeer(peer int, text string)          { s.printf("send to %d %q", peer, text) }
func (s *exampleHost) Log(text string)                           {}
func (s *exampleHost) Vote(ver, stage int, verdict Verdict) {
	defer func(quiet bool) { s.quiet = quiet }(s.quiet)
	s.quiet = false // votes are always printed
	s.printf("vote %s on build %d at stage %d", [...]string{"none", "on", "hold", "back"}[verdict], ver, stage)
}
func (s *exampleHost) SetTimer(afterMs float64, handle int64) {
	s.timerTimes = append(s.timerTimes, s.now+afterMs)
	s.timerFuncs = append(s.timerFuncs, func() { s.b.TimerFired(handle) })
}

// advanceTo advances the clock and fires the timers that are due.
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
		fire := s.timerFuncs[first]
		s.now = max(s.now, s.timerTimes[first])
		s.timerTimes = append(s.timerTimes[:first], s.timerTimes[first+1:]...)
		s.timerFuncs = append(s.timerFuncs[:first], s.timerFuncs[first+1:]...)
		fire()
	}
}

// newExample starts a Balancer with one operation, some settings overridden, and four nodes of build 1.
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

// arrive reports an invocation with a time limit of one second.
func (s *exampleHost) arrive(inv string) {
	s.b.InvocationArrived(inv, 0, 0, "k"+inv, 1000, 0, false, false)
}

// end reports the outcome of an invocation's last dispatch.
func (s *exampleHost) end(inv string, outcome Outcome) {
	attempt, node := s.dispatches[inv]-1, s.lastNode[inv]
	s.b.DispatchEnded(inv, attempt, node, outcome, s.latencyMs(node), outcome == Succeeded, s.loadReport(node))
}

// run processes n invocations, 20 ms apart, and prints nothing but votes.
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
