package main

import (
	"fmt"
	"time"
)

// playPart has the platform cut one event short. Its connection stays open, and signs of life go on. Later the build on
// trial is voted back, which the platform tells whole.
func playPart(g *rig) (broken bool, err error) {
	d := smallDeployment()
	d.marshals = 3
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var hosts []host
	for i := range 9 {
		build := 41
		if i == 0 {
			build = 42
		}
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], build, seen, answered, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, n.host)
	}
	a, err := g.newAgent(0, hosts...)
	if err != nil {
		return false, err
	}
	p, err := g.newReleaseAPI(0, stage{build: 42, state: "testing", cap: 0.04, since: time.Now()})
	if err != nil {
		return false, err
	}
	m, err := g.startMarshal(0, d, a, p, hosts, nil)
	if err != nil {
		return false, err
	}
	l := g.startLoad(m, 40, 200)
	time.Sleep(6 * time.Second)
	g.add("build 42 is voted on to its second stage")
	p.set(func() {
		p.spoil = g.trouble
		p.stage = stage{build: 42, wave: 1, state: "testing", cap: 0.15, since: time.Now()}
	})
	time.Sleep(2500 * time.Millisecond)
	g.add("build 42 is voted back")
	p.set(func() { p.stage = stage{build: 42, wave: 1, state: "recalling", since: time.Now()} })
	told := time.Now()
	// A lower cap binds after the grace of 1 s; 0.15 s and two attempts more are allowed on sockets.
	const binds, allowed = 1200 * time.Millisecond, 2
	time.Sleep(12 * time.Second)
	l.end()
	if m.hasEnded() {
		m.logTail(30)
		return false, fmt.Errorf("the marshal has ended")
	}
	late, taken := 0, l.sent.Load()
	for _, x := range seen.list() {
		if x.build == 42 && x.at.Sub(told) > binds {
			late++
		}
	}
	g.add("requests sent: %d; served: %d; attempts at build 42 more than %v after its cap of 0 was told: %d, allowed: %d", taken,
		l.served.Load(), binds, late, allowed)
	return late > allowed, nil
}
