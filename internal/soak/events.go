package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/standin"
)

// Event is something that happens to nodes, lists or builds.
type Event int

// The events.
const (
	DrainNode     Event = iota // a node drains, and then goes
	KillNode                   // a node is killed; the list says so late
	AddNode                    // another node is listed
	SilenceAgents              // the agents write nothing for a while
	ChangeRelease              // the newest build goes on, or back, or another comes
)

// playEvents has things happen to nodes, lists and builds until it is told to end.
func (tb *testbed) startEvents() (end func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(tb.run.plan.Seed, 4))
	events := map[Event]func(*rand.Rand, <-chan struct{}){DrainNode: tb.drainNode, KillNode: tb.killNode, AddNode: tb.addNode, SilenceAgents: tb.silenceAgents, ChangeRelease: tb.changeRelease}
	kinds := tb.run.plan.EventKinds
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(between(rnd, tb.run.plan.EventInterval/2, 2*tb.run.plan.EventInterval)):
			}
			event, seed := events[kinds[rnd.IntN(len(kinds))]], rnd.Uint64()
			wg.Go(func() { event(rand.New(rand.NewPCG(seed, 5)), done) })
		}
	})
	return func() { close(done); wg.Wait() }
}

// serving gives one of the nodes that serve, if enough are left without it.
func (tb *testbed) drawServing(rnd *rand.Rand) (h standin.Host, ok bool) {
	const least = 3
	var all []standin.Host
	for i := 1; i <= tb.lastNode; i++ { // in an order that the seed gives
		for _, h := range tb.hosts {
			if int(h.NodeID) == i && h.Health == standin.InService {
				all = append(all, h)
			}
		}
	}
	if len(all) <= least {
		return h, false
	}
	return all[rnd.IntN(len(all))], true
}

// take changes the health of a node that serves.
func (tb *testbed) changeHealth(rnd *rand.Rand, health string) (h standin.Host, n *standin.PlatformNode, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if h, ok = tb.drawServing(rnd); !ok {
		return h, nil, false
	}
	h.Health = health
	tb.publish(h)
	return h, tb.nodes[h.Name], true
}

func sleep(d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-done:
	}
}

// drain has a node drain, and then go.
func (tb *testbed) drainNode(rnd *rand.Rand, done <-chan struct{}) {
	h, n, ok := tb.changeHealth(rnd, standin.Terminating)
	if !ok {
		return
	}
	sleep(tb.run.plan.DrainGrace+between(rnd, 0, 800*time.Millisecond), done)
	tb.mu.Lock()
	h.Health = standin.Terminated
	tb.publish(h)
	tb.mu.Unlock()
	sleep(between(rnd, 0, 200*time.Millisecond), done)
	n.Kill()
}

// die kills a node; the list says so late.
func (tb *testbed) killNode(rnd *rand.Rand, done <-chan struct{}) {
	tb.mu.Lock()
	h, ok := tb.drawServing(rnd)
	n := tb.nodes[h.Name]
	tb.mu.Unlock()
	if !ok {
		return
	}
	n.Kill()
	sleep(between(rnd, 0, 500*time.Millisecond), done)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	h.Health = standin.Terminated
	tb.publish(h)
}

// grow lists another node, of the newest build or of the first.
func (tb *testbed) addNode(rnd *rand.Rand, _ <-chan struct{}) {
	build := firstBuild
	if rnd.IntN(2) == 0 {
		build = tb.release().Build
	}
	if err := tb.startNode(build); err != nil {
		tb.run.addFinding("another node: %v", err)
	}
}

// silence has the agents write nothing for a while.
func (tb *testbed) silenceAgents(rnd *rand.Rand, done <-chan struct{}) {
	tb.mu.Lock()
	agents := append([]*standin.DiscoveryAgent{}, tb.agents...)
	tb.mu.Unlock()
	for _, a := range agents {
		a.SetSilent(true)
	}
	sleep(between(rnd, 200*time.Millisecond, 4*time.Second), done)
	for _, a := range agents {
		a.SetSilent(false)
	}
}

// advance brings the newest build on, back, or another one: its nodes are listed before or after the news.
func (tb *testbed) changeRelease(rnd *rand.Rand, _ <-chan struct{}) {
	s, caps := tb.release(), tb.run.plan.Caps
	switch {
	case s.Phase != balance.OnTrial:
		s = standin.Release{Build: s.Build + 1, Phase: balance.OnTrial, Cap: caps[0]}
		for range 2 {
			if err := tb.startNode(s.Build); err != nil {
				tb.run.addFinding("a node of another build: %v", err)
			}
		}
	case rnd.IntN(3) == 0:
		s.Phase, s.Cap = balance.RollingBack, 0
	case s.Stage+1 < len(caps):
		s.Stage++
		s.Cap = caps[s.Stage]
	default:
		s.Phase, s.Cap = balance.Released, 1
	}
	tb.publishRelease(s)
}
