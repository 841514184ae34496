package back

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowcleat/balance"
	"arrowcleat/internal/h1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// What each fate proves. Nothing but no connection, no byte, or the node's own word counts as never having run.
func TestEnding(t *testing.T) {
	deadline := fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
	for _, c := range []struct {
		what string
		fate DispatchOutcome
		want balance.Outcome
		ran  bool
	}{
		{"refused", DispatchOutcome{Err: syscall.ECONNREFUSED}, balance.ConnectFailed, false},
		{"not open in time", DispatchOutcome{Err: deadline, Expired: true}, balance.ConnectFailed, false},
		{"cancelled while it opened", DispatchOutcome{Err: context.Canceled, Canceled: true}, balance.Ignored, false},
		{"time over before a byte", DispatchOutcome{Connected: true, Err: deadline, Expired: true}, balance.Ignored, false},
		{"no byte taken", DispatchOutcome{Connected: true, Err: syscall.EPIPE}, balance.ConnectFailed, false},
		{"one byte taken", DispatchOutcome{Connected: true, BytesWritten: 1, Err: syscall.EPIPE}, balance.ConnectionReset, true},
		{"part taken", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: syscall.EPIPE}, balance.ConnectFailed, false},
		{"time over with part taken", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: deadline, Expired: true}, balance.Ignored, false},
		{"cancelled with part taken", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: deadline, Canceled: true}, balance.Ignored, false},
		{"closed without an answer", DispatchOutcome{Connected: true, BytesWritten: 9, Err: io.EOF}, balance.ConnectionReset, true},
		{"reset", DispatchOutcome{Connected: true, BytesWritten: 9, Err: syscall.ECONNRESET}, balance.ConnectionReset, true},
		{"time over after a byte", DispatchOutcome{Connected: true, BytesWritten: 9, Err: deadline, Expired: true}, balance.TimedOut, true},
		{"cancelled after a byte", DispatchOutcome{Connected: true, BytesWritten: 9, Err: deadline, Canceled: true}, balance.Canceled, true},
		{"no HTTP", DispatchOutcome{Connected: true, BytesWritten: 9, Err: errors.Join(h1.ErrMalformed)}, balance.Failed, true},
		{"answered", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 200}, balance.Succeeded, true},
		{"answered in the moment of a cancel", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 200, Canceled: true}, balance.Succeeded, true},
		{"the client's fault", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 404}, balance.Succeeded, true},
		{"an error", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 500}, balance.Failed, true},
		{"turned away", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503, Rejected: true}, balance.Rejected, false},
		{"too many, turned away", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 429, Rejected: true}, balance.Rejected, false},
		{"503 without the word", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503}, balance.Failed, true},
		{"the word with another status", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 500, Rejected: true}, balance.Failed, true},
		{"turned away, but the answer broke", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503, Rejected: true, Err: io.ErrUnexpectedEOF},
			balance.ConnectionReset, true},
	} {
		got := c.fate.Classify()
		ran := got != balance.Rejected && got != balance.ConnectFailed && got != balance.Ignored
		if got != c.want || ran != c.ran {
			t.Errorf("%s: ending %d, may have run %v", c.what, got, ran)
		}
	}
}

func TestReport(t *testing.T) {
	for text, want := range map[string]string{
		"TEXT cpu_utilization=0.3, rps_fractional=12,named_metrics.service_ms=8.5": "map[busy:0.3 rate:12 service-ms:8.5]",
		"TEXT cpu_utilization=-1, rps_fractional=NaN, eps=1e99, other=3":           "map[]",
		"JSON {}": "map[]", "": "map[]",
	} {
		if got := fmt.Sprint((&Pool{}).ParseReport(textproto.MIMEHeader{"Endpoint-Load-Metrics": {text}})); got != want {
			t.Errorf("%q: %s", text, got)
		}
	}
	if got := (&Pool{}).ParseReport(textproto.MIMEHeader{}); got != nil {
		t.Error(got)
	}
}

