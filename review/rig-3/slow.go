package main

import (
	"fmt"
	"time"
)

// playSlow starts a marshal whose discovery takes 4 s to answer a watch. The list that the marshal held last is old: one
// of its nodes drains.
func playSlow(g *rig) (broken bool, err error) {
	d := smallDeployment()
	d.marshals = 3
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var known, listed []host
	for i := range 9 {
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], 41, seen, answered, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		known = append(known, n.host)
		if i == 0 {
			n.host.health = "terminating"
		}
		listed = append(listed, n.host)
	}
	a, err := g.newAgent(0, listed...)
	if err != nil {
		return false, err
	}
	if g.trouble {
		a.delay = 4 * time.Second
	}
	p, err := g.newReleaseAPI(0, stage{build: 41, wave: 3, state: "live", cap: 1, since: time.Now().Add(-time.Minute)})
	if err != nil {
		return false, err
	}
	began := time.Now()
	m, err := g.startMarshal(0, d, a, p, known, nil)
	if err != nil {
		return false, err
	}
	l := g.startLoad(m, 40, 200)
	time.Sleep(25 * time.Second)
	l.end()
	if m.hasEnded() {
		return false, fmt.Errorf("the marshal has ended")
	}
	// Told at the latest 6 s after the start, when discovery had it and could be reached; then 1 s of grace, and 50 ms.
	const told, grace = 6 * time.Second, 1050 * time.Millisecond
	late := 0
	for _, x := range seen.list() {
		if x.node == "s-0" && x.at.Sub(began) > told+grace {
			late++
		}
	}
	g.add("requests sent: %d; served: %d; attempts at the draining node after %v: %d", l.sent.Load(), l.served.Load(), told+grace, late)
	return late > 0, nil
}
