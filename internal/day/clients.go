package day

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowcleat/internal/front"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// clients sends invocations in an open loop: their times do not depend on when others are answered. Answers are parsed
// by net/http and not by the marshal's own code.
type clients struct {
	tb         *testbed
	pools      []*pool
	wg         sync.WaitGroup
	keyWeights []float64 // cumulative Zipf weights

	mu           sync.Mutex
	rnd          *rand.Rand
	seq          int
	rateFactor   float64 // factor on the scenario's rate
	hotShare     float64 // share of the invocations that go to hot keys
	hotKeys      int
	shiftedShare float64 // share of the invocations of other zones that go to the marshals of zone 0 instead
	badShare     float64 // share of invalid invocations
}

func newClients(tb *testbed) *clients {
	c := &clients{tb: tb, rnd: rand.New(rand.NewPCG(tb.Seed, 3)), rateFactor: 1}
	for _, m := range tb.marshals {
		c.pools = append(c.pools, &pool{marshal: m})
	}
	sum := 0.0
	for k := range max(1, int(tb.Scenario.Keys)) {
		sum += math.Pow(float64(k+1), -tb.Scenario.Zipf)
		c.keyWeights = append(c.keyWeights, sum)
	}
	return c
}

// update changes the rate and the shares while the clients run.
func (c *clients) update(f func(*clients)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// run sends invocations for a duration and waits until all have ended.
func (c *clients) run(ctx context.Context, duration time.Duration) {
	start := time.Now()
	next := start
	for time.Since(start) < duration && ctx.Err() == nil {
		c.mu.Lock()
		next = next.Add(time.Duration(c.rnd.ExpFloat64() / (c.tb.Scenario.Rate * c.rateFactor) * float64(time.Second)))
		inv := c.newRequest()
		c.mu.Unlock()
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		c.wg.Go(func() { c.invoke(inv) })
	}
	c.wg.Wait()
}

// requestSpec specifies one invocation of a client.
type requestSpec struct {
	id, key, idempotencyKey string
	op                      int
	workMs                  float64
	timeLimit               time.Duration
	retriesLeft             int // retries that the client still makes
	attempt                 int
	marshal                 int
	bad                     bool          // invalid: every node fails it
	leaveAfter              time.Duration // when the client disconnects; 0 for never
	trickle                 bool          // written in small pieces
	large, expect           bool          // with a large body; with Expect: 100-continue
	head                    bool          // method HEAD in place of GET
	pipelined               *requestSpec  // a second invocation, sent in the same write
}

// newRequest draws a random invocation; c.mu is held.
func (c *clients) newRequest() *requestSpec {
	tb, p, h := c.tb, c.tb.Scenario, c.tb.Scenario.Habits
	v := &requestSpec{op: pickWeighted(p.Mix, c.rnd), retriesLeft: c.rnd.IntN(int(h.Retries) + 1), attempt: 1}
	v.workMs = p.WorkMs[v.op] * (0.6 + 0.8*c.rnd.Float64())
	v.timeLimit = time.Duration(p.Settings.Operation[v.op].LimitMs * (h.PatienceLeast + (1-h.PatienceLeast)*c.rnd.Float64()) *
		float64(time.Millisecond))
	v.key = "k" + strconv.Itoa(c.drawKey())
	if c.rnd.Float64() < c.hotShare {
		v.key = "hot" + strconv.Itoa(c.rnd.IntN(c.hotKeys))
	}
	v.marshal = c.rnd.IntN(len(c.pools))
	for c.rnd.Float64() < c.shiftedShare && tb.marshals[v.marshal].zone != 0 {
		v.marshal = c.rnd.IntN(len(c.pools))
	}
	v.bad = c.rnd.Float64() < c.badShare
	c.assignID(v)
	v.idempotencyKey = v.id
	get := p.Settings.Operation[v.op].Match[0].Method == "GET"
	switch u := c.rnd.Float64(); {
	case u < h.Leave:
		v.leaveAfter = time.Duration(c.rnd.Float64() * 0.15 * float64(v.timeLimit))
	case u < h.Leave+h.Pipeline:
		second := *v
		c.assignID(&second)
		second.idempotencyKey = second.id
		v.pipelined = &second
	case u < h.Leave+h.Pipeline+h.Trickle:
		v.trickle = true
	case u < h.Leave+h.Pipeline+h.Trickle+h.Large:
		v.large = !get
	case u < h.Leave+h.Pipeline+h.Trickle+h.Large+h.Expect:
		v.expect = !get
	case u < h.Leave+h.Pipeline+h.Trickle+h.Large+h.Expect+h.Head:
		v.head = get
	}
	return v
}

// assignID gives a request a new identifier; c.mu is held.
func (c *clients) assignID(v *requestSpec) {
	c.seq++
	v.id = fmt.Sprintf("%d-%d", c.tb.Seed, c.seq)
}

// drawKey draws the number of a key by the Zipf weights.
func (c *clients) drawKey() int {
	u := c.rnd.Float64() * c.keyWeights[len(c.keyWeights)-1]
	for k, sum := range c.keyWeights {
		if u < sum {
			return k
		}
	}
	return 0
}

// pickWeighted draws an index with the given weights.
func pickWeighted(weights []float64, rnd *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	u := rnd.Float64() * sum
	for i, w := range weights {
		if u < w {
			return i
		}
		u -= w
	}
	return len(weights) - 1
}

// encode returns the invocation as an HTTP/1.1 request.
func (v *requestSpec) encode(set *settings.Settings) []byte {
	o := set.Operation[v.op]
	m := o.Match[0]
	var b bytes.Buffer
	method := m.Method
	if v.head {
		method = "HEAD"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: booking.example\r\n", method, strings.Replace(m.Path, "*", v.key, 1))
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: %.3f\r\n", standin.InvHeader, v.id, standin.OpHeader, v.op,
		standin.KeyHeader, v.key, standin.WorkHeader, v.workMs)
	fmt.Fprintf(&b, "%s: %d\r\n", set.Headers.TimeMs, v.timeLimit.Milliseconds())
	if o.Repeat == settings.Repeat_FINGERPRINTED {
		fmt.Fprintf(&b, "%s: %s\r\n", set.Headers.Mark, v.idempotencyKey)
	}
	if v.bad {
		b.WriteString(standin.BadRequestHeader + ": 1\r\n")
	}
	if v.attempt > 1 && set.Headers.Retry != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", set.Headers.Retry, v.attempt)
	}
	if m.Method == "GET" {
		b.WriteString("\r\n")
		return b.Bytes()
	}
	size := 40
	if v.large {
		size = 100_000
	}
	if v.expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if v.workMs > 14 { // some bodies are chunked
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size))
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	}
	return b.Bytes()
}