// Kept connections: the last one used comes first; closed, too old and too many are not used; a probe has its own.
func TestPool(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ends []net.Conn
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			ends = append(ends, c)
			mu.Unlock()
			wg.Go(func() { io.Copy(io.Discard, bufio.NewReader(c)) })
		}
	})
	p := &Pool{Limits: h1.Limits{LineBytes: 100, HeaderBytes: 100}, DialTimeout: time.Second, IdleTimeout: 60 * time.Millisecond, MaxIdlePerNode: 2}
	defer func() {
		p.Close()
		ln.Close()
		mu.Lock()
		for _, c := range ends {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	}()
	get := func(fresh bool) *Conn {
		t.Helper()
		c, err := p.Get(context.Background(), ln.Addr().String(), fresh)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b, c := get(false), get(false), get(false)
	p.Put(a)
	p.Put(b)
	p.Put(c) // one more than is kept
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("what is too many stays open")
	}
	if d := get(true); d == a || d == b || d.Reused {
		t.Error("a fresh one was kept")
	} else {
		d.Close()
	}
	if d := get(false); d != b || !d.Reused {
		t.Error("not the last one used")
	}
	mu.Lock()
	for len(ends) < 4 { // the node has accepted all that were opened
		mu.Unlock()
		time.Sleep(time.Millisecond)
		mu.Lock()
	}
	for _, e := range ends { // the node closes
		e.Close()
	}
	mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	e := get(false)
	if e == a || e.Reused {
		t.Error("a connection that the node closed was used")
	}
	p.Put(e)
	time.Sleep(80 * time.Millisecond)
	p.Sweep()
	if _, err := e.Write([]byte("x")); err == nil {
		t.Error("what is too old stays open")
	}
	p.Close()
	f := get(false)
	p.Put(f)
	if _, err := f.Write([]byte("x")); err == nil {
		t.Error("what comes back to a closed pool stays open")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Get(ctx, ln.Addr().String(), true); err == nil {
		t.Error("a cancelled dial gave a connection")
	}
}

// A connection rests after its answer: one that rests longer goes first, and what comes late ends it before it is used.
func TestSettle(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := &Pool{IdleTimeout: time.Minute, MaxIdlePerNode: 9, ReuseDelay: 80 * time.Millisecond, DialTimeout: time.Second}
	defer p.Close()
	get := func() (*Conn, net.Conn) {
		c, err := p.Get(context.Background(), ln.Addr().String(), true)
		if err != nil {
			t.Fatal(err)
		}
		there, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c, there
	}
	first, there := get()
	defer there.Close()
	p.Put(first)
	if p.IdleConn(first.address) != nil {
		t.Error("one that has not rested is used")
	}
	time.Sleep(p.ReuseDelay)
	second, there2 := get()
	defer there2.Close()
	p.Put(second)
	if got := p.IdleConn(first.address); got != first {
		t.Error("the one that has rested is not used")
	}
	io.WriteString(there2, "late")
	time.Sleep(p.ReuseDelay)
	if p.IdleConn(first.address) != nil || !second.closed.Load() {
		t.Error("one on which something came late is used")
	}
	p.Put(first)
}

// Connections come back while their node is dropped, and after it. One that came between the look for its node's connections and
// the end of these was in a list that nobody had any more: open for ever and counted for ever; and of each address that a connection
// came back to, an empty list stayed. Once they have been unused for their time, nothing is left.
func TestNothingStaysOfDroppedNodes(t *testing.T) {
	p := &Pool{IdleTimeout: time.Millisecond, MaxIdlePerNode: 9}
	var wg sync.WaitGroup
	for i := range 3000 {
		address := fmt.Sprint("node ", i)
		for range 3 {
			mine, other := net.Pipe()
			defer other.Close()
			p.total.Add(1)
			c := &Conn{Conn: mine, address: address, pool: p, Reader: h1.NewReader(mine, readBuffer)}
			wg.Go(func() { p.Put(c) })
		}
		wg.Go(func() { p.CloseIdle(address) })
		if i%100 == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
	time.Sleep(2 * p.IdleTimeout)
	p.Sweep()
	lists := 0
	p.nodes.Range(func(any, any) bool { lists++; return true })
	if n := p.total.Load(); n != 0 || lists != 0 {
		t.Errorf("%d connections stay open, %d lists stay", n, lists)
	}
}

// A connection that the kernel calls broken by ETIMEDOUT or EHOSTUNREACH is none whose time is up: net.Error says so of the first.
func TestBrokenIsNoTimeout(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		err := error(&net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)})
		if IsTimeout(err) || !IsDisconnect(err) {
			t.Errorf("%v: timeout %v, gone %v", err, IsTimeout(err), IsDisconnect(err))
		}
		if how := (DispatchOutcome{Connected: true, BytesWritten: 10, Err: err}).Classify(); how != balance.ConnectionReset {
			t.Errorf("%v after the request was written: %v", err, how)
		}
	}
	ctx, done := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer done()
	for _, err := range []error{os.ErrDeadlineExceeded, ctx.Err()} {
		if !IsTimeout(err) {
			t.Errorf("%v is no time-out", err)
		}
	}
}
