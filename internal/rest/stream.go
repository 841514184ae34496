package rest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"arrowcleat/internal/deadline"
	"arrowcleat/internal/h1"
)

// Layout is how the objects of a stream are laid out.
type Layout int

// Layouts of streams.
const (
	// AnyLayout allows any white space between and within objects.
	AnyLayout Layout = iota
	// ObjectPerLine is one object on each line. The end of a line ends an object, whole or not.
	ObjectPerLine
)

// Stream is an endless response that consists of JSON objects. White space between objects serves as a keep-alive.
type Stream struct {
	Address, Target string
	Layout          Layout
	Timeout         time.Duration // for the next byte, and from the first byte to the last one of the head and of each object
}

// errNoObject is the error of a stream that holds anything but JSON objects.
var errNoObject = errors.New("not a JSON object")

// Follow requests the stream on a connection and calls handle with each object, until the stream ends, times out or
// holds something that is not an object, or until handle returns an error. Reads may split objects anywhere. A part of
// an object ends the stream as soon as it can't become a whole one, keep-alives behind it or not.
func (s Stream) Follow(nc net.Conn, handle func([]byte) error) error {
	nc.SetWriteDeadline(time.Now().Add(s.Timeout))
	if err := sendRequest(nc, s.Address, "GET", s.Target, nil); err != nil {
		return err
	}
	conn := &deadline.Conn{Conn: nc, IdleTimeout: s.Timeout, MessageTimeout: s.Timeout}
	r := h1.NewReader(conn, 4096)
	conn.BeginMessage()
	h, err := readResponseHead(r, "GET")
	if err != nil {
		return err
	}
	conn.EndMessage()
	if h.Status != 200 {
		return fmt.Errorf("following %s: status %d", s.Target, h.Status)
	}
	objects := s.Layout.newReader(r.Body(h, headLimits), conn)
	for {
		object, err := objects.next()
		if err == io.EOF {
			return err
		}
		if err != nil {
			return fmt.Errorf("following %s: %w", s.Target, err)
		}
		if err := handle(object); err != nil {
			return err
		}
	}
}

// reader reads the objects of a stream.
type reader interface {
	next() ([]byte, error)
}

// newReader returns a reader of the objects of a body, which arrives on conn.
func (l Layout) newReader(body io.Reader, conn *deadline.Conn) reader {
	if l == ObjectPerLine {
		return newLineReader(body, conn)
	}
	return newObjectReader(body, conn)
}

// whiteSpace is the white space of JSON.
const whiteSpace = " \t\r\n"

// objectReader reads objects in any layout.
type objectReader struct {
	body      io.Reader
	conn      *deadline.Conn
	decoder   *json.Decoder
	remaining int // bytes that the present object may still have
}

func newObjectReader(body io.Reader, conn *deadline.Conn) *objectReader {
	r := &objectReader{body: body, conn: conn}
	r.decoder = json.NewDecoder(r)
	return r
}

// next returns the next object.
func (r *objectReader) next() ([]byte, error) {
	r.remaining = maxObjectBytes
	r.conn.EndMessage()
	if r.hasBegun() {
		r.conn.BeginMessage()
	}
	var value json.RawMessage
	if err := r.decoder.Decode(&value); err != nil {
		return nil, err
	}
	if value[0] != '{' {
		return nil, fmt.Errorf("%w: %.80q", errNoObject, value)
	}
	return value, nil
}

// hasBegun reports whether the first bytes of the next object have been read.
func (r *objectReader) hasBegun() bool {
	buffered, _ := io.ReadAll(r.decoder.Buffered()) // from memory, so that it can't fail
	return len(bytes.TrimLeft(buffered, whiteSpace)) > 0
}

// Read reads for the decoder. It leaves out white space before an object, so that keep-alives need no memory.
func (r *objectReader) Read(p []byte) (int, error) {
	for {
		if r.remaining == 0 {
			return 0, h1.ErrTooLarge
		}
		n, err := r.body.Read(p[:min(len(p), r.remaining)])
		if !r.conn.InMessage() {
			n = copy(p, bytes.TrimLeft(p[:n], whiteSpace))
		}
		if n > 0 {
			r.conn.BeginMessage()
			r.remaining -= n
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// lineReader reads objects that stand on a line each.
type lineReader struct {
	conn  *deadline.Conn
	lines *bufio.Scanner
}

func newLineReader(body io.Reader, conn *deadline.Conn) *lineReader {
	r := &lineReader{conn, bufio.NewScanner(body)}
	r.lines.Buffer(nil, maxLineBytes)
	r.lines.Split(r.split)
	return r
}

// split is bufio.ScanLines, but for a whole object, which doesn't wait for its line end: news is urgent. It notes when a line
// has begun and is not whole.
func (r *lineReader) split(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, atEOF)
	begun := bytes.Trim(data, whiteSpace)
	switch {
	case advance > 0 || len(begun) == 0:
		r.conn.EndMessage()
	case isObject(begun):
		r.conn.EndMessage()
		return len(data), data, nil
	default:
		r.conn.BeginMessage()
	}
	return advance, line, err
}

// isObject reports whether a text is one whole JSON object.
func isObject(text []byte) bool {
	return text[0] == '{' && text[len(text)-1] == '}' && json.Valid(text)
}

// next returns the object of the next line that is not blank.
func (r *lineReader) next() ([]byte, error) {
	for r.lines.Scan() {
		line := bytes.Trim(r.lines.Bytes(), whiteSpace)
		if len(line) == 0 {
			continue
		}
		if !isObject(line) {
			return nil, fmt.Errorf("%w: %.80q", errNoObject, line)
		}
		return line, nil
	}
	if err := r.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}
