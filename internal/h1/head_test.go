package h1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"arrowcleat/internal/membudget"
)

var serviceLimits = Limits{LineBytes: 4096, HeaderBytes: 16 << 10}

// shortFields returns so many header lines of a few bytes, each with a name of its own.
func shortFields(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/26/26)
	}
	return b.String()
}

// readers read a head or trailers that consist of header lines, for each kind of message.
var readers = map[string]func(r *Reader) error{
	"request":  func(r *Reader) error { _, err := r.Request(serviceLimits); return err },
	"response": func(r *Reader) error { _, err := r.Response("GET", serviceLimits); return err },
	"trailers": func(r *Reader) error {
		h, err := r.Request(serviceLimits)
		if err == nil {
			_, err = io.ReadAll(r.Body(h, serviceLimits))
		}
		return err
	},
}

// beginnings are what comes before the header lines.
var beginnings = map[string]string{"request": "GET / HTTP/1.1\r\nHost: x\r\n", "response": "HTTP/1.1 200 OK\r\n",
	"trailers": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}

// TestUnfinishedHeadsTakeLittleMemory guards against a process that is killed for memory: header lines that were parsed as
// they arrived took some 15 times their bytes for as long as the message was not complete.
func TestUnfinishedHeadsTakeLittleMemory(t *testing.T) {
	for kind, read := range readers {
		for _, lines := range []int{400, 2000} {
			const messages, fixed = 100, 16 << 10 // beside the message: buffers, goroutines and their pipe
			text := beginnings[kind] + shortFields(lines)
			var servers []net.Conn
			before := heapBytes()
			for range messages {
				client, server := net.Pipe()
				servers = append(servers, server)
				go read(NewReader(client, 4096))
				go io.WriteString(server, text) // a message that is rejected is not read to its end
			}
			time.Sleep(100 * time.Millisecond)
			if each := (heapBytes() - before) / messages; each > fixed+2*len(text) {
				t.Errorf("%s: unfinished heads of %d bytes take %d bytes each; want %d at most", kind, len(text), each, fixed+2*len(text))
			}
			for _, s := range servers {
				s.Close()
			}
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	time.Sleep(20 * time.Millisecond) // readers come to rest
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestTooManyFields guards against short messages that take much memory: the number of header lines is limited.
func TestTooManyFields(t *testing.T) {
	most := serviceLimits.maxFields()
	for kind, read := range readers {
		fixed := strings.Count(beginnings[kind], "\r\n") - 1 // header lines at the beginning
		if kind == "trailers" {
			fixed = 0
		}
		if err := read(NewReader(strings.NewReader(beginnings[kind]+shortFields(most-fixed)+"\r\n"), 4096)); err != nil {
			t.Errorf("%s with %d lines: %v", kind, most, err)
		}
		if err := read(NewReader(strings.NewReader(beginnings[kind]+shortFields(most-fixed+1)+"\r\n"), 4096)); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s with %d lines: error %v; want ErrTooLarge", kind, most+1, err)
		}
	}
}

// A reservation covers what a head takes, and all of it is given back: by Release, and by every error.
func TestHeadReservation(t *testing.T) {
	for _, lines := range []int{1, 10, 100, 500} {
		const heads = 100
		budget := membudget.New(1 << 40)
		text := "GET / HTTP/1.1\r\nHost: x\r\n" + shortFields(lines) + "\r\n"
		var kept []*Head
		before := heapBytes()
		for range heads {
			r := NewReader(strings.NewReader(text), 4096)
			r.Memory = budget
			h, err := r.Request(serviceLimits)
			if err != nil {
				t.Fatal(err)
			}
			kept = append(kept, h)
		}
		used, reserved := heapBytes()-before, int(budget.Used())
		if used > reserved+heads*1024 { // the Head itself, and fixed parts of its map
			t.Errorf("%d heads of %d lines take %d bytes; reserved are %d", heads, lines, used, reserved)
		}
		for _, h := range kept {
			h.Release()
		}
		if budget.Used() != 0 {
			t.Errorf("%d bytes reserved after all heads were released", budget.Used())
		}
	}
	text := "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + shortFields(300) + "\r\n1\r\nx\r\n0\r\n" + shortFields(300) + "\r\n"
	for size := 0; size <= len(text); size += 13 {
		for _, end := range []string{"", "\x00", "no field\r\n"} {
			budget := membudget.New(1 << 20)
			r := NewReader(strings.NewReader(text[:size]+end), 64)
			r.Memory = budget
			if h, err := r.Request(serviceLimits); err == nil {
				body := r.Body(h, serviceLimits)
				io.Copy(io.Discard, body)
				body.Release()
				h.Release()
			}
			if budget.Used() != 0 {
				t.Fatalf("%d bytes reserved after a message that was cut at %d and ended with %q", budget.Used(), size, end)
			}
		}
	}
}

// Without memory left, a head is an error, whether it arrives whole or in parts.
func TestHeadWithoutMemory(t *testing.T) {
	for _, size := range []int{64, 16 << 10} {
		r := NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n"+shortFields(100)+"\r\n"), size)
		r.Memory = membudget.New(500)
		if _, err := r.Request(serviceLimits); !errors.Is(err, membudget.ErrExhausted) {
			t.Errorf("with a buffer of %d bytes: error %v; want ErrExhausted", size, err)
		}
		if used := r.Memory.Used(); used != 0 {
			t.Errorf("%d bytes stay in use", used)
		}
	}
}

// What can't become a valid head is an error before it is complete.
func TestInvalidHeadFailsEarly(t *testing.T) {
	for _, text := range []string{"\x16\x03\x01 noise\n", "GET / HTTP/1.1\r\nHost: x\r\nno field\r\n", strings.Repeat("x", 5000),
		"GET / HTTP/1.1\r\n" + strings.Repeat("x", 21000)} {
		client, server := net.Pipe()
		failed := make(chan error, 1)
		go func() {
			_, err := NewReader(client, 64).Request(serviceLimits)
			failed <- err
			client.Close()
		}()
		server.SetDeadline(time.Now().Add(2 * time.Second))
		io.WriteString(server, text) // no end, and the connection stays open
		select {
		case err := <-failed:
			if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) {
				t.Errorf("%.30q: error %v", text, err)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%.30q: no error before the end of the head", text)
		}
		server.Close()
	}
}
