// Package rest makes single calls and follows streams of JSON over HTTP/1.1, on the project's own framing. What can't be
// read whole is an error, and its connection of no further use.
package rest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"arrowcleat/internal/h1"
)

// Bounds on what the other side may send.
const (
	headBytes   = 16 << 10
	answerBytes = 1 << 20 // of one answer, and of one line of a stream
)

var limits = h1.Limits{Line: headBytes / 4, Header: headBytes}

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
	if err := ask(nc, address, method, target, body); err != nil {
		return 0, nil, false, err
	}
	r := h1.NewReader(nc, 4096)
	h, err := answered(r, method)
	if err != nil {
		return 0, nil, true, err
	}
	answer, err = io.ReadAll(io.LimitReader(r.Body(h, limits), answerBytes+1))
	if err == nil && len(answer) > answerBytes {
		err = h1.ErrTooLarge
	}
	if err != nil {
		return 0, nil, true, fmt.Errorf("reading the answer's body: %w", err)
	}
	return h.Status, answer, true, nil
}

// Follow asks for a stream on a connection and hands on each of its lines, until it ends, brings nothing for as long as
// quiet, or a line is not accepted.
func Follow(nc net.Conn, address, target string, quiet time.Duration, line func([]byte) error) error {
	nc.SetDeadline(time.Now().Add(quiet))
	if err := ask(nc, address, "GET", target, nil); err != nil {
		return err
	}
	r := h1.NewReader(nc, 4096)
	h, err := answered(r, "GET")
	if err != nil {
		return err
	}
	if h.Status != 200 {
		return fmt.Errorf("following %s: status %d", target, h.Status)
	}
	lines := bufio.NewScanner(r.Body(h, limits))
	lines.Buffer(nil, answerBytes)
	for lines.Scan() {
		nc.SetDeadline(time.Now().Add(quiet))
		if err := line(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("following %s: %w", target, err)
	}
	return io.EOF
}

func ask(nc net.Conn, address, method, target string, body []byte) error {
	b := append([]byte(method+" "+target+" HTTP/1.1\r\n"), "Host: "+address+"\r\n"...)
	if body != nil {
		b = h1.AppendField(h1.AppendField(b, "Content-Type", "application/json"), "Content-Length", strconv.Itoa(len(body)))
	}
	if _, err := nc.Write(append(append(b, "\r\n"...), body...)); err != nil {
		return fmt.Errorf("asking %s: %w", target, err)
	}
	return nil
}

// answered reads heads up to the final one.
func answered(r *h1.Reader, method string) (*h1.Head, error) {
	for {
		h, err := r.Response(method, limits)
		if err != nil {
			return nil, fmt.Errorf("reading the answer's head: %w", err)
		}
		if h.Status >= 200 {
			return h, nil
		}
	}
}
