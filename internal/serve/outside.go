package serve

import (
	"context"
	"strconv"
	"time"

	"arrowcleat/balance"
)

// Now and the methods below are marshal.Outside.
func (l *lane) Now() float64 { return l.loop.Now() }

func (l *lane) After(ms float64, f func()) { l.loop.After(ms, f) }

func (l *lane) Probe(node uint32, address string) {
	if !l.set.Limits.Probes {
		return
	}
	m := l.m
	m.background(func() {
		start := time.Now()
		how, report := m.pool.Probe(context.Background(), address, l.set.Limits.ProbePath)
		took := float64(time.Since(start)) / float64(time.Millisecond)
		l.loop.Post(func() { l.events().Probed(node, how, took, report) })
	})
}

func (l *lane) Fetch() {
	if l.roster != nil {
		l.roster.Fetch()
	}
}

func (l *lane) Watch(on bool) {
	if l.roster != nil {
		l.roster.Watch(on)
	}
}

func (l *lane) Vote(ver, stage int, verdict balance.Verdict) {
	if l.conveyor != nil {
		l.conveyor.Vote(ver, stage, verdict)
	} else {
		l.After(0, func() { l.voter().events().VoteFailed(balance.Ignored) })
	}
}

func (l *lane) Tell(peer int, text string) {
	if l.m.peers == nil {
		return
	}
	if len(l.m.groups) > 1 {
		text = strconv.Itoa(l.number) + " " + text
	}
	l.m.peers.SendToPeer(peer, text)
}
