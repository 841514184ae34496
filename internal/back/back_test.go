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

// An invocation counts as never run only if there was no connection, no byte was written, only part was written to a
// node that needs complete requests, or the node states it.
func TestClassify(t *testing.T) {
	deadline := fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
	for _, c := range []struct {
		name       string
		outcome    DispatchOutcome
		want       balance.Outcome
		mayHaveRun bool
	}{
		{"refused", DispatchOutcome{Err: syscall.ECONNREFUSED}, balance.ConnectFailed, false},
		{"connection not open within the time limit", DispatchOutcome{Err: deadline, Expired: true}, balance.ConnectFailed, false},
		{"canceled while connecting", DispatchOutcome{Err: context.Canceled, Canceled: true}, balance.Ignored, false},
		{"expired before the first byte", DispatchOutcome{Connected: true, Err: deadline, Expired: true}, balance.Ignored, false},
		{"no byte written", DispatchOutcome{Connected: true, Err: syscall.EPIPE}, balance.ConnectFailed, false},
		{"one byte written", DispatchOutcome{Connected: true, BytesWritten: 1, Err: syscall.EPIPE}, balance.ConnectionReset, true},
		{"part written", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: syscall.EPIPE}, balance.ConnectFailed, false},
		{"expired with part written", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: deadline, Expired: true}, balance.Ignored, false},
		{"canceled with part written", DispatchOutcome{Connected: true, BytesWritten: 1, PartialWrite: true, Err: deadline, Canceled: true}, balance.Ignored, false},
		{"closed without a response", DispatchOutcome{Connected: true, BytesWritten: 9, Err: io.EOF}, balance.ConnectionReset, true},
		{"reset", DispatchOutcome{Connected: true, BytesWritten: 9, Err: syscall.ECONNRESET}, balance.ConnectionReset, true},
		{"expired after a byte", DispatchOutcome{Connected: true, BytesWritten: 9, Err: deadline, Expired: true}, balance.TimedOut, true},
		{"canceled after a byte", DispatchOutcome{Connected: true, BytesWritten: 9, Err: deadline, Canceled: true}, balance.Canceled, true},
		{"response is not HTTP", DispatchOutcome{Connected: true, BytesWritten: 9, Err: errors.Join(h1.ErrMalformed)}, balance.Failed, true},
		{"response", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 200}, balance.Succeeded, true},
		{"response at the moment of a cancellation", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 200, Canceled: true}, balance.Succeeded, true},
		{"client error", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 404}, balance.Succeeded, true},
		{"server error", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 500}, balance.Failed, true},
		{"rejected", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503, Rejected: true}, balance.Rejected, false},
		{"rejected with 429", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 429, Rejected: true}, balance.Rejected, false},
		{"503 without the rejection header", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503}, balance.Failed, true},
		{"rejection header with another status", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 500, Rejected: true}, balance.Failed, true},
		{"rejected, but the response is incomplete", DispatchOutcome{Connected: true, BytesWritten: 9, Status: 503, Rejected: true, Err: io.ErrUnexpectedEOF},
			balance.ConnectionReset, true},
	} {
		got := c.outcome.Classify()
		mayHaveRun := got != balance.Rejected && got != balance.ConnectFailed && got != balance.Ignored
		if got != c.want || mayHaveRun != c.mayHaveRun {
			t.Errorf("%s: outcome %d, want %d; may have run %v, want %v", c.name, got, c.want, mayHaveRun, c.mayHaveRun)
		}
	}
}

func TestParseReport(t *testing.T) {
	for text, want := range map[string]string{
		"TEXT cpu_utilization=0.3, rps_fractional=12,named_metrics.service_ms=8.5": "map[busy:0.3 rate:12 service-ms:8.5]",
		"TEXT cpu_utilization=-1, rps_fractional=NaN, eps=1e99, other=3":           "map[]",
		"JSON {}": "map[]", "": "map[]",
	} {
		if got := fmt.Sprint((&Pool{}).ParseReport(textproto.MIMEHeader{"Endpoint-Load-Metrics": {text}})); got != want {
			t.Errorf("%q: report %s, want %s", text, got, want)
		}
	}
	if got := (&Pool{}).ParseReport(textproto.MIMEHeader{}); got != nil {
		t.Errorf("no report header: report %v, want nil", got)
	}
}

