package serve

import (
	"context"
	"strconv"
	"time"

	"arrowcleat/balance"
)

// Now returns the clock time in ms at which the current call of the loop began. Now and the methods below are what
// marshal.Core needs of its surroundings.
func (w *worker) Now() float64 { return w.loop.Now() }

// After runs f on the loop after a time in ms.
func (w *worker) After(ms float64, f func()) { w.loop.After(ms, f) }

// Probe probes a node if the settings enable probes, and posts the outcome to the loop.
func (w *worker) Probe(node uint32, address string) {
	if !w.settings.Limits.Probes {
		return
	}
	m := w.m
	m.background(func() {
		start := time.Now()
		outcome, report := m.upstream.Probe(context.Background(), address, w.settings.Limits.ProbePath)
		tookMs := float64(time.Since(start)) / float64(time.Millisecond)
		w.loop.Post(func() { w.module().ProbeEnded(node, outcome, tookMs, report) })
	})
}

// FetchNodes requests the node list of the service registry.
func (w *worker) FetchNodes() {
	if w.registry != nil {
		w.registry.Fetch()
	}
}

// WatchNodes starts or stops updates of the node list.
func (w *worker) WatchNodes(on bool) {
	if w.registry != nil {
		w.registry.Watch(on)
	}
}

// Vote sends a vote to the rollout service. Without one the vote fails.
func (w *worker) Vote(ver, stage int, verdict balance.Verdict) {
	if w.rollout != nil {
		w.rollout.Vote(ver, stage, verdict)
	} else {
		w.After(0, func() { w.finishVote().module().VoteFailed(balance.Ignored) })
	}
}

// SendToPeer sends a message to a peer, with the number of the pool if there are several.
func (w *worker) SendToPeer(peer int, text string) {
	if w.m.peers == nil {
		return
	}
	if len(w.m.pools) > 1 {
		text = strconv.Itoa(w.number) + " " + text
	}
	w.m.peers.SendToPeer(peer, text)
}
