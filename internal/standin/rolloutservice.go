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

// RolloutService is a stand-in for the rollout service: it moves one build after the other through the stages, by
// votes.
type RolloutService struct {
	Rollout        *settings.Rollout
	Delay          func() time.Duration // of each stage update; nil for none
	ResendInterval time.Duration        // between two updates of the same state
	Record         func(*record.Seen)
	// Deploy has a share of the fleet run a build; ready reports whether it does.
	Deploy func(ver int, share float64) (ready func() bool)
	// Undeploy removes a build from the fleet.
	Undeploy func(ver int)

	ln net.Listener
	lineServer
	ver, stage   int
	phase        balance.Phase
	since        time.Time // when it entered this state
	soakBegan    time.Time // when all nodes of the stage were ready; zero before
	ready        func() bool
	votes        map[int]vote // by marshal
	unresponsive bool         // sends no updates and answers no votes
	errors       bool         // answers votes with errors
	countVote    bool         // while unresponsive: alternates, so that every other vote counts
	stop         chan struct{}
	done         sync.WaitGroup
	History      []string // of state changes, for display
	began        time.Time
	Released     map[int]bool // builds that have been released
	RolledBack   map[int]bool // builds that have been rolled back
}

// vote is the last vote of a marshal.
type vote struct {
	ver, stage int
	verdict    balance.Verdict
	expires    time.Time
}

// Start listens at an address. The given build counts as released an hour ago.
func (s *RolloutService) Start(address string, ver int) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("rollout service: %w", err)
	}
	s.ln, s.ver, s.phase, s.since = ln, ver, balance.Released, time.Now().Add(-time.Hour)
	s.stage = len(s.Rollout.Stage) - 1
	s.votes, s.stop, s.began = map[int]vote{}, make(chan struct{}), time.Now()
	s.Released, s.RolledBack = map[int]bool{ver: true}, map[int]bool{}
	s.serve(ln, s.handleLine, func(*marshalConn) {})
	s.done.Add(1)
	go s.run()
	return nil
}

// Address returns the address that the service listens at.
func (s *RolloutService) Address() string { return s.ln.Addr().String() }

// Close stops the service and closes all its connections.
func (s *RolloutService) Close() {
	close(s.stop)
	s.done.Wait()
	s.close(s.ln)
}

// SetFaults makes the service unresponsive, or has it answer votes with errors. While unresponsive it sends nothing and
// stays in its state, but counts every other vote, if it is valid, as if only the answer to it were lost.
func (s *RolloutService) SetFaults(unresponsive, errors bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive, s.errors = unresponsive, errors
}

// run advances the rollout and sends the state again at intervals, until Close.
func (s *RolloutService) run() {
	defer s.done.Done()
	sent := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		s.step()
		if time.Since(sent) > s.ResendInterval {
			sent = time.Now()
			s.sendToAll()
		}
		s.mu.Unlock()
	}
}

// StartRollout puts a new build on trial. A build that is still on trial is rolled back.
func (s *RolloutService) StartRollout(ver int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == balance.OnTrial {
		s.rollBack()
	}
	s.ver, s.stage, s.phase = ver, 0, balance.OnTrial
	s.stateChanged(fmt.Sprintf("build %d on trial", ver))
	s.ready = s.Deploy(ver, s.Rollout.Stage[0].Part)
}

// stateChanged drops the votes for the state before, adds to the history and sends the new state.
func (s *RolloutService) stateChanged(what string) {
	s.since, s.soakBegan = time.Now(), time.Time{}
	s.votes = map[int]vote{}
	s.History = append(s.History, fmt.Sprintf("%5.1f s  %s", time.Since(s.began).Seconds(), what))
	if !s.unresponsive {
		s.sendToAll()
	}
}

// rollBack rolls the newest build back; the caller holds s.mu.
func (s *RolloutService) rollBack() {
	ver := s.ver
	s.phase = balance.RollingBack
	s.RolledBack[ver] = true
	s.stateChanged(fmt.Sprintf("build %d sent back at stage %d", ver, s.stage))
	s.Undeploy(ver)
}

