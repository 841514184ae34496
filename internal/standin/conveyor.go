package standin

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

// RolloutService is a stand-in conveyor: it brings one build after the other through the stages, by votes.
type RolloutService struct {
	Rollout        *settings.Rollout
	Delay          func() time.Duration
	ResendInterval time.Duration // between two tells of the same news
	Record         func(*record.Seen)
	// Deploy brings a part of the fleet to a build; ready says whether it is there.
	Deploy func(ver int, part float64) (ready func() bool)
	// Undeploy takes a build off the fleet.
	Undeploy func(ver int)

	ln net.Listener
	hub
	ver, stage int
	phase      balance.Phase
	since      time.Time // since this state
	soaked     time.Time // since its machines run
	ready      func() bool
	votes      map[int]vote // by marshal
	silent     bool
	errors     bool
	half       bool
	stop       chan struct{}
	done       sync.WaitGroup
	History    []string // what it did, for people
	begun      time.Time
	Released   map[int]bool
	RolledBack map[int]bool
}

type vote struct {
	ver, stage int
	verdict    balance.Verdict
	until      time.Time
}

// Start listens, with a build released long ago.
func (c *RolloutService) Start(address string, ver int) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("conveyor: %w", err)
	}
	c.ln, c.ver, c.phase, c.since = ln, ver, balance.Released, time.Now().Add(-time.Hour)
	c.stage = len(c.Rollout.Stage) - 1
	c.votes, c.stop, c.begun = map[int]vote{}, make(chan struct{}), time.Now()
	c.Released, c.RolledBack = map[int]bool{ver: true}, map[int]bool{}
	c.serve(ln, c.hear, func(*link) {})
	c.done.Add(1)
	go c.run()
	return nil
}

// Address is where it listens.
func (c *RolloutService) Address() string { return c.ln.Addr().String() }

// Close ends it.
func (c *RolloutService) Close() {
	close(c.stop)
	c.done.Wait()
	c.close(c.ln)
}

// SetFaults makes it stand still, answer votes with errors, or lose the answers of half of them that count.
func (c *RolloutService) SetFaults(silent, errors bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent, c.errors = silent, errors
}

func (c *RolloutService) run() {
	defer c.done.Done()
	news := time.Now()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.mu.Lock()
		c.step()
		if time.Since(news) > c.ResendInterval {
			news = time.Now()
			c.tellAll()
		}
		c.mu.Unlock()
	}
}

// StartRollout brings a new build; one still on trial is taken off.
func (c *RolloutService) StartRollout(ver int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == balance.OnTrial {
		c.back()
	}
	c.ver, c.stage, c.phase = ver, 0, balance.OnTrial
	c.changed(fmt.Sprintf("build %d offered", ver))
	c.ready = c.Deploy(ver, c.Rollout.Stage[0].Part)
}

func (c *RolloutService) changed(what string) {
	c.since, c.soaked = time.Now(), time.Time{}
	c.votes = map[int]vote{}
	c.History = append(c.History, fmt.Sprintf("%5.1f s  %s", time.Since(c.begun).Seconds(), what))
	if !c.silent {
		c.tellAll()
	}
}

func (c *RolloutService) back() {
	ver := c.ver
	c.phase = balance.RollingBack
	c.RolledBack[ver] = true
	c.changed(fmt.Sprintf("build %d sent back at stage %d", ver, c.stage))
	c.Undeploy(ver)
}

func (c *RolloutService) step() {
	now := time.Now()
	if c.silent || c.phase != balance.OnTrial && c.phase != balance.Released || c.ver == 0 {
		return
	}
	on, back := 0, 0
	for _, v := range c.votes {
		if v.ver != c.ver || now.After(v.until) {
			continue
		}
		if v.verdict == balance.RollBack {
			back++
		} else if v.verdict == balance.Advance && v.stage == c.stage {
			on++
		}
	}
	if back >= int(max(1, c.Rollout.BackVotes)) {
		c.back()
		return
	}
	if c.phase != balance.OnTrial {
		return
	}
	if c.ready != nil && c.ready() && c.soaked.IsZero() {
		c.soaked = now
	}
	soaked := !c.soaked.IsZero() && now.Sub(c.soaked) >= time.Duration(c.Rollout.SoakMs*float64(time.Millisecond))
	if !soaked || on < int(max(1, c.Rollout.OnVotes)) {
		return
	}
	if c.stage+1 < len(c.Rollout.Stage) {
		c.stage++
		c.changed(fmt.Sprintf("build %d to stage %d", c.ver, c.stage))
		c.ready = c.Deploy(c.ver, c.Rollout.Stage[c.stage].Part)
		return
	}
	c.phase = balance.Released
	c.Released[c.ver] = true
	c.changed(fmt.Sprintf("build %d released", c.ver))
}

