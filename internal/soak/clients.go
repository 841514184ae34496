package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"arrowcleat/internal/front"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/tcpstate"
)

// client sends requests to one marshal, on one connection after the other, as the platform's clients do.
type client struct {
	m        *marshalRun
	process  *processRun
	rnd      *rand.Rand
	nc       net.Conn
	in       *bufio.Reader
	answered bool   // an answer has come on the connection
	lastID   string // of the last request with an answer
}

// run sends requests until the load ends or the marshal accepts no more connections.
func (c *client) run() {
	defer c.disconnect()
	for !c.process.loadOver() {
		if !c.sendRequest() {
			return
		}
		c.process.wait(c.drawPause())
	}
}

// drawPause draws the pause before the next request. Long pauses last longer than a marshal accepts new
// connections after TERM, so that requests are sent while the marshal closes idle connections.
func (c *client) drawPause() time.Duration {
	switch {
	case c.rnd.Float64() < c.m.run.plan.LongPauseShare:
		return between(c.rnd, 450*time.Millisecond, 1200*time.Millisecond)
	case c.rnd.IntN(30) == 0:
		return between(c.rnd, 100*time.Millisecond, time.Second)
	default:
		return time.Duration(c.rnd.ExpFloat64() * float64(8*time.Millisecond))
	}
}

// connect opens a connection. It returns false if the marshal does not accept it, or if clients open no more
// connections.
func (c *client) connect() bool {
	if !c.process.mayConnect() {
		return false
	}
	nc, err := net.Dial("tcp", c.m.address)
	if err != nil {
		return false
	}
	c.nc, c.in, c.answered = nc, bufio.NewReader(nc), false
	return true
}

// disconnect closes the connection if there is one.
func (c *client) disconnect() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// request is a request of a client.
type request struct {
	id    string
	class int // index in the plan's classes
	limit time.Duration
	text  string // as sent
}

// drawRequest draws a request.
func (c *client) drawRequest() request {
	p := c.m.run.plan
	r := request{class: c.rnd.IntN(len(p.Classes)), id: c.m.run.nextID(c.m.number)}
	class := p.Classes[r.class]
	r.limit = max(100*time.Millisecond, time.Duration((0.3+0.7*c.rnd.Float64())*float64(class.Limit))).Truncate(time.Millisecond)
	method, rest := "GET", "\r\n"
	if class.Repeat != settings.Repeat_IDEMPOTENT {
		method, rest = "POST", "Content-Length: 2\r\n\r\nab"
	}
	if class.Repeat == settings.Repeat_FINGERPRINTED {
		rest = "Idempotency-Key: k" + r.id + "\r\n" + rest
	}
	r.text = fmt.Sprintf(
		"%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Object: o%d\r\nX-Expires-In-Ms: %d\r\n%s",
		method, class.Name, r.id, class.Name, c.rnd.IntN(20), r.limit.Milliseconds(), rest)
	return r
}

// write writes a request, in some cases in two pieces with a pause between them.
func (c *client) write(text string) error {
	if c.rnd.Float64() < c.m.run.plan.SplitShare {
		cut := 1 + c.rnd.IntN(len(text)-1)
		if _, err := io.WriteString(c.nc, text[:cut]); err != nil {
			return err
		}
		c.process.wait(between(c.rnd, 0, 60*time.Millisecond))
		text = text[cut:]
	}
	_, err := io.WriteString(c.nc, text)
	return err
}

// record records an event of a request, which happened at a time.
func (c *client) record(r request, kind, final, text string, at time.Time) {
	c.m.run.record(&record.Seen{Kind: kind, AtUs: at.UnixMicro(), Inv: r.id, Instance: int64(c.m.number), Op: int64(r.class),
		LimitMs: float64(r.limit) / float64(time.Millisecond), Final: final, Text: text})
}

// sendRequest sends a request and reads its answer. It returns false if the client ends.
func (c *client) sendRequest() bool {
	if c.nc != nil && c.unexpectedBytes() {
		c.disconnect()
	}
	if c.nc == nil && !c.connect() {
		return false
	}
	r := c.drawRequest()
	if c.rnd.Float64() < c.m.run.plan.PartialShare {
		return c.sendPartial(r)
	}
	for isRetry := false; ; isRetry = true {
		c.process.openRequests.Add(1)
		err := c.write(r.text)
		sent := time.Now()
		c.record(r, "asked", "", "", sent)
		if err == nil && c.rnd.Float64() < c.m.run.plan.LeaveShare && !isRetry {
			c.process.wait(time.Duration(c.rnd.Float64() * 0.3 * float64(r.limit)))
			if c.process.killed.Load() {
				c.process.openRequests.Add(-1)
				return false
			}
			c.process.openRequests.Add(-1)
			c.record(r, "left", "", "", time.Now())
			if t, ok := c.nc.(*net.TCPConn); ok && c.rnd.IntN(3) == 0 {
				t.SetLinger(0)
			}
			c.disconnect()
			return true
		}
		err = c.readAnswer(r, sent)
		c.process.openRequests.Add(-1)
		if err == nil {
			return true
		}
		c.checkUnansweredAtKill(r, sent)
		reason := c.lostReason(err, isRetry)
		c.disconnect()
		if reason != "" {
			kind := "broke"
			if errors.Is(err, os.ErrDeadlineExceeded) {
				kind = "silent"
			}
			c.record(r, kind, "", reason, time.Now())
			return true
		}
		c.record(r, "crossed", "", err.Error(), time.Now())
		if !c.connect() {
			c.record(r, "refused", "", "", time.Now())
			return false
		}
	}
}

