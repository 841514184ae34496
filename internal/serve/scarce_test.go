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

// scarceNetwork is the machine's, whose calls fail while it lacks something.
type scarceNetwork struct {
	fails atomic.Int64 // the errno, 0 for none
	tried atomic.Int64 // calls that failed
}

func (n *scarceNetwork) err(call string) error {
	errno := n.fails.Load()
	if errno == 0 {
		return nil
	}
	n.tried.Add(1)
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, syscall.Errno(errno))}
}

func (n *scarceNetwork) set(errno syscall.Errno) { n.fails.Store(int64(errno)) }

func (n *scarceNetwork) listen(network, address string) (net.Listener, error) {
	if err := n.err("socket"); err != nil {
		return nil, err
	}
	ln, err := net.Listen(network, address)
	return &scarceListener{ln.(*net.TCPListener), n}, err
}

func (n *scarceNetwork) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if err := n.err("connect"); err != nil {
		return nil, err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

type scarceListener struct {
	*net.TCPListener
	n *scarceNetwork
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if err := l.n.err("accept4"); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// Accepting fails at the moment of the stop, for longer than the last look at the queue used to take: the listener was closed over a
// queue with a request in it, which was reset.
func TestAcceptFailsWhileItStops(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			n := &scarceNetwork{}
			r := start(t, 1, ok, nil, rigHooks{Hooks: Hooks{Listen: n.listen}})
			first := r.client() // accepting waits for another by then
			first.send(get, "look")
			first.expect("200")
			n.set(errno)
			waking := r.client() // it is accepted: the accept that waits had begun before
			waking.send(get, "look")
			waking.expect("200")
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

// Connecting to nodes fails for a moment for a reason of the machine's own. The node was blamed for each try, and the request used up its
// tries within a millisecond and was terminated.
func TestConnectFailsForAMoment(t *testing.T) {
	const moment = 60 * time.Millisecond
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			n := &scarceNetwork{}
			r := start(t, 2, ok, nil, rigHooks{Hooks: Hooks{Connect: n.connect}})
			n.set(errno)
			c := r.client()
			c.send("POST /once HTTP/1.1\nHost: x\nContent-Length: 2\n\nab")
			time.Sleep(moment)
			n.set(0)
			c.expect("200 succeeded /once")
			if l, _ := r.m.Look(); l.Dispatches != 1 || r.got() != 1 {
				t.Errorf("%d dispatches, %d requests reached nodes; endings %v", l.Dispatches, r.got(), l.Outcomes)
			}
		})
	}
}

// A start during which the machine lacks what a socket takes waits for it; one that can't have its address says so at once.
func TestStartWhileSocketsAreScarce(t *testing.T) {
	n := &scarceNetwork{}
	n.set(syscall.ENOBUFS)
	go func() {
		for n.tried.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		n.set(0)
	}()
	r := start(t, 1, ok, nil, rigHooks{Hooks: Hooks{Listen: n.listen}})
	c := r.client()
	c.send(get, "look")
	c.expect("200")
	set, err := settings.Parse("taken", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	set.Listen.Invocations = r.m.Address()
	begun := time.Now()
	if _, err := Start(set, r.m.Log, Hooks{}); err == nil || time.Since(begun) > time.Second {
		t.Errorf("an address that is taken: %v after %v", err, time.Since(begun))
	}
}

// The marshal ends at once, as after a second word to stop or a panic of its module, while a request waits to be accepted: it is still
// accepted and told that it was not taken.
func TestAcceptQueueAtAnEndAtOnce(t *testing.T) {
	n := &scarceNetwork{}
	r := start(t, 1, ok, nil, rigHooks{Hooks: Hooks{Listen: n.listen}})
	n.set(syscall.EMFILE)
	waking := r.client() // the accept that waits had begun before
	waking.send(get, "look")
	waking.expect("200")
	queued := r.client()
	queued.send(get, "look-queued")
	n.set(0)
	if err := r.m.End(); err != nil {
		t.Error(err)
	}
	queued.expect("503 not-taken")
}

// heldUpConn is a connection whose writer is held up between its last look at the clock and the write.
type heldUpConn struct {
	*net.TCPConn
	by time.Duration
}

func (c heldUpConn) Write(b []byte) (int, error) {
	time.Sleep(c.by)
	return c.TCPConn.Write(b)
}

// A dispatch decided on before the word that its node drains is about to be written just before the grace is over, and the marshal is held
// up for 0.15 s between its look and the write. It reached the node 0.1 s after the grace.
func TestHeldUpBeforeADrainingNodeIsWrittenTo(t *testing.T) {
	const heldUp, grace = 150 * time.Millisecond, 300 * time.Millisecond
	comesUp := make(chan struct{})
	r := start(t, 0, ok, func(s *settings.Settings) {
		s.Rules.GraceMs = float64(grace.Milliseconds())
		s.Times.DialMs, s.Operation[0].LimitMs = 2000, 2000
	}, rigHooks{Hooks: Hooks{Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		<-comesUp
		return heldUpConn{nc.(*net.TCPConn), heldUp}, nil
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
	r.list(9, node.Addr().String(), balance.Serving)
	r.until("it is known", func() bool { l, _ := r.m.Look(); return len(l.Nodes) == 1 })
	c := r.client()
	c.send(get, "look")
	r.until("it is on its way", func() bool { l, _ := r.m.Look(); return l.Dispatches == 1 })
	told := time.Now()
	r.list(9, node.Addr().String(), balance.Draining)
	time.Sleep(grace - 50*time.Millisecond)
	close(comesUp)
	select {
	case at := <-got:
		if late := at.Sub(told); late > grace {
			t.Errorf("the node got a request %v after the word that it drains; the grace is %v", late, grace)
		}
	case <-time.After(2 * heldUp):
	}
}