// step counts the votes that have not expired, and rolls the newest build back or advances it.
func (s *RolloutService) step() {
	now := time.Now()
	if s.unresponsive || s.phase != balance.OnTrial && s.phase != balance.Released || s.ver == 0 {
		return
	}
	advanceVotes, rollBackVotes := 0, 0
	for _, v := range s.votes {
		if v.ver != s.ver || now.After(v.expires) {
			continue
		}
		if v.verdict == balance.RollBack {
			rollBackVotes++
		} else if v.verdict == balance.Advance && v.stage == s.stage {
			advanceVotes++
		}
	}
	if rollBackVotes >= int(max(1, s.Rollout.BackVotes)) {
		s.rollBack()
		return
	}
	if s.phase != balance.OnTrial {
		return
	}
	if s.ready != nil && s.ready() && s.soakBegan.IsZero() {
		s.soakBegan = now
	}
	soaked := !s.soakBegan.IsZero() && now.Sub(s.soakBegan) >= time.Duration(s.Rollout.SoakMs*float64(time.Millisecond))
	if !soaked || advanceVotes < int(max(1, s.Rollout.OnVotes)) {
		return
	}
	if s.stage+1 < len(s.Rollout.Stage) {
		s.stage++
		s.stateChanged(fmt.Sprintf("build %d at stage %d", s.ver, s.stage))
		s.ready = s.Deploy(s.ver, s.Rollout.Stage[s.stage].Part)
		return
	}
	s.phase = balance.Released
	s.Released[s.ver] = true
	s.stateChanged(fmt.Sprintf("build %d released", s.ver))
}

// cap returns the largest share of the traffic that the newest build may get.
func (s *RolloutService) cap() float64 {
	switch s.phase {
	case balance.OnTrial:
		return s.Rollout.Stage[s.stage].Cap
	case balance.Released:
		return 1
	}
	return 0
}

// sendToAll sends the state to all marshals; the caller holds s.mu.
func (s *RolloutService) sendToAll() {
	if s.unresponsive {
		return
	}
	for c := range s.conns {
		s.sendState(c, "")
	}
}

// sendState queues the current state to a marshal: as the answer to the vote of an id, or as an update where there is
// none.
func (s *RolloutService) sendState(c *marshalConn, id string) {
	ver, stage, phase, cap, since := s.ver, s.stage, s.phase, s.cap(), s.since
	delay := time.Duration(0)
	if s.Delay != nil {
		delay = s.Delay()
	}
	c.enqueue(delay, func() {
		line := control.AppendStage(nil, ver, stage, phase, cap, float64(time.Since(since))/float64(time.Millisecond))
		if id != "" {
			line = append([]byte("VOTED "+id+" ok"), line[len("STAGE"):]...)
		}
		if s.Record != nil {
			s.Record(&record.Seen{Kind: "staged", AtUs: time.Now().UnixMicro(), Instance: int64(c.marshal), Ver: int64(ver),
				Stage: int64(stage), Phase: int64(phase), Cap: cap})
		}
		c.PrintfLine("%s", line)
	})
}

// handleLine handles a line from a marshal: its number, or a vote.
func (s *RolloutService) handleLine(c *marshalConn, line string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number, ok := strings.CutPrefix(line, "HELLO "); ok {
		var err error
		if c.marshal, err = strconv.Atoi(number); err != nil {
			return err
		}
		if !s.unresponsive {
			s.sendState(c, "")
		}
		return nil
	}
	id, ver, stage, verdict, err := control.ParseVote(line)
	if err != nil {
		return err
	}
	voteID := strconv.FormatUint(id, 10)
	valid := ver == s.ver && (stage == s.stage || verdict == balance.RollBack || verdict == balance.NoVote)
	count := func() {
		s.votes[c.marshal] = vote{ver, stage, verdict,
			time.Now().Add(time.Duration(s.Rollout.VoteTtlMs * float64(time.Millisecond)))}
	}
	switch {
	case s.unresponsive:
		if s.countVote = !s.countVote; s.countVote && valid {
			count()
		}
	case s.errors:
		c.enqueue(0, func() { c.PrintfLine("VOTED %s error", voteID) })
	case !valid:
		c.enqueue(0, func() { c.PrintfLine("VOTED %s refused", voteID) })
	default:
		count()
		s.sendState(c, voteID)
	}
	return nil
}

// SendBuildStats sends the statistics of a build's operation to all marshals.
func (s *RolloutService) SendBuildStats(ver, op int, stats OperationStats, age time.Duration) {
	if stats.Samples == 0 {
		return
	}
	meanMs := stats.TotalMs / float64(stats.Samples)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive {
		return
	}
	for c := range s.conns {
		c.enqueue(0, func() {
			c.PrintfLine("TALLY %d %d %d %d %.3f %.0f", ver, op, stats.Samples, stats.Errors, meanMs,
				float64(age)/float64(time.Millisecond))
		})
	}
}

// SendWrongAnswer notifies a marshal that an answer that it forwarded was wrong.
func (s *RolloutService) SendWrongAnswer(marshal int, node uint32, op int, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.marshal == marshal {
			c.enqueue(0, func() { c.PrintfLine("FLAG %d %d %.0f", node, op, float64(age)/float64(time.Millisecond)) })
		}
	}
}

// State returns the state of the newest build and the history.
func (s *RolloutService) State() (ver, stage int, phase balance.Phase, history []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver, s.stage, s.phase, append([]string(nil), s.History...)
}
