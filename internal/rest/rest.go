// Package rest makes single calls and follows streams of JSON over HTTP/1.1, on the project's own framing. What can't be
// read whole is an error, and its connection of no further use.
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

// Bounds on what the other side may send.
const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20 // of one answer, and of one object of a stream
)

var headLimits = h1.Limits{Line: maxHeadBytes / 4, Header: maxHeadBytes}

// Call makes one call on a connection of its own. sent says whether all of it was written: if not, it was not carried
// out.
func Call(ctx context.Context, address, method, target string, body []byte) (status int, answer []byte, sent bool, err error) {
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
	answer, err = io.ReadAll(io.LimitReader(r.Body(h, headLimits), maxBodyBytes+1))
	if err == nil && len(answer) > maxBodyBytes {
		err = h1.ErrTooLarge
	}
	if err != nil {
		return 0, nil, true, fmt.Errorf("reading the answer's body: %w", err)
	}
	return h.Status, answer, true, nil
}

// Follow asks for a stream on a connection and hands on each of its JSON objects, until it ends, brings nothing for as long
// as quiet, or an object is not accepted. An object may lie on a line, on several, indented, or beside others, and reads may
// cut it anywhere; white space between objects is only a sign of life.
func Follow(nc net.Conn, address, target string, quiet time.Duration, object func([]byte) error) error {
	nc.SetWriteDeadline(time.Now().Add(quiet))
	if err := sendRequest(nc, address, "GET", target, nil); err != nil {
		return err
	}
	r := h1.NewReader(&idleTimeoutReader{nc, quiet}, 4096)
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
			return fmt.Errorf("following %s: no JSON object: %.80q", target, objects.Bytes())
		}
		if err := object(objects.Bytes()); err != nil {
			return err
		}
	}
	if err := objects.Err(); err != nil {
		return fmt.Errorf("following %s: %w", target, err)
	}
	return io.EOF
}

// splitObject is a bufio.SplitFunc: a token goes from an opening brace to the one that closes it.
func splitObject(data []byte, atEOF bool) (advance int, token []byte, err error) {
	rest := bytes.TrimLeft(data, " \t\r\n")
	start := len(data) - len(rest)
	if len(rest) == 0 {
		return start, nil, nil
	}
	if rest[0] != '{' {
		return 0, nil, fmt.Errorf("no JSON object: %.80q", rest)
	}
	depth, text, escaped := 0, false, false
	for i, c := range rest {
		switch {
		case escaped:
			escaped = false
		case text:
			escaped, text = c == '\\', c != '"'
		case c == '"':
			text = true
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

// idleTimeoutReader reads a stream that is silent for no longer than quiet.
type idleTimeoutReader struct {
	nc      net.Conn
	timeout time.Duration
}

// finalReadTimeout is how long a stream that seems silent is read once more. It guards against a process that itself stood still: its
// deadline is past, but what came meanwhile is there.
const finalReadTimeout = 20 * time.Millisecond

func (p *idleTimeoutReader) Read(b []byte) (int, error) {
	p.nc.SetReadDeadline(time.Now().Add(p.timeout))
	n, err := p.nc.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		p.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = p.nc.Read(b)
	}
	return n, err
}

func sendRequest(nc net.Conn, address, method, target string, body []byte) error {
	b := append([]byte(method+" "+target+" HTTP/1.1\r\n"), "Host: "+address+"\r\n"...)
	if body != nil {
		b = h1.AppendField(h1.AppendField(b, "Content-Type", "application/json"), "Content-Length", strconv.Itoa(len(body)))
	}
	if _, err := nc.Write(append(append(b, "\r\n"...), body...)); err != nil {
		return fmt.Errorf("asking %s: %w", target, err)
	}
	return nil
}

// readResponseHead reads heads up to the final one.
func readResponseHead(r *h1.Reader, method string) (*h1.Head, error) {
	for {
		h, err := r.Response(method, headLimits)
		if err != nil {
			return nil, fmt.Errorf("reading the answer's head: %w", err)
		}
		if h.Status >= 200 {
			return h, nil
		}
	}
}
