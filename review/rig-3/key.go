package main

import (
	"fmt"
	"time"
)

// playKey has the platform be silent for 10 s. Meanwhile the build on trial is voted back and the next one is offered.
// Nodes of both are listed, as going back waits for new nodes. A key that the newer build has answered must go to no
// earlier one.
func playKey(g *rig) (broken bool, err error) {
	d := smallDeployment()
	d.marshals, d.forward, d.shielded, d.window, d.allowance, d.caps = 3, true, 0, 2, 1, "0.042,0.17,0.56,1.0"
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var nodes []*node
	var hosts []host
	for i := range 9 {
		build := 41
		if i >= 6 {
			build = 42
		}
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], build, seen, answered, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		nodes, hosts = append(nodes, n), append(hosts, n.host)
	}
	a, err := g.newAgent(0, hosts...)
	if err != nil {
		return false, err
	}
	p, err := g.newReleaseAPI(0, stage{build: 42, wave: 2, state: "testing", cap: 0.56, since: time.Now()})
	if err != nil {
		return false, err
	}
	m, err := g.startMarshal(0, d, a, p, hosts, nil)
	if err != nil {
		return false, err
	}
	l := g.startLoad(m, 40, 30)
	time.Sleep(2500 * time.Millisecond)
	if g.trouble {
		g.add("the platform falls silent")
		p.set(func() { p.silent = true })
	}
	time.Sleep(500 * time.Millisecond)
	g.add("build 42 is voted back")
	p.set(func() { p.stage = stage{build: 42, wave: 2, state: "recalling", since: time.Now()} })
	time.Sleep(3 * time.Second)
	g.add("build 43 is offered")
	p.set(func() { p.stage = stage{build: 43, state: "testing", cap: 0.042, since: time.Now()} })
	time.Sleep(1500 * time.Millisecond)
	next, err := g.newNode("s-20", "north", 43, seen, answered, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	next.host.bornMs = time.Now().UnixMilli()
	a.store(next.host)
	time.Sleep(5 * time.Second)
	g.add("the nodes of build 42 drain")
	for _, n := range nodes[6:] {
		n.host.health = "terminating"
		a.store(n.host)
	}
	if g.trouble {
		g.add("the platform speaks again")
		p.set(func() { p.silent = false })
	}
	time.Sleep(2 * time.Second)
	l.end()
	if m.hasEnded() {
		m.logTail(30)
		return false, fmt.Errorf("the marshal has ended")
	}
	first := map[string]time.Time{} // by key: the first answer of build 43
	for _, x := range answered.list() {
		if _, known := first[x.key]; !known && x.build == 43 {
			first[x.key] = x.at
		}
	}
	// An attempt that was decided on while the answer was on its way does not count.
	const onItsWay = 50 * time.Millisecond
	back := 0
	for _, x := range seen.list() {
		if at, known := first[x.key]; known && x.build < 43 && x.at.Sub(at) > onItsWay {
			back++
			g.add("%s of %s went to build %d although build 43 had answered that key %v before", x.id, x.key, x.build, x.at.Sub(at))
		}
	}
	g.add("requests sent: %d; served: %d; keys that build 43 answered: %d; later attempts with them at earlier builds: %d",
		l.sent.Load(), l.served.Load(), len(first), back)
	return back > 0, nil
}
