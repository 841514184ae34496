package serve

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/settings"
)

// faultyNetwork is the network of the machine. Its calls fail while an error is injected.
type faultyNetwork struct {
	errno  atomic.Int64 // 0: none
	failed atomic.Int64 // number of calls that failed
}

func (n *faultyNetwork) injectedError(call string) error {
	errno := n.errno.Load()
	if errno == 0 {
		return nil
	}
	n.failed.Add(1)
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, syscall.Errno(errno))}
}

func (n *faultyNetwork) set(errno syscall.Errno) { n.errno.Store(int64(errno)) }

func (n *faultyNetwork) listen(network, address string) (net.Listener, error) {
	if err := n.injectedError("socket"); err != nil {
		return nil, err
	}
	ln, err := net.Listen(network, address)
	return &faultyListener{ln.(*net.TCPListener), n}, err
}

func (n *faultyNetwork) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if err := n.injectedError("connect"); err != nil {
		return nil, err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

type faultyListener struct {
	*net.TCPListener
	n *faultyNetwork
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.n.injectedError("accept4"); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// Accept fails during a stop, for longer than the final check of the accept queue once took: the listener was closed
// while the queue held a request, which was reset.
func TestAcceptFailsDuringStop(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			n := &faultyNetwork{}
			r := startRig(t, 1, echoPath, nil, testHooks{Hooks: Hooks{Listen: n.listen}})
			first := r.client() // by then an accept call waits for the next connection
			first.send(get, "look")
			first.expect("200")
			n.set(errno)
			next := r.client() // accepted, since the waiting accept call began before the fault
			next.send(get, "look")
			next.expect("200")
			queued := r.client()
			queued.send(get, "look-queued")
			stopped := make(chan error, 1)
			go func() { stopped <- r.m.Stop() }()
			time.Sleep(200 * time.Millisecond)
			n.set(0)
			queued.expect("200 succeeded /look-queued")
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// Connecting to nodes fails briefly for a reason of the marshal's own machine. Each attempt was counted against the
// node, and the request used up its attempts within a millisecond and was terminated.
func TestTransientConnectFailure(t *testing.T) {
	const outage = 60 * time.Millisecond
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			n := &faultyNetwork{}
			r := startRig(t, 2, echoPath, nil, testHooks{Hooks: Hooks{Connect: n.connect}})
			n.set(errno)
			c := r.client()
			c.send("POST /once HTTP/1.1\nHost: x\nContent-Length: 2\n\nab")
			time.Sleep(outage)
			n.set(0)
			c.expect("200 succeeded /once")
			if s, _ := r.m.Snapshot(); s.Dispatches != 1 || r.received() != 1 {
				t.Errorf("%d dispatches, %d requests reached nodes; outcomes %v", s.Dispatches, r.received(), s.Outcomes)
			}
		})
	}
}

// A start while the machine lacks resources for sockets waits for them. A start whose address is in use fails at once.
func TestStartDuringSocketShortage(t *testing.T) {
	n := &faultyNetwork{}
	n.set(syscall.ENOBUFS)
	go func() {
		for n.failed.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		n.set(0)
	}()
	r := startRig(t, 1, echoPath, nil, testHooks{Hooks: Hooks{Listen: n.listen}})
	c := r.client()
	c.send(get, "look")
	c.expect("200")
	set, err := settings.Parse("taken", []byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	set.Listen.Invocations = r.m.Address()
	start := time.Now()
	if _, err := Start(set, r.m.Log, Hooks{}); err == nil || time.Since(start) > time.Second {
		t.Errorf("address in use: error %v after %v", err, time.Since(start))
	}
}

// The marshal ends at once, as after a second stop signal or a panic of its module, while a request waits in the accept
// queue. The request must still be accepted and answered as not taken.
func TestImmediateEndAnswersAcceptQueue(t *testing.T) {
	n := &faultyNetwork{}
	r := startRig(t, 1, echoPath, nil, testHooks{Hooks: Hooks{Listen: n.listen}})
	n.set(syscall.EMFILE)
	next := r.client() // the waiting accept call began before the fault
	next.send(get, "look")
	next.expect("200")
	queued := r.client()
	queued.send(get, "look-queued")
	n.set(0)
	if err := r.m.End(); err != nil {
		t.Error(err)
	}
	queued.expect("503 not-taken")
}

// delayedConn is a connection whose writer is delayed between the final check of the clock and the write.
type delayedConn struct {
	*net.TCPConn
	delay time.Duration
}

func (c delayedConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.TCPConn.Write(b)
}

// A dispatch was decided on before its node was reported as draining. It is about to be written just before the grace
// period ends, and the marshal is not scheduled for 0.15 s between the final check and the write. The request reached
// the node 0.1 s after the grace period.
func TestSchedulingDelayBeforeWriteToDrainingNode(t *testing.T) {
	const schedulingDelay, grace = 150 * time.Millisecond, 300 * time.Millisecond
	connected := make(chan struct{})
	r := startRig(t, 0, echoPath, func(s *settings.Settings) {
		s.Rules.GraceMs = float64(grace.Milliseconds())
		s.Times.DialMs, s.Operation[0].LimitMs = 2000, 2000
	}, testHooks{Hooks: Hooks{Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		<-connected
		return delayedConn{nc.(*net.TCPConn), schedulingDelay}, nil
	}}})
	got := make(chan time.Time, 1)
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	go func() {
		if nc, err := node.Accept(); err == nil {
			defer nc.Close()
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				got <- time.Now()
			}
		}
	}()
	r.setNode(9, node.Addr().String(), balance.Serving)
	r.waitFor("the marshal knows the node", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) == 1 })
	c := r.client()
	c.send(get, "look")
	r.waitFor("the invocation is dispatched", func() bool { s, _ := r.m.Snapshot(); return s.Dispatches == 1 })
	notifiedAt := time.Now()
	r.setNode(9, node.Addr().String(), balance.Draining)
	time.Sleep(grace - 50*time.Millisecond)
	close(connected)
	select {
	case at := <-got:
		if late := at.Sub(notifiedAt); late > grace {
			t.Errorf("the node got a request %v after it was reported as draining; the grace period is %v", late, grace)
		}
	case <-time.After(2 * schedulingDelay):
	}
}