func (c *RolloutService) cap() float64 {
	switch c.phase {
	case balance.OnTrial:
		return c.Rollout.Stage[c.stage].Cap
	case balance.Released:
		return 1
	}
	return 0
}

func (c *RolloutService) tellAll() {
	if c.silent {
		return
	}
	for l := range c.links {
		c.tell(l, "")
	}
}

// tell queues the news to a marshal, as what was voted for gets it or unasked.
func (c *RolloutService) tell(l *link, id string) {
	ver, stage, phase, cap, since := c.ver, c.stage, c.phase, c.cap(), c.since
	lag := time.Duration(0)
	if c.Delay != nil {
		lag = c.Delay()
	}
	l.later(lag, func() {
		line := control.AppendStage(nil, ver, stage, phase, cap, float64(time.Since(since))/float64(time.Millisecond))
		if id != "" {
			line = append([]byte("VOTED "+id+" ok"), line[len("STAGE"):]...)
		}
		if c.Record != nil {
			c.Record(&record.Seen{Kind: "staged", AtUs: time.Now().UnixMicro(), Instance: int64(l.marshal), Ver: int64(ver),
				Stage: int64(stage), Phase: int64(phase), Cap: cap})
		}
		l.PrintfLine("%s", line)
	})
}

func (c *RolloutService) hear(l *link, line string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number, ok := strings.CutPrefix(line, "HELLO "); ok {
		var err error
		if l.marshal, err = strconv.Atoi(number); err != nil {
			return err
		}
		if !c.silent {
			c.tell(l, "")
		}
		return nil
	}
	id, ver, stage, verdict, err := control.ParseVote(line)
	if err != nil {
		return err
	}
	answer := strconv.FormatUint(id, 10)
	stands := ver == c.ver && (stage == c.stage || verdict == balance.RollBack || verdict == balance.NoVote)
	count := func() {
		c.votes[l.marshal] = vote{ver, stage, verdict,
			time.Now().Add(time.Duration(c.Rollout.VoteTtlMs * float64(time.Millisecond)))}
	}
	switch {
	case c.silent:
		if c.half = !c.half; c.half && stands { // half of them count all the same
			count()
		}
	case c.errors:
		l.later(0, func() { l.PrintfLine("VOTED %s error", answer) })
	case !stands:
		l.later(0, func() { l.PrintfLine("VOTED %s refused", answer) })
	default:
		count()
		c.tell(l, answer)
	}
	return nil
}

// SendBuildStats tells all marshals what was counted of a build and operation.
func (c *RolloutService) SendBuildStats(ver, op int, n OperationStats, age time.Duration) {
	if n.Samples == 0 {
		return
	}
	mean := n.TotalMs / float64(n.Samples)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return
	}
	for l := range c.links {
		l.later(0, func() {
			l.PrintfLine("TALLY %d %d %d %d %.3f %.0f", ver, op, n.Samples, n.Errors, mean,
				float64(age)/float64(time.Millisecond))
		})
	}
}

// SendWrongAnswer tells a marshal that an answer it passed on was found wrong.
func (c *RolloutService) SendWrongAnswer(marshal int, node uint32, op int, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if l.marshal == marshal {
			l.later(0, func() { l.PrintfLine("FLAG %d %d %.0f", node, op, float64(age)/float64(time.Millisecond)) })
		}
	}
}

// State tells where the newest build stands.
func (c *RolloutService) State() (ver, stage int, phase balance.Phase, history []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ver, c.stage, c.phase, append([]string(nil), c.History...)
}