// checkUnansweredAtKill adds a finding if a request without an answer was sent too long before a kill that came after
// TERM. Faults of nodes are no excuse: every request gets a final answer.
func (c *client) checkUnansweredAtKill(r request, sent time.Time) {
	killedAtNs := c.process.killedAtNs.Load()
	if killedAtNs == 0 {
		return
	}
	if unanswered := time.Unix(0, killedAtNs).Sub(sent); unanswered > maxUnansweredAtKill {
		c.m.run.addFinding("%s was sent %v before the kill that came after TERM, and got no answer", r.id,
			unanswered.Round(time.Millisecond))
	}
}

// resetTimeout is the time that a client waits for the reset that shows that its request was not read.
const resetTimeout = 700 * time.Millisecond

// lostReason returns why a request without an answer is lost. It returns an empty text if the marshal closed the idle
// connection without reading the request, which the client then sends once more.
func (c *client) lostReason(err error, isRetry bool) string {
	if !c.answered || isRetry || errors.Is(err, os.ErrDeadlineExceeded) || c.process.killed.Load() {
		return err.Error()
	}
	reset, stateErr := tcpstate.ResetWithin(c.nc, resetTimeout)
	switch {
	case reset:
		return ""
	case stateErr != nil:
		return fmt.Sprintf("%v; reading the connection's state: %v", err, stateErr)
	case c.process.killed.Load():
		return err.Error()
	default:
		return fmt.Sprintf("%v; the request was read, and its connection closed without an answer", err)
	}
}

// errTruncated is the error of an answer that began and did not arrive completely.
var errTruncated = errors.New("answer truncated")

// readAnswer reads an answer and records it. It returns an error only if the connection ended before the answer began.
func (c *client) readAnswer(r request, sent time.Time) error {
	c.nc.SetReadDeadline(sent.Add(r.limit + answerSlack + maxRecordDelay))
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	now := time.Now()
	if err != nil {
		c.record(r, "broke", "", errTruncated.Error()+": "+err.Error(), now)
		c.disconnect()
		return nil
	}
	final := response.Header.Get(front.AnswerHeader)
	c.record(r, "answered", final, response.Status, now)
	rejected := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if (response.StatusCode == http.StatusOK) != (final == front.Succeeded) || final == front.Throttled && !rejected ||
		rejected && final == front.Terminated || final == front.Succeeded && string(body) != "made for "+r.id {
		c.record(r, "mixed", final, fmt.Sprintf("%d %.40q", response.StatusCode, body), now)
	}
	c.answered, c.lastID = true, r.id
	if response.Close {
		c.disconnect()
	}
	return nil
}

// unexpectedBytes reports and records bytes after the last answer on the connection. The end of the connection alone
// does not count.
func (c *client) unexpectedBytes() bool {
	if c.in.Buffered() == 0 {
		return false
	}
	b, _ := c.in.Peek(min(c.in.Buffered(), 40))
	c.record(request{id: c.lastID}, "extra", "", fmt.Sprintf("%q", b), time.Now())
	return true
}

// sendPartial sends a part of a request on a new connection, and expects an error or a close. It returns false if the
// client ends.
func (c *client) sendPartial(r request) bool {
	c.disconnect()
	if !c.connect() {
		return false
	}
	io.WriteString(c.nc, r.text[:1+c.rnd.IntN(len(r.text)-2)])
	c.process.expectRejection(c.nc, "a client that sends a part of a request")
	c.nc = nil
	return true
}

// expectRejection waits for an error or a close on a connection without a whole request, and adds a finding if there is
// none in time.
func (r *processRun) expectRejection(nc net.Conn, what string) {
	r.incompleteConns.Add(1)
	defer func() {
		nc.Close()
		r.incompleteConns.Add(-1)
	}()
	deadline := time.Now().Add(incompleteTimeout)
	nc.SetReadDeadline(deadline.Add(maxPause + maxRecordDelay))
	b := make([]byte, len("HTTP/1.1 4"))
	n, err := io.ReadFull(nc, b) // it may come in pieces
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.killed.Load() {
		r.m.run.addFinding("%s: neither an error nor a close within %v", what, incompleteTimeout)
	}
	if n > 0 && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 4") && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 5") {
		r.m.run.addFinding("%s: got %q", what, b[:n])
	}
}

// burst opens many connections at once. BurstRequests of them send a request, the others nothing.
func (r *processRun) burst(rnd *rand.Rand) {
	p := r.m.run.plan
	for i := range p.BurstConns {
		seed := rnd.Uint64()
		r.clients.Go(func() {
			c := &client{m: r.m, process: r, rnd: rand.New(rand.NewPCG(seed, 1))}
			if !c.connect() {
				return
			}
			if i < p.BurstRequests {
				defer c.disconnect()
				c.sendRequest()
				return
			}
			r.expectRejection(c.nc, "a client that sends nothing")
		})
	}
}
