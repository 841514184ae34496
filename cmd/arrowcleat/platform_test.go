package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain runs the program itself, instead of the tests, if the environment asks for it.
func TestMain(m *testing.M) {
	if fault := os.Getenv(faultVariable); fault != "" {
		os.Exit(runWithFault(fault))
	}
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// requestUntilClosed sends requests one after the other until the marshal accepts no more connections, and returns the
// first failure. Like the platform's clients, it repeats a request once if a kept connection closes.
func requestUntilClosed(address string, number int, answered *atomic.Int64) error {
	var c net.Conn
	var b *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		for retry := false; ; retry = true {
			isNew := c == nil
			if isNew {
				var err error
				if c, err = net.Dial("tcp", address); err != nil {
					return nil // the marshal has closed its listener
				}
				b = bufio.NewReader(c)
			}
			c.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d\r\nX-Qos: look\r\n\r\n", number, i)
			var r *http.Response
			if err == nil {
				r, err = http.ReadResponse(b, nil)
			}
			if err != nil {
				c.Close()
				c = nil
				if isNew && errors.Is(err, syscall.ECONNRESET) && answered.Load() > 0 {
					return nil // the listener closed while the connection was in its queue
				} else if isNew || retry {
					return fmt.Errorf("request %d of client %d: %w", i, number, err)
				}
				continue
			}
			body, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != 200 || string(body) != "fine" {
				return fmt.Errorf("request %d of client %d: %d %q %v", i, number, r.StatusCode, body, err)
			}
			answered.Add(1)
			if r.Close {
				c.Close()
				c = nil
			}
			break
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOutOfDescriptors uses up the file descriptors with idle clients. It guards against a late retry of accept: a
// connection in the accept queue was accepted only after up to 1 s, however soon descriptors were free again, so that its
// request with a time limit of 0.6 s was answered too late. Open connections must be served throughout.
func TestOutOfDescriptors(t *testing.T) {
	const descriptors, idleClients = 48, 60
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	defer node.Close()
	p := startCommand(t, limitedCommand(descriptors), oneNodeConfig(t, node))
	const timeLimit = 600 * time.Millisecond
	number := 0
	send := func(c net.Conn) {
		number++
		sendLook(c, strconv.Itoa(number), timeLimit)
	}
	readAnswer := func(c net.Conn) error {
		c.SetReadDeadline(time.Now().Add(timeLimit))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && r.StatusCode != 200 {
			err = errors.New(r.Status)
		}
		return err
	}
	open := p.dial()
	defer open.Close()
	request := func() {
		send(open)
		if err := readAnswer(open); err != nil {
			t.Errorf("on an open connection: %v", err)
		}
	}
	request()
	var idle []net.Conn
	for range idleClients {
		idle = append(idle, p.dial())
	}
	for range 14 {
		time.Sleep(100 * time.Millisecond) // the connection to the node is idle for a moment after each answer
		request()
	}
	queued := p.dial() // in the accept queue
	defer queued.Close()
	send(queued)
	for _, c := range idle {
		c.Close()
	}
	if err := readAnswer(queued); err != nil {
		t.Errorf("on a connection from the accept queue: %v", err)
	}
	request()
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil || !strings.Contains(p.log.String(), "no connection could be accepted") {
		t.Errorf("marshal ended with %v, or did not log refused connections:\n%s", err, p.log.String())
	}
}

// TestIdleClientsGiveWayWithoutDescriptors guards against a request in the accept queue waiting for as long as idle clients
// hold all descriptors: it was answered only once they had timed out, after 2.5 s.
func TestIdleClientsGiveWayWithoutDescriptors(t *testing.T) {
	const (
		descriptors, idleClients = 48, 60
		timeLimit                = 600 * time.Millisecond
		maxLateness              = 550 * time.Millisecond // a later answer is lost
	)
	node := httptest.NewServer(http.NotFoundHandler())
	defer node.Close()
	p := startCommand(t, limitedCommand(descriptors), oneNodeConfig(t, node))
	for range idleClients {
		p.dial()
	}
	p.waitFor("descriptors are exhausted", func() bool { return strings.Contains(p.log.String(), "no connection could be accepted") })
	queued := p.dial()
	sent := time.Now()
	sendLook(queued, "1", timeLimit)
	queued.SetReadDeadline(sent.Add(timeLimit + maxLateness))
	if _, err := http.ReadResponse(bufio.NewReader(queued), nil); err != nil {
		t.Errorf("a request in the accept queue beside idle clients: %v", err)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// TestSecondTermWhileConnectionsCome checks that connections opened within 0.4 s after the first TERM are answered, also
// after a second TERM. A second TERM used to close the listener at once: soak seed 6, "0-6-735 at marshal 0 had no answer
// (broke EOF, 0 dispatches)", 329 ms after the first and 52 ms after the second.
func TestSecondTermWhileConnectionsCome(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	defer node.Close()
	p := startMarshal(t, oneNodeConfig(t, node))
	var termSentNs atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ; n++ {
				if sentNs := termSentNs.Load(); sentNs != 0 && time.Now().UnixNano()-sentNs > int64(400*time.Millisecond) {
					return
				}
				c, err := net.Dial("tcp", p.address)
				if err == nil {
					c.SetDeadline(time.Now().Add(3 * time.Second))
					fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d\r\nX-Qos: look\r\n\r\n", i, n)
					_, err = http.ReadResponse(bufio.NewReader(c), nil)
					c.Close()
				}
				if err != nil {
					t.Errorf("%v after the first TERM: %v", time.Duration(time.Now().UnixNano()-termSentNs.Load()), err)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	termSentNs.Store(time.Now().UnixNano())
	p.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("marshal ended with %v", err)
	}
}

// TestSignalsUnderRequests checks that a marshal under load applies valid configurations, two in a row, rejects invalid
// ones, and ends after TERM with every request answered.
func TestSignalsUnderRequests(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "fine")
	}))
	defer node.Close()
	list := fmt.Sprintf("{\"seq\":1,\"whole\":true,\n\"hosts\":[{\"host\":\"a\",\"dial\":%q,\"site\":\"here\",\"health\":\"in_service\",\"build\":7}]}\n",
		node.Listener.Addr())
	var lists [3]string
	var requests [3]*atomic.Int64
	for i := range lists {
		lists[i], requests[i] = streamServer(t, list)
	}
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, lists[0], api) })
	config := func(i int) string { return fmt.Sprintf(configTemplate, p.address, lists[i], api) }
	address, writeConfig, waitFor := p.address, p.writeConfig, p.waitFor
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 8 {
		wg.Go(func() {
			if err := requestUntilClosed(address, i, &answered); err != nil {
				t.Error(err)
			}
		})
	}
	waitForAnswers := func() {
		n := answered.Load()
		waitFor("50 more answers", func() bool { return answered.Load() > n+50 })
	}
	for _, invalid := range []string{"", config(1)[:200], strings.Replace(config(1), "first_voice", "first_voice\x00", 1)} {
		writeConfig(invalid)
		p.Process.Signal(syscall.SIGHUP)
		waitForAnswers()
	}
	os.Remove(p.configFile)
	p.Process.Signal(syscall.SIGHUP)
	waitForAnswers()
	if requests[1].Load() > 0 {
		t.Error("a configuration that is invalid or missing was applied")
	}
	writeConfig(config(1))
	p.Process.Signal(syscall.SIGHUP)
	waitFor("a request to the second discovery address", func() bool { return requests[1].Load() > 0 })
	writeConfig(config(2))
	p.Process.Signal(syscall.SIGHUP)
	waitFor("a request to the third discovery address", func() bool { return requests[2].Load() > 0 })
	waitForAnswers()
	p.Process.Signal(syscall.SIGTERM)
	err := p.Wait()
	wg.Wait()
	if err != nil {
		t.Errorf("marshal ended with %v", err)
	}
	if n := strings.Count(p.log.String(), "configuration not applied"); n != 4 {
		t.Errorf("%d configurations were rejected, want 4:\n%s", n, p.log.String())
	}
}

