package rest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCutObjectEndsStream guards against news that stops for good: after a part of an object and a line end, the stream was
// kept alive by what followed, which was taken for the inside of the object. The stream ends within its timeout wherever the
// object is cut, and nothing that follows is delivered from it.
func TestCutObjectEndsStream(t *testing.T) {
	const timeout = 300 * time.Millisecond
	const object = `{"seq":41,"whole":true,"hosts":[{"host":"a\"}","build":3},{"host":"b","build":4}],"x":{"y":null}}`
	for layout, keepAlives := range map[Layout][]string{
		AnyLayout:     {"\n", "{}\n", "{\"seq\":42,\"whole\":false,\"hosts\":[]}\n"},
		ObjectPerLine: {"\n", "{}\n", "{\"seq\":42,\"whole\":false,\"hosts\":[]}\n"},
	} {
		for _, keepAlive := range keepAlives {
			for _, lineEnd := range []string{"\n", "\r\n", ""} {
				var wg sync.WaitGroup
				for cut := 1; cut < len(object); cut++ {
					wg.Go(func() {
						got, took, err := followTrickle(layout, timeout, "{\"first\":1}\n"+object[:cut]+lineEnd, keepAlive)
						if len(got) != 1 || err == nil || err == io.EOF || took > 3*timeout {
							t.Errorf("layout %v, cut to %q with %q, then %q: got %q, error %v after %v; want the first object and an error",
								layout, object[:cut], lineEnd, keepAlive, got, err, took)
						}
					})
				}
				wg.Wait()
			}
		}
	}
}

// followTrickle follows a stream that begins with a text and then repeats a keep-alive until it is closed.
func followTrickle(layout Layout, timeout time.Duration, text, keepAlive string) (got []string, took time.Duration, err error) {
	client, server := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Read(make([]byte, 4096))
		fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		for {
			time.Sleep(timeout / 4)
			if _, err := fmt.Fprintf(server, "%x\r\n%s\r\n", len(keepAlive), keepAlive); err != nil {
				return
			}
		}
	}()
	start := time.Now()
	err = Stream{"x", "/", layout, timeout}.Follow(client, func(b []byte) error {
		got = append(got, string(b))
		return nil
	})
	took = time.Since(start)
	client.Close()
	<-done
	return got, took, err
}

// With an object on each line, objects are found whatever white space surrounds them and wherever a read splits them; two
// on a line, one on two lines or anything else ends the stream.
func TestObjectPerLine(t *testing.T) {
	text := "\n{\"a\":\"}\\n\"}\r\n\r\n {} \n{ \"b\": [ 1 ] }\n"
	for split := 1; split < len(text); split++ {
		got, err := follow(t, ObjectPerLine, time.Second, false, text[:split], text[split:])
		if len(got) != 3 || err != io.EOF {
			t.Errorf("split at %d: got %q, error %v; want 3 objects, EOF", split, got, err)
		}
	}
	if got, err := follow(t, ObjectPerLine, time.Second, false, `{"a":1}`); len(got) != 1 || err != io.EOF {
		t.Errorf("without a last line end: got %q, error %v; want 1 object, EOF", got, err)
	}
	for _, invalid := range []string{"{}{}\n", "{}\x00\n", "{\n}\n", "noise\n", "5\n", "[{}]\n", "{\"a\":nope}\n", "}\n", "{\"a\":1",
		"\xff\xfe\n", "{\"a\":\"" + strings.Repeat("x", maxLineBytes) + "\"}\n"} {
		got, err := follow(t, ObjectPerLine, 5*time.Second, false, "{\"a\":1}\n", invalid)
		if len(got) != 1 || err == nil || err == io.EOF {
			t.Errorf("%.20q: got %q, error %v; want 1 object and an error other than EOF", invalid, got, err)
		}
	}
}

// Keep-alives need no memory, and an object that is too long ends the stream.
func TestStreamBounds(t *testing.T) {
	blank := strings.Repeat("\n", maxObjectBytes)
	got, err := follow(t, AnyLayout, 5*time.Second, false, blank, blank, "{\"a\":1}\n", blank, "{\"b\":1}")
	if len(got) != 2 || err != io.EOF {
		t.Errorf("after many keep-alives: got %q, error %v; want 2 objects, EOF", got, err)
	}
	got, err = follow(t, AnyLayout, 5*time.Second, false, "{\"a\":1}\n", "{\"a\":\""+strings.Repeat("x", maxObjectBytes)+"\"}\n")
	if len(got) != 1 || err == nil || err == io.EOF {
		t.Errorf("with a long object: got %d objects, error %v; want 1 and an error", len(got), err)
	}
}

// An object is delivered once it is whole, before its line end and whatever follows.
func TestObjectsAreDeliveredAtOnce(t *testing.T) {
	for _, layout := range []Layout{AnyLayout, ObjectPerLine} {
		const timeout = 300 * time.Millisecond
		client, server := net.Pipe()
		delivered := make(chan string, 2)
		go Stream{"x", "/", layout, timeout}.Follow(client, func(b []byte) error {
			delivered <- string(b)
			return nil
		})
		server.Read(make([]byte, 4096))
		io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, pieces := range [][]string{{`{"a":{"b":1}}`}, {"\n{\"c\":", "2}"}} {
			for _, piece := range pieces {
				fmt.Fprintf(server, "%x\r\n%s\r\n", len(piece), piece)
			}
			select {
			case got := <-delivered:
				if want := strings.TrimSpace(strings.Join(pieces, "")); strings.TrimSpace(got) != want {
					t.Errorf("layout %v: got %q, want %q", layout, got, want)
				}
			case <-time.After(timeout / 2):
				t.Errorf("layout %v: %q was not delivered", layout, pieces)
			}
		}
		client.Close()
		server.Close()
	}
}
