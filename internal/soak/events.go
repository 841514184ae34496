package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/standin"
)

// Event is a change of the nodes, their list or the builds.
type Event int

// The events.
const (
	DrainNode     Event = iota // a node drains and is then killed
	KillNode                   // a node is killed; the list changes later
	AddNode                    // another node is started and listed
	SilenceAgents              // the agents write nothing for a while
	ChangeRelease              // the newest build advances or is rolled back, or another build goes on trial
)

// startEvents starts events at random intervals, until the returned function is called.
func (tb *testbed) startEvents() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(tb.run.plan.Seed, 4))
	events := map[Event]func(*rand.Rand, <-chan struct{}){DrainNode: tb.drainNode, KillNode: tb.killNode, AddNode: tb.addNode,
		SilenceAgents: tb.silenceAgents, ChangeRelease: tb.changeRelease}
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

// drawServing draws one of the serving nodes, if enough are left without it. The caller holds tb.mu.
func (tb *testbed) drawServing(rnd *rand.Rand) (h standin.Host, ok bool) {
	const minServing = 3 // that are left
	var serving []standin.Host
	for i := 1; i <= tb.lastNode; i++ { // in the order of the numbers, so that the seed determines the draw
		for _, h := range tb.hosts {
			if int(h.NodeID) == i && h.Health == standin.InService {
				serving = append(serving, h)
			}
		}
	}
	if len(serving) <= minServing {
		return h, false
	}
	return serving[rnd.IntN(len(serving))], true
}

// changeHealth draws a serving node and changes its health in the list.
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

// sleep waits for a time, or until the events end.
func sleep(d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-done:
	}
}

// drainNode lists a node as terminating, later as terminated, and then kills it.
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

// killNode kills a node and lists it as terminated later.
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

// addNode starts another node, of the newest build or of the first, and lists it.
func (tb *testbed) addNode(rnd *rand.Rand, _ <-chan struct{}) {
	build := firstBuild
	if rnd.IntN(2) == 0 {
		build = tb.release().Build
	}
	if err := tb.startNode(build); err != nil {
		tb.run.addFinding("starting another node: %v", err)
	}
}

// silenceAgents has the agents write nothing for a while.
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

// changeRelease advances the newest build, rolls it back, or puts another build on trial. The nodes of another build
// are listed before its release is published; marshals may see them in either order.
func (tb *testbed) changeRelease(rnd *rand.Rand, _ <-chan struct{}) {
	release, caps := tb.release(), tb.run.plan.Caps
	switch {
	case release.Phase != balance.OnTrial:
		release = standin.Release{Build: release.Build + 1, Phase: balance.OnTrial, Cap: caps[0]}
		for range 2 {
			if err := tb.startNode(release.Build); err != nil {
				tb.run.addFinding("starting a node of another build: %v", err)
			}
		}
	case rnd.IntN(3) == 0:
		release.Phase, release.Cap = balance.RollingBack, 0
	case release.Stage+1 < len(caps):
		release.Stage++
		release.Cap = caps[release.Stage]
	default:
		release.Phase, release.Cap = balance.Released, 1
	}
	tb.publishRelease(release)
}
