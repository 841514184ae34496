package rest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// follow follows a stream whose server writes pieces, each as a chunk, and then hangs or ends the stream. It returns the
// objects, encoded again, and the error of Follow.
func follow(t *testing.T, layout Layout, timeout time.Duration, hang bool, pieces ...string) (got []string, err error) {
	t.Helper()
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		defer func() {
			if !hang {
				server.Close()
			}
		}()
		b := make([]byte, 4096)
		server.Read(b)
		io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, p := range pieces {
			fmt.Fprintf(server, "%x\r\n%s\r\n", len(p), p)
		}
		if !hang {
			io.WriteString(server, "0\r\n\r\n")
		}
	}()
	err = Stream{"x", "/", layout, timeout}.Follow(client, func(b []byte) error {
		var v any
		if err := json.Unmarshal(b, &v); err != nil {
			t.Errorf("%q: %v", b, err)
		}
		line, _ := json.Marshal(v)
		got = append(got, string(line))
		return nil
	})
	server.Close()
	return got, err
}

// Objects are found in any layout of white space, and wherever a read splits them.
func TestObjects(t *testing.T) {
	list := map[string]any{"seq": 41, "s": `a}"{\`, "hosts": []any{}}
	for i := range 150 {
		list["hosts"] = append(list["hosts"].([]any), map[string]any{"host": fmt.Sprint("s-", i), "dial": "10.0.0.1:70", "build": 3})
	}
	indented, _ := json.MarshalIndent(list, "", "  ")
	flat, _ := json.Marshal(list)
	want := []string{`{"a":1}`, string(flat), `{"b":"}"}`, `{}`}
	for layout, text := range map[string]string{
		"a line each":    "{\"a\":1}\n" + string(flat) + "\n{\"b\":\"}\"}\n{}\n",
		"indented":       "{\n \"a\": 1\n}\n" + string(indented) + "\r\n\r\n\n{\"b\":\n\"}\"}\n\n{}",
		"on one line":    "{\"a\":1}" + string(indented) + "  {\"b\":\"}\"}{}",
		"keep-alives":    "\n\n{\"a\":1}\n\n\n" + string(flat) + "\n\n{\"b\":\"}\"}\n{}\n\n",
		"a byte a chunk": "",
	} {
		pieces := []string{text}
		if text == "" {
			pieces = strings.Split("{\n\"a\":1}\n"+string(indented)+"\n{\"b\":\"}\"}\n{}\n", "")
		}
		got, err := follow(t, AnyLayout, time.Second, false, pieces...)
		if strings.Join(got, "\n") != strings.Join(want, "\n") || err != io.EOF {
			t.Errorf("%s: got %d objects, error %v; want %d objects, EOF", layout, len(got), err, len(want))
		}
	}
	text := "{\"a\":1}\n\n{ \"b\":\"\\\"}\"}"
	for split := 1; split < len(text); split++ {
		got, err := follow(t, AnyLayout, time.Second, false, text[:split], text[split:])
		if len(got) != 2 || err != io.EOF {
			t.Errorf("split at %d: got %q, error %v; want 2 objects, EOF", split, got, err)
		}
	}
}

// An invalid object ends the stream with an error; the objects before it are delivered.
func TestInvalidStream(t *testing.T) {
	for _, invalid := range []string{"noise", "5\n", "[{}]", "{\"a\":nope}", "{\"a\":\"\n\"}", "{\"a\":1", "}"} {
		got, err := follow(t, AnyLayout, time.Second, false, "{\"a\":1}\n"+invalid)
		if len(got) != 1 || err == nil || err == io.EOF {
			t.Errorf("%q: got %q, error %v; want 1 object and an error other than EOF", invalid, got, err)
		}
	}
}

// A stream that stops sending times out, at whatever point it stops.
func TestSilentStream(t *testing.T) {
	for name, pieces := range map[string][]string{"after its head": nil, "after an object": {"{}\n"},
		"within an object": {"{\"a\":"}} {
		start := time.Now()
		_, err := follow(t, AnyLayout, 100*time.Millisecond, true, pieces...)
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took < 100*time.Millisecond || took > time.Second {
			t.Errorf("%s: error %v after %v; want a timeout after 100 ms to 1 s", name, err, took)
		}
	}
}
