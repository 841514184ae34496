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

// client asks one marshal on one connection after the other, as the platform's clients do.
type client struct {
	m        *marshalRun
	process  *processRun
	rnd      *rand.Rand
	nc       net.Conn
	in       *bufio.Reader
	answered bool   // an answer has come on the connection
	lastID   string // of the request before
}

func (c *client) run() {
	defer c.disconnect()
	for !c.process.loadOver() {
		if !c.sendRequest() {
			return
		}
		c.process.wait(c.drawPause())
	}
}

// pause draws how long the client rests before its next request. Long ones, longer than a marshal goes on taking new connections
// after TERM, have requests cross the end of connections that rest.
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

// connect opens a connection; false says that nobody takes it, or that no new one comes any more.
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

func (c *client) disconnect() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// request is one that a client asks.
type request struct {
	id    string
	class int
	limit time.Duration
	text  string
}

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
	r.text = fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Object: o%d\r\nX-Expires-In-Ms: %d\r\n%s",
		method, class.Name, r.id, class.Name, c.rnd.IntN(20), r.limit.Milliseconds(), rest)
	return r
}

// send writes a request, some in two pieces with a while between them.
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

func (c *client) record(r request, kind, final, text string, at time.Time) {
	c.m.run.record(&record.Seen{Kind: kind, AtUs: at.UnixMicro(), Inv: r.id, Instance: int64(c.m.number), Op: int64(r.class),
		LimitMs: float64(r.limit) / float64(time.Millisecond), Final: final, Text: text})
}

// ask sends one request and reads what comes; false ends the client.
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
	for again := false; ; again = true {
		c.process.openRequests.Add(1)
		err := c.write(r.text)
		asked := time.Now()
		c.record(r, "asked", "", "", asked)
		if err == nil && c.rnd.Float64() < c.m.run.plan.LeaveShare && !again {
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
		err = c.readAnswer(r, asked)
		c.process.openRequests.Add(-1)
		if err == nil {
			return true
		}
		c.checkUnansweredAtKill(r, asked)
		why := c.lostReason(err, again)
		c.disconnect()
		if why != "" {
			kind := "broke"
			if errors.Is(err, os.ErrDeadlineExceeded) {
				kind = "silent"
			}
			c.record(r, kind, "", why, time.Now())
			return true
		}
		c.record(r, "crossed", "", err.Error(), time.Now())
		if !c.connect() {
			c.record(r, "refused", "", "", time.Now())
			return false
		}
	}
}

// atKill checks a request without an answer against the kill that ended its process after TERM: trouble at nodes frees no request of its
// final answer.
func (c *client) checkUnansweredAtKill(r request, asked time.Time) {
	killed := c.process.killedAtNs.Load()
	if killed == 0 {
		return
	}
	if out := time.Unix(0, killed).Sub(asked); out > maxUnansweredAtKill {
		c.m.run.addFinding("%s was asked %v before the kill that came after TERM, and had no answer", r.id, out.Round(time.Millisecond))
	}
}

// resetWithin is how long a client waits for the reset that tells that its request was not read.
const resetTimeout = 700 * time.Millisecond

// lost says why a request without an answer is lost; it is empty where it crossed the end of a connection that rested, and was not read:
// then the client sends it once more.
func (c *client) lostReason(err error, again bool) string {
	if !c.answered || again || errors.Is(err, os.ErrDeadlineExceeded) || c.process.killed.Load() {
		return err.Error()
	}
	reset, stateErr := tcpstate.ResetWithin(c.nc, resetTimeout)
	switch {
	case reset:
		return ""
	case stateErr != nil:
		return fmt.Sprintf("%v; its state: %v", err, stateErr)
	case c.process.killed.Load():
		return err.Error()
	default:
		return fmt.Sprintf("%v; it was read, and its connection closed without an answer", err)
	}
}

// errPart says that an answer came, but not whole.
var errTruncated = errors.New("not a whole answer")

// read reads an answer. The error is what ended the connection before it.
func (c *client) readAnswer(r request, asked time.Time) error {
	c.nc.SetReadDeadline(asked.Add(r.limit + answerSlack + maxRecordDelay))
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	q, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(q.Body)
	}
	now := time.Now()
	if err != nil {
		c.record(r, "broke", "", errTruncated.Error()+": "+err.Error(), now)
		c.disconnect()
		return nil
	}
	final := q.Header.Get(front.AnswerHeader)
	c.record(r, "answered", final, q.Status, now)
	refused := q.StatusCode == http.StatusServiceUnavailable || q.StatusCode == http.StatusTooManyRequests
	if (q.StatusCode == http.StatusOK) != (final == front.Succeeded) || final == front.Throttled && !refused || refused && final == front.Terminated ||
		final == front.Succeeded && string(body) != "made for "+r.id {
		c.record(r, "mixed", final, fmt.Sprintf("%d %.40q", q.StatusCode, body), now)
	}
	c.answered, c.lastID = true, r.id
	if q.Close {
		c.disconnect()
	}
	return nil
}

// unasked says that something came on the connection behind the last answer; its mere end is none of that.
func (c *client) unexpectedBytes() bool {
	if c.in.Buffered() == 0 {
		return false
	}
	b, _ := c.in.Peek(min(c.in.Buffered(), 40))
	c.record(request{id: c.lastID}, "extra", "", fmt.Sprintf("%q", b), time.Now())
	return true
}

// half sends part of a request and stays: an error or a close is due.
func (c *client) sendPartial(r request) bool {
	c.disconnect()
	if !c.connect() {
		return false
	}
	io.WriteString(c.nc, r.text[:1+c.rnd.IntN(len(r.text)-2)])
	c.process.expectRejection(c.nc, "half a request")
	c.nc = nil
	return true
}

// stranger waits for what a connection is owed that says nothing, or half.
func (l *processRun) expectRejection(nc net.Conn, what string) {
	l.incompleteConns.Add(1)
	defer func() {
		nc.Close()
		l.incompleteConns.Add(-1)
	}()
	due := time.Now().Add(incompleteTimeout)
	nc.SetReadDeadline(due.Add(maxPause + maxRecordDelay))
	b := make([]byte, len("HTTP/1.1 4"))
	n, err := io.ReadFull(nc, b) // it may come in pieces
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.killed.Load() {
		l.m.run.addFinding("%s: neither an error nor a close within %v", what, incompleteTimeout)
	}
	if n > 0 && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 4") && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 5") {
		l.m.run.addFinding("%s: got %q", what, b[:n])
	}
}

// crowd opens many connections at once; some ask, the others say nothing.
func (l *processRun) burst(rnd *rand.Rand) {
	p := l.m.run.plan
	for i := range p.BurstConns {
		seed := rnd.Uint64()
		l.clients.Go(func() {
			c := &client{m: l.m, process: l, rnd: rand.New(rand.NewPCG(seed, 1))}
			if !c.connect() {
				return
			}
			if i < p.BurstRequests {
				defer c.disconnect()
				c.sendRequest()
				return
			}
			l.expectRejection(c.nc, "a client that says nothing")
		})
	}
}