// The most recently used idle connection is reused first. Connections that are closed, idle for too long or beyond the
// maximum are not reused, and a fresh connection is never an idle one.
func TestPool(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var nodeConns []net.Conn
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			nodeConns = append(nodeConns, c)
			mu.Unlock()
			wg.Go(func() { io.Copy(io.Discard, bufio.NewReader(c)) })
		}
	})
	p := &Pool{Limits: h1.Limits{LineBytes: 100, HeaderBytes: 100}, DialTimeout: time.Second,
		IdleTimeout: 60 * time.Millisecond, MaxIdlePerNode: 2}
	defer func() {
		p.Close()
		ln.Close()
		mu.Lock()
		for _, c := range nodeConns {
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
	p.Put(c) // one more than MaxIdlePerNode
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("a connection beyond MaxIdlePerNode stays open")
	}
	if d := get(true); d == a || d == b || d.Reused {
		t.Error("Get with fresh returned an idle connection")
	} else {
		d.Close()
	}
	if d := get(false); d != b || !d.Reused {
		t.Error("Get did not return the most recently used connection")
	}
	mu.Lock()
	for len(nodeConns) < 4 { // until the node has accepted all connections
		mu.Unlock()
		time.Sleep(time.Millisecond)
		mu.Lock()
	}
	for _, e := range nodeConns { // the node closes them
		e.Close()
	}
	mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	e := get(false)
	if e == a || e.Reused {
		t.Error("Get returned a connection that the node had closed")
	}
	p.Put(e)
	time.Sleep(80 * time.Millisecond)
	p.Sweep()
	if _, err := e.Write([]byte("x")); err == nil {
		t.Error("a connection idle for longer than IdleTimeout stays open")
	}
	p.Close()
	f := get(false)
	p.Put(f)
	if _, err := f.Write([]byte("x")); err == nil {
		t.Error("a connection that was put back into a closed pool stays open")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Get(ctx, ln.Addr().String(), true); err == nil {
		t.Error("Get with a canceled context returned a connection")
	}
}

// A connection is not reused within ReuseDelay of its response, and bytes that arrive late close it before it is reused.
func TestReuseDelay(t *testing.T) {
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
		nodeConn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c, nodeConn
	}
	first, firstNodeConn := get()
	defer firstNodeConn.Close()
	p.Put(first)
	if p.IdleConn(first.address) != nil {
		t.Error("a connection is reused within ReuseDelay")
	}
	time.Sleep(p.ReuseDelay)
	second, secondNodeConn := get()
	defer secondNodeConn.Close()
	p.Put(second)
	if got := p.IdleConn(first.address); got != first {
		t.Error("the connection idle for longer than ReuseDelay is not reused")
	}
	io.WriteString(secondNodeConn, "late")
	time.Sleep(p.ReuseDelay)
	if p.IdleConn(first.address) != nil || !second.closed.Load() {
		t.Error("a connection that received bytes after its response is reused or stays open")
	}
	p.Put(first)
}

// Connections are put back while CloseIdle runs for their node, and after it. One that was put back between the lookup
// and the removal of its node's list was added to a list that nobody had any more, and stayed open and counted for
// ever; and an empty list stayed for each address to which a connection was put back. After IdleTimeout and a Sweep,
// nothing must be left.
func TestCloseIdleLeavesNothing(t *testing.T) {
	p := &Pool{IdleTimeout: time.Millisecond, MaxIdlePerNode: 9}
	var wg sync.WaitGroup
	for i := range 3000 {
		address := fmt.Sprint("node ", i)
		for range 3 {
			local, remote := net.Pipe()
			defer remote.Close()
			p.openConns.Add(1)
			c := &Conn{Conn: local, address: address, pool: p, Reader: h1.NewReader(local, readBufferBytes)}
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
	p.idleLists.Range(func(any, any) bool { lists++; return true })
	if n := p.openConns.Load(); n != 0 || lists != 0 {
		t.Errorf("%d connections stay open and %d lists remain, want none", n, lists)
	}
}

// ETIMEDOUT and EHOSTUNREACH from the kernel mean a broken connection, not a passed deadline. net.Error calls the first
// a timeout.
func TestDisconnectIsNotTimeout(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		err := error(&net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)})
		if IsTimeout(err) || !IsDisconnect(err) {
			t.Errorf("%v: IsTimeout %v, IsDisconnect %v, want false and true", err, IsTimeout(err), IsDisconnect(err))
		}
		if got := (DispatchOutcome{Connected: true, BytesWritten: 10, Err: err}).Classify(); got != balance.ConnectionReset {
			t.Errorf("%v after the request was written: outcome %d, want %d", err, got, balance.ConnectionReset)
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	for _, err := range []error{os.ErrDeadlineExceeded, ctx.Err()} {
		if !IsTimeout(err) {
			t.Errorf("IsTimeout(%v) is false, want true", err)
		}
	}
}
