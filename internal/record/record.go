// Package record writes and reads records, which are files of length-delimited protobuf messages. Recorder records
// all events and calls of a marshal's decision module, and Replay drives a new module with such a record.
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

// Writer appends messages to a file until its size limit is reached. A failed write ends the record, not the marshal.
type Writer struct {
	mu        sync.Mutex
	file      *os.File
	buf       *bufio.Writer
	bytesLeft int64
	lastFlush time.Time
	err       error
}

// ErrFull is returned by a write that would exceed the size limit of the record.
var ErrFull = errors.New("record has reached its size limit")

const (
	// flushInterval is the time after which a write also flushes the buffer.
	flushInterval = 200 * time.Millisecond
	// maxPrefixBytes is the longest length prefix of a message, a varint.
	maxPrefixBytes = 10
)

// Create creates a record file of at most maxBytes; 0 means no limit.
func Create(path string, maxBytes int64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if maxBytes <= 0 {
		maxBytes = 1 << 62
	}
	return &Writer{file: f, buf: bufio.NewWriterSize(f, 1<<16), bytesLeft: maxBytes, lastFlush: time.Now()}, nil
}

// Write appends a message. After one write has failed, all later ones return its error.
func (w *Writer) Write(m proto.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	size := int64(proto.Size(m)) + maxPrefixBytes
	if size > w.bytesLeft {
		w.err = ErrFull
		w.buf.Flush()
		return w.err
	}
	w.bytesLeft -= size
	if _, w.err = protodelim.MarshalTo(w.buf, m); w.err == nil && time.Since(w.lastFlush) > flushInterval {
		w.lastFlush = time.Now()
		w.err = w.buf.Flush()
	}
	return w.err
}

// Close flushes the buffer and closes the file.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.err
	if err == nil {
		err = w.buf.Flush()
	}
	w.err = os.ErrClosed
	return errors.Join(err, w.file.Close())
}

// Reader reads the messages of a record.
type Reader struct {
	buf          *bufio.Reader
	closer       io.Closer
	Truncated    bool // the last message was incomplete, as in the record of a killed process
	MessagesRead int
}

// Open opens a record file for reading.
func Open(path string) (*Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Reader{buf: bufio.NewReaderSize(f, 1<<16), closer: f}, nil
}

// NewReader returns a Reader of the record that r supplies.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReader(r), closer: io.NopCloser(nil)}
}

// Next reads the next message into m. It returns io.EOF at the end of the record; an incomplete last message counts
// as the end and sets Truncated.
func (r *Reader) Next(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: 64 << 20}.UnmarshalFrom(r.buf, m)
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

// Close closes the record file.
func (r *Reader) Close() error { return r.closer.Close() }