// TestReloadWhileDrainingOrUnreadable guards against two faults of HUP: while the marshal drained, it kept using the
// previous discovery address, which closes; and if the file could not be read at that moment, the configuration was
// never applied.
func TestReloadWhileDrainingOrUnreadable(t *testing.T) {
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-release }))
	defer node.Close()
	defer close(release)
	hosts := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
		node.Listener.Addr())
	var lists [3]string
	var requests [3]*atomic.Int64
	for i := range lists {
		lists[i], requests[i] = streamServer(t, hosts)
	}
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, lists[0], api) })
	// A folder can be opened but not read (EISDIR).
	if err := errors.Join(os.Remove(p.configFile), os.Mkdir(p.configFile, 0o755)); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.waitFor("the log line of the failed reload", func() bool {
		return strings.Contains(p.log.String(), "configuration not applied")
	})
	next := p.configFile + ".next"
	if err := errors.Join(os.WriteFile(next, []byte(fmt.Sprintf(configTemplate, p.address, lists[1], api)), 0o644),
		os.Remove(p.configFile), os.Rename(next, p.configFile)); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the configuration to be applied once it can be read", func() bool { return requests[1].Load() > 0 })
	c := p.dial() // a request that delays the end of draining
	fmt.Fprint(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: look\r\n\r\n")
	p.Process.Signal(syscall.SIGTERM)
	p.waitFor("draining", func() bool { return strings.Contains(p.log.String(), "draining") })
	p.writeConfig(fmt.Sprintf(configTemplate, p.address, lists[2], api))
	p.Process.Signal(syscall.SIGHUP)
	p.waitFor("the configuration to be applied while draining", func() bool { return requests[2].Load() > 0 })
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
	if n := strings.Count(p.log.String(), "configuration not applied"); n != 1 {
		t.Errorf("%d failed reloads were logged, want 1:\n%s", n, p.log.String())
	}
}

