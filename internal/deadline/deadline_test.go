package deadline

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

const timeout = 100 * time.Millisecond

// pair returns a Conn and the other end of its connection.
func pair(t *testing.T, idle time.Duration) (*Conn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return &Conn{Conn: near, IdleTimeout: idle, MessageTimeout: timeout}, far
}

// trickle writes a byte every quarter of the timeout, until a write fails.
func trickle(far net.Conn) {
	for {
		if _, err := far.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(timeout / 4)
	}
}

// TestTrickleDoesNotExtendMessage guards against a connection that is kept alive by bytes of a message that never ends.
func TestTrickleDoesNotExtendMessage(t *testing.T) {
	for _, idle := range []time.Duration{0, timeout} {
		c, far := pair(t, idle)
		go trickle(far)
		c.BeginMessage()
		start := time.Now()
		var err error
		for err == nil && time.Since(start) < 10*timeout {
			c.BeginMessage() // has no effect within a message
			_, err = c.Read(make([]byte, 8))
		}
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took < timeout || took > 5*timeout {
			t.Errorf("idle timeout %v: error %v after %v; want a timeout after %v", idle, err, took, timeout)
		}
	}
}

// Between messages a byte in time is enough, or any time without an idle timeout.
func TestBetweenMessages(t *testing.T) {
	c, far := pair(t, timeout)
	go trickle(far)
	for start := time.Now(); time.Since(start) < 3*timeout; {
		if _, err := c.Read(make([]byte, 8)); err != nil {
			t.Fatalf("a byte that came in time: %v", err)
		}
		c.BeginMessage()
		c.EndMessage()
	}
	c, far = pair(t, 0)
	time.AfterFunc(3*timeout, func() { far.Write([]byte("x")) })
	if _, err := c.Read(make([]byte, 8)); err != nil {
		t.Errorf("without an idle timeout: %v", err)
	}
}

// What arrived in time is read although this process was stalled past the deadline.
func TestStalledReader(t *testing.T) {
	c, far := pair(t, timeout)
	c.BeginMessage()
	go far.Write([]byte("x"))
	time.Sleep(2 * timeout)
	if n, err := c.Read(make([]byte, 8)); n != 1 || err != nil {
		t.Errorf("read %d bytes, error %v; want 1 byte", n, err)
	}
}
