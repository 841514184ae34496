package serve

import (
	"context"
	"strconv"
	"time"

	"arrowcleat/balance"
)

// Now and the methods below are marshal.Outside.
func (w *worker) Now() float64 { return w.loop.Now() }

func (w *worker) After(ms float64, f func()) { w.loop.After(ms, f) }

func (w *worker) Probe(node uint32, address string) {
	if !w.settings.Limits.Probes {
		return
	}
	m := w.m
	m.background(func() {
		start := time.Now()
		outcome, report := m.upstream.Probe(context.Background(), address, w.settings.Limits.ProbePath)
		tookMs := float64(time.Since(start)) / float64(time.Millisecond)
		w.loop.Post(func() { w.events().Probed(node, outcome, tookMs, report) })
	})
}

func (w *worker) Fetch() {
	if w.registry != nil {
		w.registry.Fetch()
	}
}

func (w *worker) Watch(on bool) {
	if w.registry != nil {
		w.registry.Watch(on)
	}
}

func (w *worker) Vote(ver, stage int, verdict balance.Verdict) {
	if w.rollout != nil {
		w.rollout.Vote(ver, stage, verdict)
	} else {
		w.After(0, func() { w.votingWorker().events().VoteFailed(balance.Ignored) })
	}
}

func (w *worker) Tell(peer int, text string) {
	if w.m.peers == nil {
		return
	}
	if len(w.m.pools) > 1 {
		text = strconv.Itoa(w.number) + " " + text
	}
	w.m.peers.Tell(peer, text)
}