// TestLogThatNobodyReads checks that a marshal works on if the pipe of its log is full or its reader has gone. A full pipe
// used to block the goroutine that handles signals, so that TERM had no effect until KILL; a closed pipe ended the process
// at the next line (SIGPIPE).
func TestLogThatNobodyReads(t *testing.T) {
	const pipeSize = 4096
	for name, closed := range map[string]bool{"full": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
			defer node.Close()
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, pipeSize); err != nil {
				t.Fatal(err)
			}
			command := exec.Command("/bin/sh", "-c", `exec "$0" platform --log debug 2>&3`, os.Args[0])
			command.ExtraFiles = []*os.File{writer}
			p := startCommand(t, command, oneNodeConfig(t, node))
			writer.Close()
			if closed {
				reader.Close()
			}
			request := func(id int) error {
				q, _ := http.NewRequest("GET", "http://"+p.address+"/look", nil)
				q.Header, q.Close = http.Header{"X-Trace-Id": {fmt.Sprint(id)}, "X-Qos": {"look"}}, true
				r, err := (&http.Client{Timeout: 2 * time.Second}).Do(q)
				if err != nil {
					return err
				}
				r.Body.Close()
				if r.StatusCode != http.StatusOK {
					return errors.New(r.Status)
				}
				return nil
			}
			for i := range 100 { // each closed connection logs a line
				if err := request(i); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			time.Sleep(1500 * time.Millisecond) // the state is logged every second
			if err := request(100); err != nil {
				t.Error(err)
			}
			p.Process.Signal(syscall.SIGTERM)
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Error("TERM had no effect within 3 s")
				p.Process.Kill()
				<-ended
			}
		})
	}
}
