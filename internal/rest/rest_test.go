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

// follow follows a stream whose server writes pieces, and gives the objects, each on a line, with the end.
func follow(t *testing.T, quiet time.Duration, hang bool, pieces ...string) (got []string, err error) {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	go func() {
		defer func() {
			if !hang {
				there.Close()
			}
		}()
		b := make([]byte, 4096)
		there.Read(b)
		io.WriteString(there, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, p := range pieces {
			fmt.Fprintf(there, "%x\r\n%s\r\n", len(p), p)
		}
		if !hang {
			io.WriteString(there, "0\r\n\r\n")
		}
	}()
	err = Follow(here, "x", "/", quiet, func(b []byte) error {
		var v any
		if err := json.Unmarshal(b, &v); err != nil {
			t.Errorf("%q: %v", b, err)
		}
		line, _ := json.Marshal(v)
		got = append(got, string(line))
		return nil
	})
	there.Close()
	return got, err
}

// Objects are found wherever they lie and wherever a read cuts them.
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
		"signs of life":  "\n\n{\"a\":1}\n\n\n" + string(flat) + "\n\n{\"b\":\"}\"}\n{}\n\n",
		"a byte a chunk": "",
	} {
		pieces := []string{text}
		if text == "" {
			pieces = strings.Split("{\n\"a\":1}\n"+string(indented)+"\n{\"b\":\"}\"}\n{}\n", "")
		}
		got, err := follow(t, time.Second, false, pieces...)
		if strings.Join(got, "\n") != strings.Join(want, "\n") || err != io.EOF {
			t.Errorf("%s: %d objects, %v", layout, len(got), err)
		}
	}
	text := "{\"a\":1}\n\n{ \"b\":\"\\\"}\"}"
	for cut := 1; cut < len(text); cut++ {
		got, err := follow(t, time.Second, false, text[:cut], text[cut:])
		if len(got) != 2 || err != io.EOF {
			t.Errorf("cut at %d: %q, %v", cut, got, err)
		}
	}
}

// What is no object ends the stream; what came whole before it counts.
func TestSpoiltStream(t *testing.T) {
	for _, spoilt := range []string{"noise", "5\n", "[{}]", "{\"a\":nope}", "{\"a\":\"\n\"}", "{\"a\":1", "}"} {
		got, err := follow(t, time.Second, false, "{\"a\":1}\n"+spoilt)
		if len(got) != 1 || err == nil || err == io.EOF {
			t.Errorf("%q: %q, %v", spoilt, got, err)
		}
	}
}

// A stream that falls silent ends in time, wherever it does; signs of life keep it.
func TestSilentStream(t *testing.T) {
	for name, pieces := range map[string][]string{"after its head": nil, "after an object": {"{}\n"}, "in mid-object": {"{\"a\":"}} {
		from := time.Now()
		_, err := follow(t, 100*time.Millisecond, true, pieces...)
		if took := time.Since(from); !errors.Is(err, os.ErrDeadlineExceeded) || took < 100*time.Millisecond || took > time.Second {
			t.Errorf("%s: %v after %v", name, err, took)
		}
	}
}
