// Package rest is a small HTTP/1.1 client for single calls and for streams of JSON objects, on package h1. After an
// error the connection must not be used again.
package rest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"arrowcleat/internal/h1"
)

// Limits on what the server may send.
const (
	maxHeadBytes   = 16 << 10
	maxBodyBytes   = 64 << 10 // of a response to a call
	maxLineBytes   = 64 << 10 // of a line of a stream
	maxObjectBytes = 4 << 20  // of an object of a stream in any layout
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
