// Package record keeps what passed: Writer and Reader handle files of length-delimited messages, Tap records all
// that a marshal's module was told and asked for, and Replay drives a fresh module with such a record.
package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Writer appends messages to a file until a bound is reached. A write that fails ends the record, not the marshal.
type Writer struct {
	mu      sync.Mutex
	f       *os.File
	b       *bufio.Writer
	left    int64
	flushed time.Time
	err     error
}

// ErrFull says that a record has reached its bound and ends there.
var ErrFull = errors.New("the record has reached its bound")

const flushEvery = 200 * time.Millisecond

// Create begins a record of at most so many bytes; 0 is no bound.
func Create(path string, most int64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if most <= 0 {
		most = 1 << 62
	}
	return &Writer{f: f, b: bufio.NewWriterSize(f, 1<<16), left: most, flushed: time.Now()}, nil
}

// Write appends a message; once one has failed all do.
func (w *Writer) Write(m proto.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	size := int64(proto.Size(m)) + 10
	if size > w.left {
		w.err = ErrFull
		w.b.Flush()
		return w.err
	}
	w.left -= size
	if _, w.err = protodelim.MarshalTo(w.b, m); w.err == nil && time.Since(w.flushed) > flushEvery {
		w.flushed = time.Now()
		w.err = w.b.Flush()
	}
	return w.err
}

// Close writes out what is left.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.err
	if err == nil {
		err = w.b.Flush()
	}
	w.err = os.ErrClosed
	return errors.Join(err, w.f.Close())
}

// Reader reads messages; a torn tail ends it like the end of the file, and Torn says so.
type Reader struct {
	b            *bufio.Reader
	f            io.Closer
	Truncated    bool
	MessagesRead int
}

// Open reads a record.
func Open(path string) (*Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Reader{b: bufio.NewReaderSize(f, 1<<16), f: f}, nil
}

// NewReader reads a record from anywhere.
func NewReader(r io.Reader) *Reader { return &Reader{b: bufio.NewReader(r), f: io.NopCloser(nil)} }

// Next reads a message into m; io.EOF ends the record.
func (r *Reader) Next(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: 64 << 20}.UnmarshalFrom(r.b, m)
	switch {
	case err == nil:
		r.MessagesRead++
		return nil
	case err == io.EOF:
		return io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.Truncated = true
		return io.EOF
	}
	return fmt.Errorf("record: message %d: %w", r.MessagesRead+1, err)
}

// Close closes the file.
func (r *Reader) Close() error { return r.f.Close() }
