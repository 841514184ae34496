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

// lineParser reads the lineParser of a line in order; the first that is missing or wrong is kept as the error.
type lineParser struct {
	remaining []string
	err       error
}

func newLineParser(line string) *lineParser { return &lineParser{remaining: strings.Fields(line)} }

func (w *lineParser) word(what string) string {
	if w.err != nil {
		return ""
	}
	if len(w.remaining) == 0 {
		w.err = errors.New(what + " is missing")
		return ""
	}
	word := w.remaining[0]
	w.remaining = w.remaining[1:]
	return word
}

func (w *lineParser) integer(what string, least, most int64) int64 {
	word := w.word(what)
	if w.err != nil {
		return 0
	}
	v, err := strconv.ParseInt(word, 10, 64)
	if err != nil || v < least || v > most {
		w.err = fmt.Errorf("%s: %.40q is not a whole number from %d to %d", what, word, least, most)
	}
	return v
}

func (w *lineParser) float(what string, least, most float64) float64 {
	word := w.word(what)
	if w.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || !(v >= least && v <= most) {
		w.err = fmt.Errorf("%s: %.40q is not a number from %g to %g", what, word, least, most)
	}
	return v
}

func (w *lineParser) oneOf(what string, known ...string) int {
	word := w.word(what)
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

func (w *lineParser) finish() error {
	if w.err == nil && len(w.remaining) > 0 {
		w.err = fmt.Errorf("%.40q is one word too many", w.remaining[0])
	}
	return w.err
}

const (
	maxMS      = 1e12
	maxVersion = math.MaxInt64
)

var healthNames = []string{"serving", "draining", "gone"}
var phaseNames = []string{"trial", "back", "released", "withdrawn"}
var verdictNames = []string{"none", "on", "hold", "back"}

// LineConn is one connection of a line protocol; a line longer than Longest ends it before it fills memory.
type LineConn struct {
	*textproto.Conn
	bounded *boundedConn
}

// NewLineConn speaks lines on a connection.
func NewLineConn(nc net.Conn) *LineConn {
	b := &boundedConn{Conn: nc}
	return &LineConn{textproto.NewConn(b), b}
}

type boundedConn struct {
	net.Conn
	remaining int
}

func (b *boundedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("a line of more than %d bytes", MaxLineBytes)
	}
	n, err := b.Conn.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// NextLine reads one line.
func (l *LineConn) NextLine() (string, error) {
	l.bounded.remaining = MaxLineBytes + 2
	return l.ReadLine()
}
