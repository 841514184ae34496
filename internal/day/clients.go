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

// clients asks on an open loop: when an invocation comes does not hang on when others are answered. What is read
// goes through net/http's reader of responses, not through the marshal's own code.
type clients struct {
	w      *world
	pools  []*pool
	wg     sync.WaitGroup
	weight []float64

	mu      sync.Mutex
	rnd     *rand.Rand
	seq     int
	times   float64 // of the planned rate
	hot     float64
	hotKeys int
	shifted float64
	bad     float64
}

func newClients(w *world) *clients {
	c := &clients{w: w, rnd: rand.New(rand.NewPCG(w.Seed, 3)), times: 1}
	for _, m := range w.marshals {
		c.pools = append(c.pools, &pool{m: m})
	}
	sum := 0.0
	for k := range max(1, int(w.Plan.Keys)) {
		sum += math.Pow(float64(k+1), -w.Plan.Zipf)
		c.weight = append(c.weight, sum)
	}
	return c
}

func (c *clients) set(f func(*clients)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// run asks for as long as the day lasts, and waits until all is answered.
func (c *clients) run(ctx context.Context, for_ time.Duration) {
	begun := time.Now()
	next := begun
	for time.Since(begun) < for_ && ctx.Err() == nil {
		c.mu.Lock()
		next = next.Add(time.Duration(c.rnd.ExpFloat64() / (c.w.Plan.Rate * c.times) * float64(time.Second)))
		inv := c.draw()
		c.mu.Unlock()
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		c.wg.Go(func() { c.invoke(inv) })
	}
	c.wg.Wait()
}

// wish is one invocation as a client means it.
type wish struct {
	id, key, mark string
	op            int
	work          float64
	limit         time.Duration
	left          int // repeats that the client would make
	try           int
	marshal       int
	bad           bool
	leave         time.Duration // when the client goes, 0 for never
	trickle       bool
	large, expect bool
	head          bool
	second        *wish // sent in one go with it
}

// draw makes up an invocation; c.mu is held.
func (c *clients) draw() *wish {
	w, p, h := c.w, c.w.Plan, c.w.Plan.Habits
	v := &wish{op: pick(p.Mix, c.rnd), left: c.rnd.IntN(int(h.Retries) + 1), try: 1}
	v.work = p.WorkMs[v.op] * (0.6 + 0.8*c.rnd.Float64())
	v.limit = time.Duration(p.Settings.Operation[v.op].LimitMs * (h.PatienceLeast + (1-h.PatienceLeast)*c.rnd.Float64()) *
		float64(time.Millisecond))
	v.key = "k" + strconv.Itoa(c.key())
	if c.rnd.Float64() < c.hot {
		v.key = "hot" + strconv.Itoa(c.rnd.IntN(c.hotKeys))
	}
	v.marshal = c.rnd.IntN(len(c.pools))
	for c.rnd.Float64() < c.shifted && w.marshals[v.marshal].zone != 0 {
		v.marshal = c.rnd.IntN(len(c.pools))
	}
	v.bad = c.rnd.Float64() < c.bad
	c.name(v)
	v.mark = v.id
	get := p.Settings.Operation[v.op].Match[0].Method == "GET"
	switch u := c.rnd.Float64(); {
	case u < h.Leave:
		v.leave = time.Duration(c.rnd.Float64() * 0.15 * float64(v.limit))
	case u < h.Leave+h.Pipeline:
		second := *v
		c.name(&second)
		second.mark = second.id
		v.second = &second
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

func (c *clients) name(v *wish) {
	c.seq++
	v.id = fmt.Sprintf("%d-%d", c.w.Seed, c.seq)
}

func (c *clients) key() int {
	u := c.rnd.Float64() * c.weight[len(c.weight)-1]
	for k, sum := range c.weight {
		if u < sum {
			return k
		}
	}
	return 0
}

func pick(shares []float64, rnd *rand.Rand) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	u := rnd.Float64() * sum
	for i, s := range shares {
		if u < s {
			return i
		}
		u -= s
	}
	return len(shares) - 1
}

// request writes an invocation as HTTP.
func (v *wish) request(set *settings.Settings) []byte {
	o := set.Operation[v.op]
	m := o.Match[0]
	var b bytes.Buffer
	method := m.Method
	if v.head {
		method = "HEAD"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: booking.example\r\n", method, strings.Replace(m.Path, "*", v.key, 1))
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: %.3f\r\n", standin.InvHeader, v.id, standin.OpHeader, v.op,
		standin.KeyHeader, v.key, standin.WorkHeader, v.work)
	fmt.Fprintf(&b, "%s: %d\r\n", set.Headers.TimeMs, v.limit.Milliseconds())
	if o.Repeat == settings.Repeat_FINGERPRINTED {
		fmt.Fprintf(&b, "%s: %s\r\n", set.Headers.Mark, v.mark)
	}
	if v.bad {
		b.WriteString(standin.BadRequestHeader + ": 1\r\n")
	}
	if v.try > 1 && set.Headers.Retry != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", set.Headers.Retry, v.try)
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
	if v.work > 14 { // some in chunks
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size))
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	}
	return b.Bytes()
}

