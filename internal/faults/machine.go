// Package faults makes what a program runs on fail in the ways that Linux documents: sockets that can't be had for a moment, short reads,
// writes in pieces, broken connections, delays between any two steps, a wall clock that is stepped. All is drawn from a seed. It is
// handed in where a program is tested; nothing that serves uses it.
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

// Machine is a machine with faults.
type Machine struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	started time.Time
	scarce  []spell // when sockets can't be had, and for what
	steps   []step  // of the wall clock
}

// spell is a time in which system calls fail.
type spell struct {
	from, to time.Duration // since the start
	errno    syscall.Errno
}

// step sets the wall clock forward or back.
type step struct {
	at, by time.Duration
}

const (
	spellsFor   = 20 * time.Second // after the start
	pieceChance = 0.05             // of reads and writes that go in pieces
	delayChance = 0.01             // of steps that take a while
	delayMost   = 20 * time.Millisecond
)

// NewMachine draws the faults of a seed.
func NewMachine(seed uint64) *Machine {
	m := &Machine{rnd: rand.New(rand.NewPCG(seed, 21)), started: time.Now()}
	errnos := []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE, syscall.ECONNABORTED, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH}
	for at := m.upTo(2 * time.Second); at < spellsFor; at += m.upTo(1500 * time.Millisecond) {
		s := spell{at, at + m.upTo(120*time.Millisecond), errnos[m.rnd.IntN(len(errnos))]}
		m.scarce = append(m.scarce, s)
		at = s.to
	}
	for at := m.upTo(2 * time.Second); at < spellsFor; at += m.upTo(3 * time.Second) {
		hours := []time.Duration{-time.Hour, time.Hour, 3 * time.Second, -3 * time.Second}
		m.steps = append(m.steps, step{at, hours[m.rnd.IntN(len(hours))]})
	}
	return m
}

// Hooks hands the machine to a marshal.
func (m *Machine) Hooks() serve.Hooks {
	return serve.Hooks{Clock: slowClock{loop.Monotonic(), m}, Listen: m.Listen, Connect: m.Connect, WallClock: m.WallClock}
}

func (m *Machine) upTo(most time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rnd.Float64() * float64(most))
}

func (m *Machine) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Float64() < p
}

// delay is a step that may take a while.
func (m *Machine) delay() {
	if m.chance(delayChance) {
		time.Sleep(m.upTo(delayMost))
	}
}

// fails gives the error of a system call that fails now, nil for none.
func (m *Machine) fails(call string) error {
	now := time.Since(m.started)
	for _, s := range m.scarce {
		if now >= s.from && now < s.to {
			return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, s.errno)}
		}
	}
	return nil
}

// WallClock is the wall clock, with its steps so far.
func (m *Machine) WallClock() time.Time {
	now := time.Now()
	for _, s := range m.steps {
		if time.Since(m.started) >= s.at {
			now = now.Add(s.by)
		}
	}
	return now
}

// Listen listens at an address.
func (m *Machine) Listen(network, address string) (net.Listener, error) {
	if err := m.fails("socket"); err != nil {
		return nil, err
	}
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &listener{ln.(*net.TCPListener), m}, nil
}

// Connect opens a connection.
func (m *Machine) Connect(ctx context.Context, network, address string) (net.Conn, error) {
	m.delay()
	if err := m.fails("connect"); err != nil {
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
	if err := l.m.fails("accept4"); err != nil {
		return nil, err
	}
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &conn{nc, l.m}, nil
}

// conn reads short, writes in pieces, and breaks in other words.
type conn struct {
	*net.TCPConn
	m *Machine
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) > 1 && c.m.chance(pieceChance) {
		b = b[:1+int(c.m.upTo(time.Duration(min(len(b)-1, 64))))]
	}
	n, err := c.TCPConn.Read(b)
	c.m.delay()
	if errors.Is(err, syscall.ECONNRESET) {
		others := []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", others[int(c.m.upTo(time.Duration(len(others))))%len(others)])}
	}
	return n, err
}

func (c *conn) Write(b []byte) (n int, err error) {
	c.m.delay()
	if len(b) < 2 || !c.m.chance(pieceChance) {
		return c.TCPConn.Write(b)
	}
	first := 1 + int(c.m.upTo(time.Duration(len(b)-1)))
	if n, err = c.TCPConn.Write(b[:first]); err != nil {
		return n, err
	}
	time.Sleep(c.m.upTo(delayMost / 4))
	more, err := c.TCPConn.Write(b[first:])
	return n + more, err
}

// slowClock is the machine's clock, at which a look may take a while.
type slowClock struct {
	loop.Clock
	m *Machine
}

func (c slowClock) Now() float64 {
	now := c.Clock.Now()
	if c.m.chance(delayChance / 10) {
		time.Sleep(c.m.upTo(delayMost))
	}
	return now
}
