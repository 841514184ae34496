package control

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"arrowcleat/balance"
)

// RolloutClient is a marshal's connection to the conveyor.
type RolloutClient struct {
	Address        string
	Number         int // the marshal's
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	VoteTimeout    time.Duration // for a vote's answer
	Log            *slog.Logger

	OnStageUpdate func(ver, stage int, phase balance.Phase, cap, age float64, reply bool)
	OnVoteFailed  func(how balance.Ending)
	OnBuildStats  func(ver, op, samples, errors int, mean, age float64)
	OnWrongAnswer func(node uint32, op int, age float64)

	mu          sync.Mutex
	conn        *LineConn
	lastVoteID  uint64
	pendingVote uint64 // the vote that waits for its answer, 0 for none
}

// AppendStage writes the news of a stage.
func AppendStage(b []byte, ver, stage int, phase balance.Phase, cap, age float64) []byte {
	return fmt.Appendf(b, "STAGE %d %d %s %g %.0f", ver, stage, phaseNames[phase], cap, age)
}

func parseStage(w *lineParser) (ver, stage int, phase balance.Phase, cap, age float64) {
	ver = int(w.integer("ver", 0, 1<<31))
	stage = int(w.integer("stage", 0, 1000))
	phase = balance.Phase(w.oneOf("phase", phaseNames...))
	cap = w.float("cap", 0, 1)
	age = w.float("age", 0, maxMS)
	return
}

// ParseVote reads a vote, on the conveyor's side.
func ParseVote(text string) (id uint64, ver, stage int, verdict balance.Verdict, err error) {
	w := newLineParser(text)
	w.oneOf("message", "VOTE")
	id = uint64(w.integer("id", 0, math.MaxInt64))
	ver = int(w.integer("ver", 0, 1<<31))
	stage = int(w.integer("stage", 0, 1000))
	verdict = balance.Verdict(w.oneOf("verdict", verdictNames...))
	return id, ver, stage, verdict, w.finish()
}

// Run keeps the connection until the context ends.
func (c *RolloutClient) Run(ctx context.Context) {
	KeepConnected(ctx, "conveyor", c.Address, c.InitialBackoff, c.MaxBackoff, c.Log, c.session)
}

func (c *RolloutClient) session(_ context.Context, nc net.Conn) error {
	t := NewLineConn(nc)
	if err := t.PrintfLine("HELLO %d", c.Number); err != nil {
		return err
	}
	c.mu.Lock()
	c.conn = t
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
	}()
	for {
		line, err := t.NextLine()
		if err != nil {
			return err
		}
		if err := c.HandleLine(line); err != nil {
			return fmt.Errorf("conveyor: %w in %.80q", err, line)
		}
	}
}

// HandleLine takes one line of the conveyor's.
func (c *RolloutClient) HandleLine(line string) error {
	w := newLineParser(line)
	switch w.oneOf("message", "STAGE", "VOTED", "TALLY", "FLAG") {
	case 0:
		ver, stage, phase, cap, age := parseStage(w)
		if w.finish() == nil {
			c.OnStageUpdate(ver, stage, phase, cap, age, false)
		}
	case 1:
		id := uint64(w.integer("id", 0, math.MaxInt64))
		answer := w.oneOf("answer", "ok", "refused", "busy", "error")
		var ver, stage int
		var phase balance.Phase
		var cap, age float64
		if answer == 0 {
			ver, stage, phase, cap, age = parseStage(w)
		}
		if w.finish() == nil && c.resolveVote(id) {
			if answer == 0 {
				c.OnStageUpdate(ver, stage, phase, cap, age, true)
			} else {
				c.OnVoteFailed([]balance.Ending{1: balance.Ignored, 2: balance.Full, 3: balance.Failed}[answer])
			}
		}
	case 2:
		ver, op := int(w.integer("ver", 0, 1<<31)), int(w.integer("operation", 0, 1<<16))
		samples, errors := int(w.integer("samples", 0, 1<<40)), int(w.integer("errors", 0, 1<<40))
		mean, age := w.float("mean", 0, maxMS), w.float("age", 0, maxMS)
		if w.err == nil && errors > samples {
			w.err = fmt.Errorf("errors: %d of %d samples", errors, samples)
		}
		if w.finish() == nil {
			c.OnBuildStats(ver, op, samples, errors, mean, age)
		}
	case 3:
		node, op := uint32(w.integer("node", 0, math.MaxUint32)), int(w.integer("operation", 0, 1<<16))
		age := w.float("age", 0, maxMS)
		if w.finish() == nil {
			c.OnWrongAnswer(node, op, age)
		}
	}
	return w.finish()
}

// resolveVote says that a vote was still waited for; what comes later, or twice, counts no more.
func (c *RolloutClient) resolveVote(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingVote != id || id == 0 {
		return false
	}
	c.pendingVote = 0
	return true
}

// Vote sends a vote; it is answered by Staged or Failed. One that never left is an error, not silence.
func (c *RolloutClient) Vote(ver, stage int, verdict balance.Verdict) {
	c.mu.Lock()
	c.lastVoteID++
	id := c.lastVoteID
	c.pendingVote = id
	sent := c.conn != nil && c.conn.PrintfLine("VOTE %d %d %d %s", id, ver, stage, verdictNames[verdict]) == nil
	c.mu.Unlock()
	patience, how := c.VoteTimeout, balance.TimedOut
	if !sent {
		patience, how = 10*time.Millisecond, balance.Failed
	}
	time.AfterFunc(patience, func() {
		if c.resolveVote(id) {
			c.OnVoteFailed(how)
		}
	})
}
