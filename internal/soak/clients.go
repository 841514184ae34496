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
	m    *marshalRun
	life *lifeRun
	rnd  *rand.Rand
	nc   net.Conn
	in   *bufio.Reader
	used bool   // an answer has come on the connection
	last string // id of the request before
}

func (c *client) run() {
	defer c.drop()
	for !c.life.over() {
		if !c.ask() {
			return
		}
		c.life.wait(c.pause())
	}
}

// pause draws how long the client rests before its next request. Long ones, longer than a marshal goes on taking new connections
// after TERM, have requests cross the end of connections that rest.
func (c *client) pause() time.Duration {
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
	if !c.life.mayConnect() {
		return false
	}
	nc, err := net.Dial("tcp", c.m.address)
	if err != nil {
		return false
	}
	c.nc, c.in, c.used = nc, bufio.NewReader(nc), false
	return true
}

func (c *client) drop() {
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

func (c *client) draw() request {
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
func (c *client) send(text string) error {
	if c.rnd.Float64() < c.m.run.plan.SplitShare {
		cut := 1 + c.rnd.IntN(len(text)-1)
		if _, err := io.WriteString(c.nc, text[:cut]); err != nil {
			return err
		}
		c.life.wait(between(c.rnd, 0, 60*time.Millisecond))
		text = text[cut:]
	}
	_, err := io.WriteString(c.nc, text)
	return err
}

func (c *client) see(r request, kind, final, text string, at time.Time) {
	c.m.run.see(&record.Seen{Kind: kind, AtUs: at.UnixMicro(), Inv: r.id, Instance: int64(c.m.number), Op: int64(r.class),
		LimitMs: float64(r.limit) / float64(time.Millisecond), Final: final, Text: text})
}

// ask sends one request and reads what comes; false ends the client.
func (c *client) ask() bool {
	if c.nc != nil && c.unasked() {
		c.drop()
	}
	if c.nc == nil && !c.connect() {
		return false
	}
	r := c.draw()
	if c.rnd.Float64() < c.m.run.plan.PartialShare {
		return c.half(r)
	}
	for again := false; ; again = true {
		c.life.asking.Add(1)
		err := c.send(r.text)
		asked := time.Now()
		c.see(r, "asked", "", "", asked)
		if err == nil && c.rnd.Float64() < c.m.run.plan.LeaveShare && !again {
			c.life.wait(time.Duration(c.rnd.Float64() * 0.3 * float64(r.limit)))
			if c.life.killed.Load() {
				c.life.asking.Add(-1)
				return false
			}
			c.life.asking.Add(-1)
			c.see(r, "left", "", "", time.Now())
			if t, ok := c.nc.(*net.TCPConn); ok && c.rnd.IntN(3) == 0 {
				t.SetLinger(0)
			}
			c.drop()
			return true
		}
		err = c.read(r, asked)
		c.life.asking.Add(-1)
		if err == nil {
			return true
		}
		c.atKill(r, asked)
		why := c.lost(err, again)
		c.drop()
		if why != "" {
			kind := "broke"
			if errors.Is(err, os.ErrDeadlineExceeded) {
				kind = "silent"
			}
			c.see(r, kind, "", why, time.Now())
			return true
		}
		c.see(r, "crossed", "", err.Error(), time.Now())
		if !c.connect() {
			c.see(r, "refused", "", "", time.Now())
			return false
		}
	}
}

// atKill checks a request without an answer against the kill that ended its process after TERM: trouble at nodes frees no request of its
// final answer.
func (c *client) atKill(r request, asked time.Time) {
	killed := c.life.killAt.Load()
	if killed == 0 {
		return
	}
	if out := time.Unix(0, killed).Sub(asked); out > answeredBefore {
		c.m.run.fault("%s was asked %v before the kill that came after TERM, and had no answer", r.id, out.Round(time.Millisecond))
	}
}

// resetWithin is how long a client waits for the reset that tells that its request was not read.
const resetWithin = 700 * time.Millisecond

// lost says why a request without an answer is lost; it is empty where it crossed the end of a connection that rested, and was not read:
// then the client sends it once more.
func (c *client) lost(err error, again bool) string {
	if !c.used || again || errors.Is(err, os.ErrDeadlineExceeded) || c.life.killed.Load() {
		return err.Error()
	}
	reset, stateErr := tcpstate.ResetWithin(c.nc, resetWithin)
	switch {
	case reset:
		return ""
	case stateErr != nil:
		return fmt.Sprintf("%v; its state: %v", err, stateErr)
	case c.life.killed.Load():
		return err.Error()
	default:
		return fmt.Sprintf("%v; it was read, and its connection closed without an answer", err)
	}
}

// errPart says that an answer came, but not whole.
var errPart = errors.New("not a whole answer")

// read reads an answer. The error is what ended the connection before it.
func (c *client) read(r request, asked time.Time) error {
	c.nc.SetReadDeadline(asked.Add(r.limit + answerSlack + seenLate))
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
		c.see(r, "broke", "", errPart.Error()+": "+err.Error(), now)
		c.drop()
		return nil
	}
	final := q.Header.Get(front.AnswerHeader)
	c.see(r, "answered", final, q.Status, now)
	refused := q.StatusCode == http.StatusServiceUnavailable || q.StatusCode == http.StatusTooManyRequests
	if (q.StatusCode == http.StatusOK) != (final == front.Succeeded) || final == front.Throttled && !refused || refused && final == front.Terminated ||
		final == front.Succeeded && string(body) != "made for "+r.id {
		c.see(r, "mixed", final, fmt.Sprintf("%d %.40q", q.StatusCode, body), now)
	}
	c.used, c.last = true, r.id
	if q.Close {
		c.drop()
	}
	return nil
}

// unasked says that something came on the connection behind the last answer; its mere end is none of that.
func (c *client) unasked() bool {
	if c.in.Buffered() == 0 {
		return false
	}
	b, _ := c.in.Peek(min(c.in.Buffered(), 40))
	c.see(request{id: c.last}, "extra", "", fmt.Sprintf("%q", b), time.Now())
	return true
}

// half sends part of a request and stays: an error or a close is due.
func (c *client) half(r request) bool {
	c.drop()
	if !c.connect() {
		return false
	}
	io.WriteString(c.nc, r.text[:1+c.rnd.IntN(len(r.text)-2)])
	c.life.stranger(c.nc, "half a request")
	c.nc = nil
	return true
}

// stranger waits for what a connection is owed that says nothing, or half.
func (l *lifeRun) stranger(nc net.Conn, what string) {
	l.strangers.Add(1)
	defer func() {
		nc.Close()
		l.strangers.Add(-1)
	}()
	due := time.Now().Add(strangerTime)
	nc.SetReadDeadline(due.Add(pauseMost + seenLate))
	b := make([]byte, len("HTTP/1.1 4"))
	n, err := io.ReadFull(nc, b) // it may come in pieces
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.killed.Load() {
		l.m.run.fault("%s: neither an error nor a close within %v", what, strangerTime)
	}
	if n > 0 && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 4") && !strings.HasPrefix(string(b[:n]), "HTTP/1.1 5") {
		l.m.run.fault("%s: got %q", what, b[:n])
	}
}

// crowd opens many connections at once; some ask, the others say nothing.
func (l *lifeRun) crowd(rnd *rand.Rand) {
	p := l.m.run.plan
	for i := range p.BurstConns {
		seed := rnd.Uint64()
		l.clients.Go(func() {
			c := &client{m: l.m, life: l, rnd: rand.New(rand.NewPCG(seed, 1))}
			if !c.connect() {
				return
			}
			if i < p.BurstRequests {
				defer c.drop()
				c.ask()
				return
			}
			l.stranger(c.nc, "a client that says nothing")
		})
	}
}