// record records an event of an invocation.
func (c *clients) record(v *requestSpec, kind, final, text string, at time.Time) {
	c.tb.record(&record.Seen{Kind: kind, AtUs: at.UnixMicro(), Inv: v.id, Instance: int64(v.marshal), Op: int64(v.op), Key: v.key,
		LimitMs: float64(v.timeLimit) / float64(time.Millisecond), Final: final, Text: text})
}

// invoke sends an invocation and retries it as a client would.
func (c *clients) invoke(v *requestSpec) {
	start := time.Now()
	for {
		final, wait := c.exchange(v)
		o := c.tb.Scenario.Settings.Operation[v.op]
		mayRetry := final == front.Throttled || final == front.NotAccepted ||
			final == front.Terminated && o.Repeat == settings.Repeat_IDEMPOTENT
		remaining := time.Duration(o.LimitMs*float64(time.Millisecond)) - time.Since(start) - wait
		if !mayRetry || v.retriesLeft == 0 || remaining < 50*time.Millisecond || v.pipelined != nil {
			return
		}
		time.Sleep(wait)
		next := *v
		c.mu.Lock()
		c.assignID(&next)
		next.marshal = c.rnd.IntN(len(c.pools))
		c.mu.Unlock()
		next.retriesLeft, next.attempt, next.timeLimit, next.leaveAfter =
			v.retriesLeft-1, v.attempt+1, min(v.timeLimit, remaining), 0
		v = &next
	}
}

// exchange sends an invocation, and its pipelined one if any, and reads the answers.
func (c *clients) exchange(v *requestSpec) (final string, wait time.Duration) {
	cc, err := c.pools[v.marshal].get(c)
	if err != nil {
		c.record(v, "asked", "", "", time.Now())
		c.record(v, "refused", "", err.Error(), time.Now())
		return front.NotAccepted, 50 * time.Millisecond
	}
	text := v.encode(c.tb.Scenario.Settings)
	start := time.Now()
	c.record(v, "asked", "", "", start)
	if v.pipelined != nil {
		c.record(v.pipelined, "asked", "", "", start)
		text = append(text, v.pipelined.encode(c.tb.Scenario.Settings)...)
	}
	cc.lastRequest = v
	if err := cc.send(text, v.trickle); err != nil && !mayHoldAnswer(err) {
		c.record(v, "broke", "", "write: "+err.Error(), time.Now())
		if v.pipelined != nil {
			c.record(v.pipelined, "broke", "", "write: "+err.Error(), time.Now())
		}
		cc.Close()
		return "", 0
	}
	final, wait, keepOpen := c.readAnswer(cc, v, start)
	if v.pipelined != nil {
		if keepOpen {
			_, _, keepOpen = c.readAnswer(cc, v.pipelined, start)
		} else {
			c.record(v.pipelined, "left", "", "the first of two pipelined requests failed", time.Now())
		}
	}
	if keepOpen {
		c.pools[v.marshal].put(cc)
	} else {
		cc.Close()
	}
	return final, wait
}

