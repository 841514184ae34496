package main

import (
	"fmt"
	"time"
)

// playJump has the platform be silent to one marshal for 7.8 s. Meanwhile build 42 is offered and goes back, and then
// build 43 is offered. The first word of a node with build 42 reaches the marshals after that, less than 6 s late.
func playJump(g *rig) (broken bool, err error) {
	const marshals, nodes = 2, 9
	d := smallDeployment()
	d.marshals, d.tell = marshals, true
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var hosts []host
	for i := range nodes {
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], 41, seen, answered, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, n.host)
	}
	peers, err := g.newPeering(marshals)
	if err != nil {
		return false, err
	}
	var agents []*agent
	var apis []*releaseAPI
	var all []*marshal
	live := stage{build: 41, wave: 3, state: "live", cap: 1, since: time.Now().Add(-time.Minute)}
	for i := range marshals {
		a, err := g.newAgent(i, hosts...)
		if err != nil {
			return false, err
		}
		p, err := g.newReleaseAPI(i, live)
		if err != nil {
			return false, err
		}
		m, err := g.startMarshal(i, d, a, p, hosts, peers)
		if err != nil {
			return false, err
		}
		agents, apis, all = append(agents, a), append(apis, p), append(all, m)
	}
	for _, m := range all {
		g.startLoad(m, 16, 200)
	}
	tell := func(h host) {
		for _, a := range agents {
			a.store(h)
		}
	}
	setStage := func(s stage) {
		for _, p := range apis {
			p.set(func() { p.stage = s })
		}
	}
	time.Sleep(6 * time.Second)
	if g.trouble {
		g.add("the platform falls silent to marshal 0")
		apis[0].set(func() { apis[0].silent = true })
	}
	silentSince := time.Now()
	at := func(s float64) { time.Sleep(time.Until(silentSince.Add(time.Duration(s * float64(time.Second))))) }
	at(0.5)
	g.add("build 42 is offered")
	setStage(stage{build: 42, state: "testing", cap: 0.04, since: time.Now()})
	at(2.7)
	second, err := g.newNode("s-20", "north", 42, seen, answered, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	second.host.bornMs = time.Now().UnixMilli()
	g.add("node s-20 runs with build 42; word of it is late")
	at(5)
	g.add("build 42 is voted back and goes back")
	setStage(stage{build: 42, state: "recalling", since: time.Now()})
	at(7.5)
	g.add("build 43 is offered")
	setStage(stage{build: 43, state: "testing", cap: 0.04, since: time.Now()})
	at(7.8)
	if g.trouble {
		g.add("the platform speaks to marshal 0 again")
		apis[0].set(func() { apis[0].silent = false })
	}
	at(8.5) // 5.8 s after the node's start
	second.host.health = "terminating"
	tell(second.host)
	at(9.5)
	third, err := g.newNode("s-21", "north", 43, seen, answered, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	third.host.bornMs = time.Now().UnixMilli()
	at(10)
	tell(third.host)
	for range 250 {
		time.Sleep(100 * time.Millisecond)
		ended := 0
		for _, m := range all {
			if m.hasEnded() {
				ended++
			}
		}
		if ended == len(all) {
			break
		}
	}
	for _, m := range all {
		if m.hasEnded() {
			broken = true
			g.add("marshal %d crashed", m.number)
			m.logTail(60)
		}
	}
	return broken, nil
}
