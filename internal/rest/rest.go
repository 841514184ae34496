// Package rest is a small HTTP/1.1 client for single calls and for streams of JSON objects, on package h1. After an
// error the connection must not be used again.
package rest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"arrowcleat/internal/h1"
)

// Limits on what the server may send.
const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20 // of a response, and of an object of a stream
)

var headLimits = h1.Limits{LineBytes: maxHeadBytes / 4, HeaderBytes: maxHeadBytes}

// Call sends a request on a new connection and reads the response. sent reports whether the whole request was written;
// if not, the server has not carried it out.
func Call(ctx context.Context, address, method, target string, body []byte) (status int, response []byte, sent bool, err error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, nil, false, fmt.Errorf("connecting: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })()
	if err := sendRequest(nc, address, method, target, body); err != nil {
		return 0, nil, false, err
	}
	r := h1.NewReader(nc, 4096)
	h, err := readResponseHead(r, method)
	if err != nil {
		return 0, nil, true, err
	}
	response, err = io.ReadAll(io.LimitReader(r.Body(h, headLimits), maxBodyBytes+1))
	if err == nil && len(response) > maxBodyBytes {
		err = h1.ErrTooLarge
	}
	if err != nil {
		return 0, nil, true, fmt.Errorf("reading the response body: %w", err)
	}
	return h.Status, response, true, nil
}

// Follow requests a stream and calls handle with each of its JSON objects, until the stream ends, nothing arrives
// within timeout, or handle returns an error. Objects may be separated by any white space, which also serves as a
// keep-alive, or by none; reads may split them anywhere.
func Follow(nc net.Conn, address, target string, timeout time.Duration, handle func([]byte) error) error {
	nc.SetWriteDeadline(time.Now().Add(timeout))
	if err := sendRequest(nc, address, "GET", target, nil); err != nil {
		return err
	}
	r := h1.NewReader(&idleTimeoutReader{nc, timeout}, 4096)
	h, err := readResponseHead(r, "GET")
	if err != nil {
		return err
	}
	if h.Status != 200 {
		return fmt.Errorf("following %s: status %d", target, h.Status)
	}
	objects := bufio.NewScanner(r.Body(h, headLimits))
	objects.Buffer(nil, maxBodyBytes)
	objects.Split(splitObject)
	for objects.Scan() {
		if !json.Valid(objects.Bytes()) {
			return fmt.Errorf("following %s: not a JSON object: %.80q", target, objects.Bytes())
		}
		if err := handle(objects.Bytes()); err != nil {
			return err
		}
	}
	if err := objects.Err(); err != nil {
		return fmt.Errorf("following %s: %w", target, err)
	}
	return io.EOF
}

// splitObject is a bufio.SplitFunc whose tokens are JSON objects, from the opening brace to the matching closing brace.
func splitObject(data []byte, atEOF bool) (advance int, token []byte, err error) {
	rest := bytes.TrimLeft(data, " \t\r\n")
	start := len(data) - len(rest)
	if len(rest) == 0 {
		return start, nil, nil
	}
	if rest[0] != '{' {
		return 0, nil, fmt.Errorf("not a JSON object: %.80q", rest)
	}
	depth, inString, escaped := 0, false, false
	for i, c := range rest {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '{':
			depth++
		case c == '}':
			if depth--; depth == 0 {
				return start + i + 1, rest[:i+1], nil
			}
		}
	}
	if atEOF {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return start, nil, nil
}

// idleTimeoutReader fails a read when nothing arrives within timeout.
type idleTimeoutReader struct {
	nc      net.Conn
	timeout time.Duration
}

// finalReadTimeout is the time for one more read after a timeout. If this process was stalled, the deadline has passed
// although data arrived in time.
const finalReadTimeout = 20 * time.Millisecond

// Read reads from the connection, a second time if the deadline passed without data.
func (r *idleTimeoutReader) Read(b []byte) (int, error) {
	r.nc.SetReadDeadline(time.Now().Add(r.timeout))
	n, err := r.nc.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		r.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = r.nc.Read(b)
	}
	return n, err
}

// sendRequest writes a request; a nil body sends none.
func sendRequest(nc net.Conn, address, method, target string, body []byte) error {
	b := append([]byte(method+" "+target+" HTTP/1.1\r\n"), "Host: "+address+"\r\n"...)
	if body != nil {
		b = h1.AppendField(h1.AppendField(b, "Content-Type", "application/json"), "Content-Length", strconv.Itoa(len(body)))
	}
	if _, err := nc.Write(append(append(b, "\r\n"...), body...)); err != nil {
		return fmt.Errorf("sending the request for %s: %w", target, err)
	}
	return nil
}

// readResponseHead reads the head of the response and skips interim (1xx) ones.
func readResponseHead(r *h1.Reader, method string) (*h1.Head, error) {
	for {
		h, err := r.Response(method, headLimits)
		if err != nil {
			return nil, fmt.Errorf("reading the response head: %w", err)
		}
		if h.Status >= 200 {
			return h, nil
		}
	}
}
