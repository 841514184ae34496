// Package faults injects faults that Linux documents into what a program runs on: sockets that are unavailable for a
// moment, short reads, writes in pieces, broken connections, delays between any two steps, a wall clock that is
// stepped. All are drawn from a seed. Only soaks and tests use them, never a marshal in service.
package faults

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"arrowcleat/internal/loop"
	"arrowcleat/internal/serve"
)

// Machine injects the faults of one machine.
type Machine struct {
	mu         sync.Mutex
	rnd        *rand.Rand
	started    time.Time
	shortages  []shortage // when sockets are unavailable, and with which error
	clockSteps []clockStep
}

// shortage is a period in which system calls fail.
type shortage struct {
	from, to time.Duration // since the start
	errno    syscall.Errno
}

// clockStep moves the wall clock forward or back.
type clockStep struct {
	at, by time.Duration
}

const (
	faultPeriod = 20 * time.Second // after the start, in which shortages and clock steps occur
	splitShare  = 0.05             // of reads that are short and of writes that go in two pieces
	delayShare  = 0.01             // of steps that are delayed
	maxDelay    = 20 * time.Millisecond
)

// NewMachine draws the faults of a machine from a seed.
func NewMachine(seed uint64) *Machine {
	m := &Machine{rnd: rand.New(rand.NewPCG(seed, 21)), started: time.Now()}
	errnos := []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE, syscall.ECONNABORTED, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH}
	for at := m.upTo(2 * time.Second); at < faultPeriod; at += m.upTo(1500 * time.Millisecond) {
		s := shortage{at, at + m.upTo(120*time.Millisecond), errnos[m.rnd.IntN(len(errnos))]}
		m.shortages = append(m.shortages, s)
		at = s.to
	}
	for at := m.upTo(2 * time.Second); at < faultPeriod; at += m.upTo(3 * time.Second) {
		steps := []time.Duration{-time.Hour, time.Hour, 3 * time.Second, -3 * time.Second}
		m.clockSteps = append(m.clockSteps, clockStep{at, steps[m.rnd.IntN(len(steps))]})
	}
	return m
}

// Hooks returns the hooks that have a marshal run on the machine.
func (m *Machine) Hooks() serve.Hooks {
	return serve.Hooks{Clock: slowClock{loop.Monotonic(), m}, Listen: m.Listen, Connect: m.Connect, WallClock: m.WallClock}
}

// upTo draws a time below most.
func (m *Machine) upTo(most time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rnd.Float64() * float64(most))
}

// chance returns true with probability p.
func (m *Machine) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Float64() < p
}

// delay sleeps for a moment in a share of its calls.
func (m *Machine) delay() {
	if m.chance(delayShare) {
		time.Sleep(m.upTo(maxDelay))
	}
}

// shortageError returns the error with which a system call fails now, nil if it doesn't.
func (m *Machine) shortageError(call string) error {
	now := time.Since(m.started)
	for _, s := range m.shortages {
		if now >= s.from && now < s.to {
			return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, s.errno)}
		}
	}
	return nil
}

// WallClock returns the time of the wall clock, with its steps so far.
func (m *Machine) WallClock() time.Time {
	now := time.Now()
	for _, s := range m.clockSteps {
		if time.Since(m.started) >= s.at {
			now = now.Add(s.by)
		}
	}
	return now
}

// Listen listens at an address, or fails in a shortage.
func (m *Machine) Listen(network, address string) (net.Listener, error) {
	if err := m.shortageError("socket"); err != nil {
		return nil, err
	}
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &listener{ln.(*net.TCPListener), m}, nil
}

// Connect opens a connection, or fails in a shortage.
func (m *Machine) Connect(ctx context.Context, network, address string) (net.Conn, error) {
	m.delay()
	if err := m.shortageError("connect"); err != nil {
		return nil, err
	}
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{nc.(*net.TCPConn), m}, nil
}

type listener struct {
	*net.TCPListener
	m *Machine
}

func (l *listener) Accept() (net.Conn, error) {
	if err := l.m.shortageError("accept4"); err != nil {
		return nil, err
	}
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &conn{nc, l.m}, nil
}

// conn has short reads and writes in two pieces, and replaces a reset by another error in some cases.
type conn struct {
	*net.TCPConn
	m *Machine
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) > 1 && c.m.chance(splitShare) {
		b = b[:1+int(c.m.upTo(time.Duration(min(len(b)-1, 64))))]
	}
	n, err := c.TCPConn.Read(b)
	c.m.delay()
	if errors.Is(err, syscall.ECONNRESET) {
		errnos := []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
		err = &net.OpError{Op: "read", Net: "tcp",
			Err: os.NewSyscallError("read", errnos[int(c.m.upTo(time.Duration(len(errnos))))%len(errnos)])}
	}
	return n, err
}

func (c *conn) Write(b []byte) (n int, err error) {
	c.m.delay()
	if len(b) < 2 || !c.m.chance(splitShare) {
		return c.TCPConn.Write(b)
	}
	first := 1 + int(c.m.upTo(time.Duration(len(b)-1)))
	if n, err = c.TCPConn.Write(b[:first]); err != nil {
		return n, err
	}
	time.Sleep(c.m.upTo(maxDelay / 4))
	more, err := c.TCPConn.Write(b[first:])
	return n + more, err
}

// slowClock is the machine's monotonic clock; some of its reads are delayed.
type slowClock struct {
	loop.Clock
	m *Machine
}

func (c slowClock) Now() float64 {
	now := c.Clock.Now()
	if c.m.chance(delayShare / 10) {
		time.Sleep(c.m.upTo(maxDelay))
	}
	return now
}
