// Package control implements the line protocols between a marshal and the service registry, the rollout service and
// other marshals. docs/protocol.md describes every message. A line is a sequence of words separated by single spaces and
// ends with CRLF.
package control

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"arrowcleat/internal/deadline"
)

// MaxLineBytes is the maximum length of a line, without its CRLF.
const MaxLineBytes = 1024

// lineParser reads the words of a line in order. It keeps the first error; later reads return zero values.
type lineParser struct {
	remaining []string
	err       error
}

// newLineParser returns a parser of a line.
func newLineParser(line string) *lineParser { return &lineParser{remaining: strings.Fields(line)} }

// word reads the next word. In this and the other methods, what names the field in error messages.
func (p *lineParser) word(what string) string {
	if p.err != nil {
		return ""
	}
	if len(p.remaining) == 0 {
		p.err = errors.New(what + " is missing")
		return ""
	}
	word := p.remaining[0]
	p.remaining = p.remaining[1:]
	return word
}

// integer reads an integer between least and most.
func (p *lineParser) integer(what string, least, most int64) int64 {
	word := p.word(what)
	if p.err != nil {
		return 0
	}
	v, err := strconv.ParseInt(word, 10, 64)
	if err != nil || v < least || v > most {
		p.err = fmt.Errorf("%s: %.40q is not an integer from %d to %d", what, word, least, most)
	}
	return v
}

// float reads a number between least and most.
func (p *lineParser) float(what string, least, most float64) float64 {
	word := p.word(what)
	if p.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || !(v >= least && v <= most) {
		p.err = fmt.Errorf("%s: %.40q is not a number from %g to %g", what, word, least, most)
	}
	return v
}

// oneOf reads a word that must be among known, and returns its index.
func (p *lineParser) oneOf(what string, known ...string) int {
	word := p.word(what)
	if p.err != nil {
		return 0
	}
	for i, name := range known {
		if name == word {
			return i
		}
	}
	p.err = fmt.Errorf("%s: %.40q is not one of %s", what, word, strings.Join(known, ", "))
	return 0
}

// finish returns the first error. Words left at the end of the line are an error.
func (p *lineParser) finish() error {
	if p.err == nil && len(p.remaining) > 0 {
		p.err = fmt.Errorf("unexpected word %.40q at the end of the line", p.remaining[0])
	}
	return p.err
}

const (
	maxMS      = 1e12          // upper bound of times and ages, in ms
	maxVersion = math.MaxInt64 // upper bound of epochs and versions of the node list
)

// healthNames, phaseNames and verdictNames are words of the protocol, indexed by the values of balance.Health,
// balance.Phase and balance.Verdict.
var healthNames = []string{"serving", "draining", "gone"}
var phaseNames = []string{"trial", "back", "released", "withdrawn"}
var verdictNames = []string{"none", "on", "hold", "back"}

// messageTimeout is the time from the first byte of a message to its last. The services write a message in one piece.
const messageTimeout = 3 * time.Second

// LineConn is a connection of a line protocol. A line longer than MaxLineBytes is a read error, so that a peer can't
// make the reader buffer an endless line. So is a line that is cut off by the end of the connection, or that has begun and
// isn't whole within messageTimeout.
type LineConn struct {
	*textproto.Conn
	bounded  *boundedConn
	deadline *deadline.Conn
}

// NewLineConn returns a LineConn on a connection.
func NewLineConn(nc net.Conn) *LineConn {
	timed := &deadline.Conn{Conn: nc, MessageTimeout: messageTimeout}
	bounded := &boundedConn{Conn: timed}
	return &LineConn{textproto.NewConn(bounded), bounded, timed}
}

// boundedConn fails reads once the allowance for the current line is used up.
type boundedConn struct {
	net.Conn
	remaining int // bytes that may still be read
}

// Read reads from the connection, at most as many bytes as remain.
func (b *boundedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("line longer than %d bytes", MaxLineBytes)
	}
	n, err := b.Conn.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// NextLine reads the first line of a message, for which it waits as long as it takes.
func (l *LineConn) NextLine() (string, error) {
	l.bounded.remaining = MaxLineBytes + 2 // with CRLF
	if _, err := l.R.Peek(1); err != nil {
		return "", err
	}
	return l.readLine()
}

// FollowingLine reads a further line of a message, which must follow at once.
func (l *LineConn) FollowingLine() (string, error) {
	l.bounded.remaining = MaxLineBytes + 2
	return l.readLine()
}

// readLine reads a line within messageTimeout.
func (l *LineConn) readLine() (string, error) {
	l.deadline.BeginMessage()
	line, err := l.R.ReadString('\n')
	l.deadline.EndMessage()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // the line is cut off
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}
