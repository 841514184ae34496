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

// RolloutClient is a marshal's connection to the rollout service.
type RolloutClient struct {
	Address        string
	Number         int // this marshal's
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	VoteTimeout    time.Duration // for the answer to a vote
	Log            *slog.Logger

	// OnStageUpdate receives the stage of a build. reply is true for the answer to a vote.
	OnStageUpdate func(ver, stage int, phase balance.Phase, cap, age float64, reply bool)
	OnVoteFailed  func(outcome balance.Outcome)
	OnBuildStats  func(ver, op, samples, errors int, mean, age float64)
	OnWrongAnswer func(node uint32, op int, age float64)

	mu          sync.Mutex
	conn        *LineConn
	lastVoteID  uint64
	pendingVote uint64 // id of the vote whose answer is pending; 0: none
}

// AppendStage appends the STAGE message to b.
func AppendStage(b []byte, ver, stage int, phase balance.Phase, cap, age float64) []byte {
	return fmt.Appendf(b, "STAGE %d %d %s %g %.0f", ver, stage, phaseNames[phase], cap, age)
}

// parseStage reads the fields of a STAGE message.
func parseStage(p *lineParser) (ver, stage int, phase balance.Phase, cap, age float64) {
	ver = int(p.integer("ver", 0, 1<<31))
	stage = int(p.integer("stage", 0, 1000))
	phase = balance.Phase(p.oneOf("phase", phaseNames...))
	cap = p.float("cap", 0, 1)
	age = p.float("age", 0, maxMS)
	return
}

// ParseVote decodes a VOTE message, for the service's side.
func ParseVote(text string) (id uint64, ver, stage int, verdict balance.Verdict, err error) {
	p := newLineParser(text)
	p.oneOf("message", "VOTE")
	id = uint64(p.integer("id", 0, math.MaxInt64))
	ver = int(p.integer("ver", 0, 1<<31))
	stage = int(p.integer("stage", 0, 1000))
	verdict = balance.Verdict(p.oneOf("verdict", verdictNames...))
	return id, ver, stage, verdict, p.finish()
}

// Run maintains the connection until the context ends.
func (c *RolloutClient) Run(ctx context.Context) {
	KeepConnected(ctx, "conveyor", c.Address, c.InitialBackoff, c.MaxBackoff, c.Log, c.session)
}

// session handles one connection and the lines that arrive on it, until an error.
func (c *RolloutClient) session(_ context.Context, nc net.Conn) error {
	conn := NewLineConn(nc)
	if err := conn.PrintfLine("HELLO %d", c.Number); err != nil {
		return err
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
	}()
	for {
		line, err := conn.NextLine()
		if err != nil {
			return err
		}
		if err := c.HandleLine(line); err != nil {
			return fmt.Errorf("rollout service: %w in %.80q", err, line)
		}
	}
}

// HandleLine processes a line from the rollout service.
func (c *RolloutClient) HandleLine(line string) error {
	p := newLineParser(line)
	switch p.oneOf("message", "STAGE", "VOTED", "TALLY", "FLAG") {
	case 0:
		ver, stage, phase, cap, age := parseStage(p)
		if p.finish() == nil {
			c.OnStageUpdate(ver, stage, phase, cap, age, false)
		}
	case 1:
		id := uint64(p.integer("id", 0, math.MaxInt64))
		answer := p.oneOf("answer", "ok", "refused", "busy", "error")
		var ver, stage int
		var phase balance.Phase
		var cap, age float64
		if answer == 0 {
			ver, stage, phase, cap, age = parseStage(p)
		}
		if p.finish() == nil && c.resolveVote(id) {
			if answer == 0 {
				c.OnStageUpdate(ver, stage, phase, cap, age, true)
			} else {
				c.OnVoteFailed([]balance.Outcome{1: balance.Ignored, 2: balance.Rejected, 3: balance.Failed}[answer])
			}
		}
	case 2:
		ver, op := int(p.integer("ver", 0, 1<<31)), int(p.integer("operation", 0, 1<<16))
		samples, errors := int(p.integer("samples", 0, 1<<40)), int(p.integer("errors", 0, 1<<40))
		mean, age := p.float("mean", 0, maxMS), p.float("age", 0, maxMS)
		if p.err == nil && errors > samples {
			p.err = fmt.Errorf("errors: %d of %d samples", errors, samples)
		}
		if p.finish() == nil {
			c.OnBuildStats(ver, op, samples, errors, mean, age)
		}
	case 3:
		node, op := uint32(p.integer("node", 0, math.MaxUint32)), int(p.integer("operation", 0, 1<<16))
		age := p.float("age", 0, maxMS)
		if p.finish() == nil {
			c.OnWrongAnswer(node, op, age)
		}
	}
	return p.finish()
}

// resolveVote reports whether the answer to a vote was pending, and clears it. Late and duplicate answers are ignored.
func (c *RolloutClient) resolveVote(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingVote != id || id == 0 {
		return false
	}
	c.pendingVote = 0
	return true
}

// unsentVoteDelay is the delay before a vote that could not be sent is reported as failed.
const unsentVoteDelay = 10 * time.Millisecond

// Vote sends a vote. Its result is reported to OnStageUpdate or OnVoteFailed: a vote that could not be sent fails after
// unsentVoteDelay, one without an answer after VoteTimeout.
func (c *RolloutClient) Vote(ver, stage int, verdict balance.Verdict) {
	c.mu.Lock()
	c.lastVoteID++
	id := c.lastVoteID
	c.pendingVote = id
	sent := c.conn != nil && c.conn.PrintfLine("VOTE %d %d %d %s", id, ver, stage, verdictNames[verdict]) == nil
	c.mu.Unlock()
	timeout, outcome := c.VoteTimeout, balance.TimedOut
	if !sent {
		timeout, outcome = unsentVoteDelay, balance.Failed
	}
	time.AfterFunc(timeout, func() {
		if c.resolveVote(id) {
			c.OnVoteFailed(outcome)
		}
	})
}
