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

const apiBase = "/v2/projects/main"

var (
	phaseNames   = []string{"testing", "recalling", "live", "recalled"} // in the order of balance.Phase
	verdictNames = []string{"none", "on", "hold", "back"}               // in that of balance.Verdict
	// What a vote that was not carried out comes back with.
	voteErrors = map[int]struct {
		word   string
		ending balance.Ending
	}{429: {"BUSY", balance.Full}, 409: {"STALE", balance.Ignored}, 500: {"FAILED", balance.Failed}, 400: {"SYNTAX", balance.Failed}}
)

// StageUpdateFunc is told where the newest build stands.
type StageUpdateFunc = func(ver, stage int, phase balance.Phase, cap, age float64, reply bool)

// RolloutClient follows the platform's news of the newest build, and votes on it.
type RolloutClient struct {
	endpoint
	VoteTimeout   time.Duration // for a vote's answer
	Log           *slog.Logger
	OnStageUpdate StageUpdateFunc
	OnVoteFailed  func(how balance.Ending)

	mu     sync.Mutex  // of what is told
	latest *buildState // told last
}

// buildState is where a build stands.
type buildState struct {
	ver, stage int
	phase      balance.Phase
	cap        float64
	since      time.Time
}

// phaseOrder are the phases in the order that a build comes to stand in them.
var phaseOrder = map[balance.Phase]int{balance.OnTrial: 0, balance.Released: 1, balance.GoingBack: 2, balance.Withdrawn: 3}

// precedes says that a state is one that the build had precedes another. A vote's answer and the stream come on two connections:
// the answer may have been given precedes what the stream told, and would raise a cap again that has fallen. patience bounds how
// much later than it was given it can come; what came to stand so later than that is news, whatever it says.
func (s *buildState) precedes(o *buildState, patience time.Duration) bool {
	if s.ver != o.ver {
		return s.ver < o.ver
	}
	less := phaseOrder[s.phase] < phaseOrder[o.phase] || s.phase == balance.OnTrial && o.phase == balance.OnTrial && s.stage < o.stage
	return less && s.since.Before(o.since.Add(patience))
}

// publish tells what is not overtaken; of a reply that is, what stands.
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

const maxAgeMs = 1e11 // ms that a state's age is counted to

// Run follows the news until the context ends.
func (c *RolloutClient) Run(ctx context.Context) {
	c.keepConnected(ctx, "release API", c.Log, func(s *session, nc net.Conn) error {
		return rest.Follow(nc, s.address, apiBase+"/events", eventsTimeout, func(text []byte) (err error) {
			if !s.deliver(func() { err = c.handleEvent(gjson.ParseBytes(text)) }) {
				return errSuperseded
			}
			return err
		})
	})
}

func (c *RolloutClient) handleEvent(j gjson.Result) error {
	if j.Get("type").Str != "ROLLOUT" { // a sign of life, or news of what a marshal has no use for
		return nil
	}
	c.Log.Debug("news", "object", j.Get("object").Raw)
	return parseState(j.Get("object"), false, c.publish)
}

// parseState reads a state whole or not at all.
func parseState(j gjson.Result, reply bool, tell StageUpdateFunc) error {
	phase := slices.Index(phaseNames, j.Get("State").Str)
	for _, name := range []string{"Revision", "Wave", "MaxShare", "AgeMs"} {
		if v := j.Get(name); v.Type != gjson.Number || v.Num < 0 {
			return fmt.Errorf("release API: %s: no number that can be read in %.120q", name, j.Raw)
		}
	}
	if phase < 0 || j.Get("MaxShare").Num > 1 {
		return fmt.Errorf("release API: no state that can be read in %.120q", j.Raw)
	}
	tell(int(j.Get("Revision").Int()), int(j.Get("Wave").Int()), balance.Phase(phase), j.Get("MaxShare").Num, j.Get("AgeMs").Num, reply)
	return nil
}

// Vote sends a vote on a connection of its own; it is answered by Staged or Failed.
func (c *RolloutClient) Vote(ver, stage int, verdict balance.Verdict) {
	go func() {
		if how := c.sendVote(ver, stage, verdict); how != balance.Succeeded {
			c.OnVoteFailed(how)
		}
	}()
}

func (c *RolloutClient) sendVote(ver, stage int, verdict balance.Verdict) balance.Ending {
	ctx, done := context.WithTimeout(context.Background(), c.VoteTimeout)
	defer done()
	body := fmt.Appendf(nil, `{"Revision":%d,"Wave":%d,"Decision":%q}`, ver, stage, verdictNames[verdict])
	status, answer, sent, err := rest.Call(ctx, c.currentAddress(), "POST", apiBase+"/votes", body)
	how := balance.Succeeded
	switch refused, known := voteErrors[status]; {
	case err != nil && !sent:
		how = balance.NoConnect
	case err != nil:
		how = balance.TimedOut
	case !gjson.ValidBytes(answer):
		err, how = errors.New("not valid JSON"), balance.TimedOut
	case status == 200:
		if err = parseState(gjson.ParseBytes(answer), true, c.publish); err != nil {
			how = balance.TimedOut
		}
	case known && gjson.GetBytes(answer, "error").Str == refused.word:
		how = refused.ending
	default:
		err, how = fmt.Errorf("status %d with %.80q", status, answer), balance.TimedOut
	}
	if how != balance.Succeeded {
		c.Log.Info("vote not answered", "ver", ver, "stage", stage, "status", status, "err", err)
	}
	return how
}
