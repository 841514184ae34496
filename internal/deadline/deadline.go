// Package deadline bounds the time in which messages arrive on a connection.
package deadline

import (
	"errors"
	"net"
	"os"
	"time"
)

// Conn is a connection that fails a read when nothing arrives for too long, or when a message that has begun is not
// complete in time. What arrives between the parts of a message doesn't extend the message's time.
type Conn struct {
	net.Conn
	IdleTimeout    time.Duration // for the next byte; 0: any time between messages
	MessageTimeout time.Duration // from the begin of a message to its end

	messageEnd time.Time // by when the present message must be complete; zero between messages
}

// BeginMessage notes that a message has begun, if none has.
func (c *Conn) BeginMessage() {
	if !c.InMessage() {
		c.messageEnd = time.Now().Add(c.MessageTimeout)
	}
}

// EndMessage notes that the message is complete.
func (c *Conn) EndMessage() { c.messageEnd = time.Time{} }

// InMessage reports whether a message has begun and is not complete.
func (c *Conn) InMessage() bool { return !c.messageEnd.IsZero() }

// finalReadTimeout is the time for one more read after a timeout. If this process was stalled, the deadline has passed
// although data arrived in time.
const finalReadTimeout = 20 * time.Millisecond

// Read reads from the connection, a second time if the deadline passed without data.
func (c *Conn) Read(b []byte) (int, error) {
	c.SetReadDeadline(c.readDeadline())
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// readDeadline returns the time by which the next byte must arrive, zero for none.
func (c *Conn) readDeadline() time.Time {
	if c.IdleTimeout == 0 {
		return c.messageEnd
	}
	idle := time.Now().Add(c.IdleTimeout)
	if c.InMessage() && c.messageEnd.Before(idle) {
		return c.messageEnd
	}
	return idle
}