// mayHoldAnswer reports whether a connection may hold an answer although a write to it has failed with err.
func mayHoldAnswer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// readAnswer reads the final answer to v, which was sent at start, and records it.
func (c *clients) readAnswer(cc *conn, v *requestSpec, start time.Time) (final string, wait time.Duration, keepOpen bool) {
	deadline := start.Add(v.timeLimit)
	if v.leaveAfter > 0 {
		deadline = start.Add(v.leaveAfter)
	}
	cc.SetReadDeadline(deadline)
	method := "POST"
	if v.head {
		method = "HEAD"
	}
	var resp *http.Response
	var body []byte
	var err error
	for {
		resp, err = http.ReadResponse(cc.reader, &http.Request{Method: method})
		if err == nil && resp.StatusCode < 200 {
			continue
		}
		break
	}
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	now := time.Now()
	switch {
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && v.leaveAfter > 0:
		c.record(v, "left", "", "", now)
		return "", 0, false
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		c.record(v, "silent", "", "", now)
		return "", 0, false
	case err != nil:
		c.record(v, "broke", "", err.Error(), now)
		return "", 0, false
	}
	final = resp.Header.Get(front.AnswerHeader)
	c.record(v, "answered", final, strconv.Itoa(resp.StatusCode), now)
	if final == front.Succeeded && resp.Header.Get(standin.InvHeader) != v.id ||
		final == front.Succeeded && !v.head && !strings.HasSuffix(strings.TrimSpace(string(body)), " "+v.id) {
		c.record(v, "mixed", final, resp.Header.Get(standin.InvHeader), now)
	}
	if resp.Header.Get("X-Answer") == standin.WrongValue {
		if node, err := strconv.ParseUint(resp.Header.Get("X-Node"), 10, 32); err == nil {
			c.tb.after(500*time.Millisecond, func() {
				c.tb.rollout.SendWrongAnswer(v.marshal, uint32(node), v.op, time.Since(start))
			})
		}
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	return final, wait, !resp.Close
}

// pool keeps the clients' idle connections to one marshal.
type pool struct {
	marshal *testMarshal
	mu      sync.Mutex
	idle    []*conn
}

// conn is a connection of the clients to a marshal.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	lastRequest *requestSpec
}

// get returns an idle connection that can be used again, or a new one.
func (p *pool) get(c *clients) (*conn, error) {
	for {
		p.mu.Lock()
		var cc *conn
		if n := len(p.idle) - 1; n >= 0 {
			cc, p.idle = p.idle[n], p.idle[:n]
		}
		p.mu.Unlock()
		if cc == nil {
			break
		}
		if cc.usable(c) {
			return cc, nil
		}
		cc.Close()
	}
	nc, err := net.DialTimeout("tcp", p.marshal.address, 300*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

// put keeps a connection for the next invocation.
func (p *pool) put(cc *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cc)
}

// usable reports whether an idle connection can be used again. It records data that arrived after the final answer.
func (cc *conn) usable(c *clients) bool {
	if cc.reader.Buffered() > 0 {
		c.record(cc.lastRequest, "extra", "", "", time.Now())
		return false
	}
	open := false
	raw, err := cc.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		if n > 0 && err == nil {
			c.record(cc.lastRequest, "extra", "", "", time.Now())
		}
		return true
	})
	return open
}

// send writes b in one go, or with trickle a few bytes at a time, as over a slow link.
func (cc *conn) send(b []byte, trickle bool) error {
	cc.SetWriteDeadline(time.Now().Add(5 * time.Second))
	step := len(b)
	if trickle {
		step = 16
	}
	for len(b) > 0 {
		n := min(step, len(b))
		if _, err := cc.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		if len(b) > 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	return nil
}

// closeIdle closes the idle connections after a final check for unexpected data.
func (c *clients) closeIdle() {
	for _, p := range c.pools {
		p.mu.Lock()
		for _, cc := range p.idle {
			cc.usable(c)
			cc.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}
