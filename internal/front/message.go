package front

import (
	"net"
	"net/textproto"
	"strconv"

	"arrowcleat/internal/h1"
)

// message is a message to be written: its head, its body and what follows the body.
type message struct {
	head, body, tail []byte
}

// join returns the message in one buffer, which may be that of the head.
func (m message) join() []byte { return append(append(m.head, m.body...), m.tail...) }

// length returns the length of the message in bytes.
func (m message) length() int { return len(m.head) + len(m.body) + len(m.tail) }

// inChunk frames the body, which goes on, as a chunk.
func (m *message) inChunk() {
	if len(m.body) > 0 {
		m.head = append(strconv.AppendInt(m.head, int64(len(m.body)), 16), "\r\n"...)
		m.tail = append(m.tail, "\r\n"...)
	}
}

// inOneChunk frames the whole body as a chunk, followed by trailers.
func (m *message) inOneChunk(trailers textproto.MIMEHeader) {
	m.inChunk()
	m.tail = h1.AppendLastChunk(m.tail, trailers)
}

// writeTo writes the message and returns how much of it was written, and the buffer to reuse for the next head. A long body
// is written from where it is, so that it takes no second buffer.
func (m message) writeTo(nc net.Conn) (written int64, reusable []byte, err error) {
	if len(m.body) <= maxReusedBufferBytes {
		joined := m.join()
		n, err := nc.Write(joined)
		return int64(n), reuse(joined), err
	}
	buffers := net.Buffers{m.head, m.body, m.tail}
	written, err = buffers.WriteTo(nc)
	return written, reuse(m.head), err
}

// reuse returns a buffer that is kept for the next message, nil for one that is too large.
func reuse(buffer []byte) []byte {
	if cap(buffer) > maxReusedBufferBytes {
		return nil
	}
	return buffer
}