func (c *clients) see(v *wish, kind, final, text string, at time.Time) {
	c.w.see(&record.Seen{Kind: kind, AtUs: at.UnixMicro(), Inv: v.id, Instance: int64(v.marshal), Op: int64(v.op), Key: v.key,
		LimitMs: float64(v.limit) / float64(time.Millisecond), Final: final, Text: text})
}

// invoke asks, and asks again as clients do.
func (c *clients) invoke(v *wish) {
	begun := time.Now()
	for {
		final, wait := c.ask(v)
		o := c.w.Plan.Settings.Operation[v.op]
		again := final == front.Throttled || final == front.NotAccepted || final == front.Terminated && o.Repeat == settings.Repeat_IDEMPOTENT
		rest := time.Duration(o.LimitMs*float64(time.Millisecond)) - time.Since(begun) - wait
		if !again || v.left == 0 || rest < 50*time.Millisecond || v.second != nil {
			return
		}
		time.Sleep(wait)
		next := *v
		c.mu.Lock()
		c.name(&next)
		next.marshal = c.rnd.IntN(len(c.pools))
		c.mu.Unlock()
		next.left, next.try, next.limit, next.leave = v.left-1, v.try+1, min(v.limit, rest), 0
		v = &next
	}
}

// ask sends an invocation, with its second where it has one, and reads what comes.
func (c *clients) ask(v *wish) (final string, wait time.Duration) {
	cc, err := c.pools[v.marshal].get(c)
	if err != nil {
		c.see(v, "asked", "", "", time.Now())
		c.see(v, "refused", "", err.Error(), time.Now())
		return front.NotAccepted, 50 * time.Millisecond
	}
	text := v.request(c.w.Plan.Settings)
	begun := time.Now()
	c.see(v, "asked", "", "", begun)
	if v.second != nil {
		c.see(v.second, "asked", "", "", begun)
		text = append(text, v.second.request(c.w.Plan.Settings)...)
	}
	cc.last = v
	if err := cc.send(text, v.trickle); err != nil && !readable(err) {
		c.see(v, "broke", "", "write: "+err.Error(), time.Now())
		if v.second != nil {
			c.see(v.second, "broke", "", "write: "+err.Error(), time.Now())
		}
		cc.Close()
		return "", 0
	}
	final, wait, keep := c.read(cc, v, begun)
	if v.second != nil {
		if keep {
			_, _, keep = c.read(cc, v.second, begun)
		} else {
			c.see(v.second, "left", "", "after the first of two failed", time.Now())
		}
	}
	if keep {
		c.pools[v.marshal].put(cc)
	} else {
		cc.Close()
	}
	return final, wait
}

// readable says that a connection whose write failed may hold an answer all the same.
func readable(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

func (c *clients) read(cc *conn, v *wish, begun time.Time) (final string, wait time.Duration, keep bool) {
	until := begun.Add(v.limit)
	if v.leave > 0 {
		until = begun.Add(v.leave)
	}
	cc.SetReadDeadline(until)
	method := "POST"
	if v.head {
		method = "HEAD"
	}
	var resp *http.Response
	var body []byte
	var err error
	for {
		resp, err = http.ReadResponse(cc.r, &http.Request{Method: method})
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
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && v.leave > 0:
		c.see(v, "left", "", "", now)
		return "", 0, false
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		c.see(v, "silent", "", "", now)
		return "", 0, false
	case err != nil:
		c.see(v, "broke", "", err.Error(), now)
		return "", 0, false
	}
	final = resp.Header.Get(front.AnswerHeader)
	c.see(v, "answered", final, strconv.Itoa(resp.StatusCode), now)
	if final == front.Succeeded && resp.Header.Get(standin.InvHeader) != v.id ||
		final == front.Succeeded && !v.head && !strings.HasSuffix(strings.TrimSpace(string(body)), " "+v.id) {
		c.see(v, "mixed", final, resp.Header.Get(standin.InvHeader), now)
	}
	if resp.Header.Get("X-Answer") == standin.WrongValue {
		if node, err := strconv.ParseUint(resp.Header.Get("X-Node"), 10, 32); err == nil {
			c.w.after(500*time.Millisecond, func() {
				c.w.conveyor.SendWrongAnswer(v.marshal, uint32(node), v.op, time.Since(begun))
			})
		}
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	return final, wait, !resp.Close
}

// pool keeps a client's connections to one marshal.
type pool struct {
	m    *aMarshal
	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	r    *bufio.Reader
	last *wish
}

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
		if cc.open(c) {
			return cc, nil
		}
		cc.Close()
	}
	nc, err := net.DialTimeout("tcp", p.m.address, 300*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReader(nc)}, nil
}

func (p *pool) put(cc *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cc)
}

// open says that an idle connection can be used; what came on it unasked came after a final answer.
func (cc *conn) open(c *clients) bool {
	if cc.r.Buffered() > 0 {
		c.see(cc.last, "extra", "", "", time.Now())
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
			c.see(cc.last, "extra", "", "", time.Now())
		}
		return true
	})
	return open
}

// send writes at once, or a few bytes at a time as a client on a bad line does.
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

// close looks a last time for what came unasked.
func (c *clients) close() {
	for _, p := range c.pools {
		p.mu.Lock()
		for _, cc := range p.idle {
			cc.open(c)
			cc.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}
