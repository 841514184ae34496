package balance

import "fmt"

// stand is a Host for the examples: a clock set by hand, and every act printed as a short line.
type stand struct {
	b     *Balancer
	now   float64
	mute  bool
	acts  []func() // timers, by when they fall due
	due   []float64
	sent  map[string]int
	where map[string]uint32
	took  func(node uint32) float64 // how long a dispatch takes, and what its node reports
	tells func(node uint32) map[string]float64
}

func (s *stand) say(format string, a ...any) {
	if !s.mute {
		fmt.Printf("%6.0f  "+format+"\n", append([]any{s.now}, a...)...)
	}
}

func (s *stand) Now() float64 { return s.now }
func (s *stand) Dispatch(inv string, node uint32, timeLimit float64) {
	s.sent[inv]++
	s.where[inv] = node
	s.say("dispatch %s to node %d", inv, node)
}
func (s *stand) Cancel(inv string, dispatch int)       { s.say("cancel %s dispatch %d", inv, dispatch) }
func (s *stand) Throttle(inv string, comeBack float64) { s.say("throttle %s", inv) }
func (s *stand) Terminate(inv string)                  { s.say("terminate %s", inv) }
func (s *stand) Probe(node uint32)                     { s.say("probe node %d", node) }
func (s *stand) FetchNodes()                           { s.say("fetch the list") }
func (s *stand) WatchNodes(on bool)                    { s.say("watch the list") }
func (s *stand) SendToPeer(peer int, text string)      { s.say("tell %d %q", peer, text) }
func (s *stand) Log(text string)                       {}
func (s *stand) Vote(ver, stage int, verdict Verdict) {
	defer func(mute bool) { s.mute = mute }(s.mute)
	s.mute = false // votes are always told
	s.say("vote %s on build %d at stage %d", [...]string{"none", "on", "hold", "back"}[verdict], ver, stage)
}
func (s *stand) SetTimer(after float64, handle int64) {
	s.due = append(s.due, s.now+after)
	s.acts = append(s.acts, func() { s.b.TimerFired(handle) })
}

// until lets time pass and timers fall due.
func (s *stand) until(t float64) {
	for {
		first := -1
		for i, at := range s.due {
			if at <= t && (first < 0 || at < s.due[first]) {
				first = i
			}
		}
		if first < 0 {
			s.now = t
			return
		}
		act := s.acts[first]
		s.now = max(s.now, s.due[first])
		s.due = append(s.due[:first], s.due[first+1:]...)
		s.acts = append(s.acts[:first], s.acts[first+1:]...)
		act()
	}
}

// begin starts a marshal with one operation of the given kind, changed settings, and four nodes of build 1.
func begin(kind string, change Settings) *stand {
	set := Settings{"marshals": 1.0, "zone": 0.0, "discovery": "automatic", "limits.most-tries": 4.0,
		"limits.second-copies": false, "rules.fall-ms": 1000.0, "rules.fall-multiple": 2.0,
		"rules.cold-from": 0.3, "rules.warm-up-ms": 5000.0, "rollout.gate-mode": "any",
		"rollout.counted-over-ms": 4000.0, "rollout.allowance": 1.0, "rollout.cap-scope": "all",
		"rollout.shielded": 0.0, "rollout.api-rate": 10.0, "rollout.vote-ttl-ms": 4000.0,
		"rollout.most-shares": []float64{0.1, 1}, "rollout.stage-share": []float64{0.1, 1},
		"operations": []Settings{{"repeat": kind, "group": "zone", "memory-ms": 3000.0, "slo-ms": 500.0}}}
	for name, v := range change {
		set[name] = v
	}
	s := &stand{now: 100000, sent: map[string]int{}, where: map[string]uint32{},
		took:  func(uint32) float64 { return 50 },
		tells: func(uint32) map[string]float64 { return nil }}
	s.b = New(s, set, 7)
	s.b.NodesListed(true, []Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1},
		{ID: 3, Ver: 1, Size: 1, Zone: 1}, {ID: 4, Ver: 1, Size: 1, Zone: 1}})
	s.b.StageUpdate(1, 0, Released, 1, 60000, false)
	return s
}

// arrive brings an invocation with the client's patience of a second.
func (s *stand) arrive(inv string) { s.b.InvocationArrived(inv, 0, 0, "k"+inv, 1000, 0, false, false) }

// end ends an invocation's last dispatch.
func (s *stand) end(inv string, how Outcome) {
	no, node := s.sent[inv]-1, s.where[inv]
	s.b.DispatchEnded(inv, no, node, how, s.took(node), how == Succeeded, s.tells(node))
}

// serve sends n invocations through, 20 ms apart, and prints none of it but votes.
func (s *stand) serve(n int, name string, end func(node uint32) Outcome) {
	for i := range n {
		inv := fmt.Sprint(name, i)
		s.mute = true
		s.arrive(inv)
		for tries := s.sent[inv]; tries > 0; {
			how := end(s.where[inv])
			s.end(inv, how)
			if how == Succeeded || s.sent[inv] == tries {
				break
			}
			tries = s.sent[inv]
		}
		s.mute = false
		s.until(s.now + 20)
	}
}
