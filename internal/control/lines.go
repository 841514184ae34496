// Package control speaks the line protocols between a marshal and the roster, the conveyor and other marshals:
// docs/protocol.md has every message. Lines end with CRLF and are words separated by single spaces.
package control

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/textproto"
	"strconv"
	"strings"
)

// MaxLineBytes is the most bytes a line may have.
const MaxLineBytes = 1024

// words reads the words of a line in order; the first that is missing or wrong is kept as the error.
type words struct {
	rest []string
	err  error
}

func fields(line string) *words { return &words{rest: strings.Fields(line)} }

func (w *words) next(what string) string {
	if w.err != nil {
		return ""
	}
	if len(w.rest) == 0 {
		w.err = errors.New(what + " is missing")
		return ""
	}
	word := w.rest[0]
	w.rest = w.rest[1:]
	return word
}

func (w *words) whole(what string, least, most int64) int64 {
	word := w.next(what)
	if w.err != nil {
		return 0
	}
	v, err := strconv.ParseInt(word, 10, 64)
	if err != nil || v < least || v > most {
		w.err = fmt.Errorf("%s: %.40q is not a whole number from %d to %d", what, word, least, most)
	}
	return v
}

func (w *words) number(what string, least, most float64) float64 {
	word := w.next(what)
	if w.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || !(v >= least && v <= most) {
		w.err = fmt.Errorf("%s: %.40q is not a number from %g to %g", what, word, least, most)
	}
	return v
}

func (w *words) one(what string, known ...string) int {
	word := w.next(what)
	if w.err != nil {
		return 0
	}
	for i, k := range known {
		if k == word {
			return i
		}
	}
	w.err = fmt.Errorf("%s: %.40q is none of %s", what, word, strings.Join(known, ", "))
	return 0
}

func (w *words) end() error {
	if w.err == nil && len(w.rest) > 0 {
		w.err = fmt.Errorf("%.40q is one word too many", w.rest[0])
	}
	return w.err
}

const (
	mostMS      = 1e12
	mostVersion = math.MaxInt64
)

var healths = []string{"serving", "draining", "gone"}
var phases = []string{"trial", "back", "released", "withdrawn"}
var verdicts = []string{"none", "on", "hold", "back"}

// LineConn is one connection of a line protocol; a line longer than Longest ends it before it fills memory.
type LineConn struct {
	*textproto.Conn
	b *bounded
}

// NewLineConn speaks lines on a connection.
func NewLineConn(nc net.Conn) *LineConn {
	b := &bounded{Conn: nc}
	return &LineConn{textproto.NewConn(b), b}
}

type bounded struct {
	net.Conn
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("a line of more than %d bytes", MaxLineBytes)
	}
	n, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// NextLine reads one line.
func (l *LineConn) NextLine() (string, error) {
	l.b.left = MaxLineBytes + 2
	return l.ReadLine()
}
