package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
	"arrowcleat/internal/rest"
)

// apiBase is the prefix of the release API's paths.
const apiBase = "/v2/projects/main"

var (
	phaseNames   = []string{"testing", "recalling", "live", "recalled"} // in the order of balance.Phase
	verdictNames = []string{"none", "on", "hold", "back"}               // in the order of balance.Verdict
	// voteErrors are the answers to a vote that was not carried out, by status.
	voteErrors = map[int]struct {
		code    string
		outcome balance.Outcome
	}{429: {"BUSY", balance.Rejected}, 409: {"STALE", balance.Ignored}, 500: {"FAILED", balance.Failed},
		400: {"SYNTAX", balance.Failed}}
)

// StageUpdateFunc receives the rollout state of the newest build. reply is true for the answer to a vote.
type StageUpdateFunc = func(ver, stage int, phase balance.Phase, cap, age float64, reply bool)

// RolloutClient follows the rollout of the newest build on the release API, and votes on it.
type RolloutClient struct {
	endpoint
	VoteTimeout   time.Duration // for the answer to a vote
	Log           *slog.Logger
	OnStageUpdate StageUpdateFunc
	OnVoteFailed  func(outcome balance.Outcome)

	mu     sync.Mutex  // orders the updates
	latest *buildState // published last
}

// buildState is the rollout state of a build.
type buildState struct {
	ver, stage int
	phase      balance.Phase
	cap        float64
	since      time.Time // when the build entered this state
}

// phaseOrder is the order in which a build enters the phases.
var phaseOrder = map[balance.Phase]int{balance.OnTrial: 0, balance.Released: 1, balance.RollingBack: 2, balance.Withdrawn: 3}

// precedes reports whether s is older than other. The answer to a vote and the event stream arrive on two connections,
// so that an answer may be older than the last event, and would raise a cap that has been lowered since. An answer is
// delayed by at most voteTimeout: a state that was entered later than that after other is new, even if its phase or
// stage is an earlier one.
func (s *buildState) precedes(other *buildState, voteTimeout time.Duration) bool {
	if s.ver != other.ver {
		return s.ver < other.ver
	}
	earlier := phaseOrder[s.phase] < phaseOrder[other.phase] ||
		s.phase == balance.OnTrial && other.phase == balance.OnTrial && s.stage < other.stage
	return earlier && s.since.Before(other.since.Add(voteTimeout))
}

// publish reports a state that is not older than the latest one. For an older state in a reply it reports the latest
// one instead.
func (c *RolloutClient) publish(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := &buildState{ver, stage, phase, cap, now.Add(-time.Duration(min(age, maxAgeMs) * float64(time.Millisecond)))}
	if c.latest != nil && s.precedes(c.latest, c.VoteTimeout) {
		if !reply {
			return
		}
		s = c.latest
		age = float64(now.Sub(s.since)) / float64(time.Millisecond)
	}
	c.latest = s
	c.OnStageUpdate(s.ver, s.stage, s.phase, s.cap, age, reply)
}

// maxAgeMs is the greatest age of a state that is distinguished; it keeps the age in the range of time.Duration.
const maxAgeMs = 1e11

// Run follows the events until the context ends.
func (c *RolloutClient) Run(ctx context.Context) {
	c.keepConnected(ctx, "release API", c.Log, func(s *session, nc net.Conn) error {
		stream := rest.Stream{Address: s.address, Target: apiBase + "/events", Layout: rest.ObjectPerLine, Timeout: eventsTimeout}
		return stream.Follow(nc, func(text []byte) (err error) {
			if !s.deliver(func() { err = c.handleEvent(gjson.ParseBytes(text)) }) {
				return errSuperseded
			}
			return err
		})
	})
}

// handleEvent processes an object of the event stream. An event of another type does not concern marshals, unless it
// holds a state: then its type was damaged on the way, and ignoring it would lose news that is not repeated.
func (c *RolloutClient) handleEvent(j gjson.Result) error {
	kind, state := j.Get("type"), j.Get("object")
	switch {
	case isKeepAlive(j):
		return nil
	case kind.Type != gjson.String, kind.Str != "ROLLOUT" && state.Get("Revision").Exists():
		return fmt.Errorf("release API: not an event: %.120q", j.Raw)
	case kind.Str != "ROLLOUT":
		return nil
	}
	c.Log.Debug("rollout event received", "object", state.Raw)
	return parseState(state, false, c.publish)
}

// maxStateNumber bounds the numbers of a state, so that each is in the range of an int and of a time on any machine.
const maxStateNumber = 1 << 53

// parseState reads a state and calls update with it. An incomplete or invalid state is an error, without a call.
func parseState(j gjson.Result, reply bool, update StageUpdateFunc) error {
	phase := slices.Index(phaseNames, j.Get("State").Str)
	for _, name := range []string{"Revision", "Wave", "MaxShare", "AgeMs"} {
		if v := j.Get(name); v.Type != gjson.Number || v.Num < 0 || v.Num > maxStateNumber {
			return fmt.Errorf("release API: %s is missing or not a valid number in %.120q", name, j.Raw)
		}
	}
	if phase < 0 || j.Get("MaxShare").Num > 1 {
		return fmt.Errorf("release API: invalid State or MaxShare in %.120q", j.Raw)
	}
	update(int(j.Get("Revision").Int()), int(j.Get("Wave").Int()), balance.Phase(phase),
		j.Get("MaxShare").Num, j.Get("AgeMs").Num, reply)
	return nil
}

// Vote sends a vote on a new connection. Its result is reported to OnStageUpdate or OnVoteFailed.
func (c *RolloutClient) Vote(ver, stage int, verdict balance.Verdict) {
	go func() {
		if outcome := c.sendVote(ver, stage, verdict); outcome != balance.Succeeded {
			c.OnVoteFailed(outcome)
		}
	}()
}

// sendVote sends a vote and publishes the state in its answer. An answer that can't be understood leaves the result of
// the vote open, like a timeout.
func (c *RolloutClient) sendVote(ver, stage int, verdict balance.Verdict) balance.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), c.VoteTimeout)
	defer cancel()
	body := fmt.Appendf(nil, `{"Revision":%d,"Wave":%d,"Decision":%q}`, ver, stage, verdictNames[verdict])
	status, response, sent, err := rest.Call(ctx, c.currentAddress(), "POST", apiBase+"/votes", body)
	outcome := balance.Succeeded
	switch refusal, known := voteErrors[status]; {
	case err != nil && !sent:
		outcome = balance.ConnectFailed
	case err != nil:
		outcome = balance.TimedOut
	case !gjson.ValidBytes(response):
		err, outcome = errors.New("not valid JSON"), balance.TimedOut
	case status == 200:
		if err = parseState(gjson.ParseBytes(response), true, c.publish); err != nil {
			outcome = balance.TimedOut
		}
	case known && gjson.GetBytes(response, "error").Str == refusal.code:
		outcome = refusal.outcome
	default:
		err, outcome = fmt.Errorf("unexpected response: status %d, body %.80q", status, response), balance.TimedOut
	}
	if outcome != balance.Succeeded {
		c.Log.Info("vote not answered", "ver", ver, "stage", stage, "status", status, "err", err)
	}
	return outcome
}
