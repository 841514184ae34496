package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arrowcleat/internal/loopback"
)

// TestMain is the program itself where the environment says so.
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

const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"release_api":{"address":%q,
"news":{"Revision":7,"Wave":1,"State":"live","MaxShare":1,"AgeMs":90000}},
"settings":{"balancers":1,"me":0,"locality":0,"zones":["here"],"discovery":"automatic",
"limits":{"most-tries":3,"conn-idle-s":30.0,"dial-timeout-s":0.25},"rules":{"stop-sending-within-s":0.5,"warm-up-s":3.0},
"domain":{"api-timeout-s":0.3,"gate-mode":"first_voice"},
"request-classes":[{"name":"look","aim-s":0.4,"deadline-s":1.5,"repeat":"free"},
{"name":"book","aim-s":0.4,"deadline-s":1.5,"repeat":"guarded","group":"zone","window-s":8.0}]}}`

// streamServer is a server whose answers never end, and counts who asked.
func streamServer(t *testing.T, line string) (address string, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Add(1)
		io.WriteString(w, line)
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), asked
}

// requestUntilClosed is a client that asks again and again until the marshal takes no connection, as the platform's do: what crosses the
// close of a kept connection is sent once more. It gives what went wrong.
func requestUntilClosed(address string, number int, answered *atomic.Int64) error {
	var c net.Conn
	var b *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		for again := false; ; again = true {
			first := c == nil
			if first {
				var err error
				if c, err = net.Dial("tcp", address); err != nil {
					return nil // it has left
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
				if first && errors.Is(err, syscall.ECONNRESET) && answered.Load() > 0 {
					return nil // it came into the listener's queue as that closed
				} else if first || again {
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

// process is the process as a process, with its log and its configuration.
type process struct {
	*exec.Cmd
	t                   *testing.T
	log                 processLog
	configFile, address string
}

// processLog is what a process has logged so far; it may be read while the process runs.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startMarshal starts a marshal and waits until it serves.
func startMarshal(t *testing.T, configured func(address string) string) *process {
	t.Helper()
	return startCommand(t, exec.Command(os.Args[0], "platform"), configured)
}

// startCommand does so by a command of its own.
func startCommand(t *testing.T, command *exec.Cmd, configured func(address string) string) *process {
	t.Helper()
	own, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(own.Release)
	p := &process{Cmd: command, t: t, address: own.At(loopback.RequestPort), configFile: filepath.Join(t.TempDir(), "config.json")}
	p.writeConfig(configured(p.address))
	p.Env = append(os.Environ(), programVariable+"=1", "GW_CONFIG="+p.configFile)
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	p.waitFor("it serves", func() bool {
		r, err := http.Get("http://" + p.address + "/healthz")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	return p
}

func (p *process) writeConfig(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.configFile, []byte(text), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) waitFor(what string, is func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			p.Process.Kill()
			p.Wait()
			p.t.Fatalf("it never came that %s:\n%s", what, p.log.String())
		}
	}
}

// Clients that ask and leave while the process stands still are noticed before anything is sent on for them.
func TestClientsLeaveWhileProcessIsStopped(t *testing.T) {
	var got atomic.Int64
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		io.WriteString(w, "fine")
	}))
	defer node.Close()
	list, _ := streamServer(t, fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
		node.Listener.Addr()))
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, list, api) })
	for round := range 20 {
		p.Process.Signal(syscall.SIGSTOP)
		for i := range 5 {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d\r\nX-Qos: book\r\nIdempotency-Key: %d-%d\r\n"+
				"Content-Length: 2\r\n\r\nab", round, i, round, i)
			c.Close()
		}
		p.Process.Signal(syscall.SIGCONT)
		time.Sleep(20 * time.Millisecond)
	}
	p.waitFor("all is over", func() bool { c := got.Load(); time.Sleep(20 * time.Millisecond); return got.Load() == c })
	if n := got.Load(); n > 0 {
		t.Errorf("%d of 100 requests of clients that had left reached the node", n)
	}
	asked := 0
	p.waitFor("it serves on", func() bool { // after so many that left it may refuse some
		asked++
		q, _ := http.NewRequest("GET", "http://"+p.address+"/look", nil)
		q.Header = http.Header{"X-Trace-Id": {fmt.Sprint(asked)}, "X-Qos": {"look"}}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// Descriptors run out, by clients that say nothing. A connection that waits to be accepted meanwhile was looked at again after up to
// 1 s, however soon there were descriptors again, and its request of 0.6 s was answered after its time. What is open is served on.
func TestOutOfDescriptors(t *testing.T) {
	const descriptors, silent = 48, 60
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	defer node.Close()
	list, _ := streamServer(t, fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
		node.Listener.Addr()))
	api, _ := streamServer(t, "{}\n")
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" platform`, descriptors), os.Args[0])
	p := startCommand(t, limited, func(address string) string { return fmt.Sprintf(configTemplate, address, list, api) })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	const within = 600 * time.Millisecond
	number := 0
	send := func(c net.Conn) {
		number++
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d\r\nX-Qos: look\r\nX-Expires-In-Ms: %d\r\n\r\n", number, within.Milliseconds())
	}
	answered := func(c net.Conn) error {
		c.SetReadDeadline(time.Now().Add(within))
		q, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && q.StatusCode != 200 {
			err = errors.New(q.Status)
		}
		return err
	}
	kept := dial()
	defer kept.Close()
	ask := func() {
		send(kept)
		if err := answered(kept); err != nil {
			t.Errorf("on a connection that is open: %v", err)
		}
	}
	ask()
	var quiet []net.Conn
	for range silent {
		quiet = append(quiet, dial())
	}
	for range 14 {
		time.Sleep(100 * time.Millisecond) // the connection to the node rests a moment after each answer
		ask()
	}
	waits := dial() // in the accept queue
	defer waits.Close()
	send(waits)
	for _, c := range quiet {
		c.Close()
	}
	if err := answered(waits); err != nil {
		t.Errorf("on a connection that waited to be accepted: %v", err)
	}
	ask()
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil || !strings.Contains(p.log.String(), "no connection could be accepted") {
		t.Errorf("it ended with %v:\n%s", err, p.log.String())
	}
}

// A second TERM closed the listener while new connections go on coming, for 0.4 s after the first: soak seed 6, "0-6-735 at marshal 0 had
// no answer (broke EOF, 0 dispatches)", 329 ms after the first and 52 ms after the second. What connects in that time is answered.
func TestSecondTermWhileConnectionsCome(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	defer node.Close()
	list, _ := streamServer(t, fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
		node.Listener.Addr()))
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, list, api) })
	var told atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ; n++ {
				if at := told.Load(); at != 0 && time.Now().UnixNano()-at > int64(400*time.Millisecond) {
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
					t.Errorf("%v after the first TERM: %v", time.Duration(time.Now().UnixNano()-told.Load()), err)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	told.Store(time.Now().UnixNano())
	p.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// Under requests a marshal takes configurations that can be read, two in a row and none that can't, and leaves at TERM with
// every request answered.
func TestSignalsUnderRequests(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "fine")
	}))
	defer node.Close()
	list := fmt.Sprintf("{\"seq\":1,\"whole\":true,\n\"hosts\":[{\"host\":\"a\",\"dial\":%q,\"site\":\"here\",\"health\":\"in_service\",\"build\":7}]}\n",
		node.Listener.Addr())
	var lists [3]string
	var asked [3]*atomic.Int64
	for i := range lists {
		lists[i], asked[i] = streamServer(t, list)
	}
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, lists[0], api) })
	good := func(i int) string { return fmt.Sprintf(configTemplate, p.address, lists[i], api) }
	address, write, until := p.address, p.writeConfig, p.waitFor
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 8 {
		wg.Go(func() {
			if err := requestUntilClosed(address, i, &answered); err != nil {
				t.Error(err)
			}
		})
	}
	more := func() {
		n := answered.Load()
		until("requests go on", func() bool { return answered.Load() > n+50 })
	}
	for _, bad := range []string{"", good(1)[:200], strings.Replace(good(1), "first_voice", "first_voice\x00", 1)} {
		write(bad)
		p.Process.Signal(syscall.SIGHUP)
		more()
	}
	os.Remove(p.configFile)
	p.Process.Signal(syscall.SIGHUP)
	more()
	if asked[1].Load() > 0 {
		t.Error("a configuration that can't be read was taken")
	}
	write(good(1))
	p.Process.Signal(syscall.SIGHUP)
	until("the next address is asked", func() bool { return asked[1].Load() > 0 })
	write(good(2))
	p.Process.Signal(syscall.SIGHUP)
	until("the last address is asked", func() bool { return asked[2].Load() > 0 })
	more()
	p.Process.Signal(syscall.SIGTERM)
	err := p.Wait()
	wg.Wait()
	if err != nil {
		t.Errorf("it ended with %v", err)
	}
	if n := strings.Count(p.log.String(), "configuration not applied"); n != 4 {
		t.Errorf("%d configurations were not taken; want 4:\n%s", n, p.log.String())
	}
}

// HUP comes while the marshal drains: discovery moves, and the marshal went on with the address before, which closes. HUP comes while the
// file can't be read: the configuration was forgotten.
func TestReloadWhileDrainingOrUnreadable(t *testing.T) {
	hangs := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-hangs }))
	defer node.Close()
	defer close(hangs)
	hosts := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`, node.Listener.Addr())
	var lists [3]string
	var asked [3]*atomic.Int64
	for i := range lists {
		lists[i], asked[i] = streamServer(t, hosts)
	}
	api, _ := streamServer(t, "{}\n")
	p := startMarshal(t, func(address string) string { return fmt.Sprintf(configTemplate, address, lists[0], api) })
	if err := errors.Join(os.Remove(p.configFile), os.Mkdir(p.configFile, 0o755)); err != nil { // a folder can be opened and not be read: EISDIR
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.waitFor("it says so", func() bool { return strings.Contains(p.log.String(), "configuration not applied") })
	next := p.configFile + ".next"
	if err := errors.Join(os.WriteFile(next, []byte(fmt.Sprintf(configTemplate, p.address, lists[1], api)), 0o644), os.Remove(p.configFile),
		os.Rename(next, p.configFile)); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the configuration is taken once it can be read", func() bool { return asked[1].Load() > 0 })
	c, err := net.Dial("tcp", p.address) // a request that holds up the end
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: look\r\n\r\n")
	p.Process.Signal(syscall.SIGTERM)
	p.waitFor("it drains", func() bool { return strings.Contains(p.log.String(), "draining") })
	p.writeConfig(fmt.Sprintf(configTemplate, p.address, lists[2], api))
	p.Process.Signal(syscall.SIGHUP)
	p.waitFor("the configuration is taken while it drains", func() bool { return asked[2].Load() > 0 })
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
	if n := strings.Count(p.log.String(), "configuration not applied"); n != 1 {
		t.Errorf("it complained %d times:\n%s", n, p.log.String())
	}
}

// Nobody reads the log, and its pipe is full; or whoever read it has gone. The process went with it: a full pipe held up the goroutine that
// takes signals, so that TERM did nothing until KILL; a closed one ended the process at its next line (SIGPIPE).
func TestLogThatNobodyReads(t *testing.T) {
	const pipeSize = 4096
	for name, gone := range map[string]bool{"full": false, "gone": true} {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
			defer node.Close()
			list, _ := streamServer(t, fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
				node.Listener.Addr()))
			api, _ := streamServer(t, "{}\n")
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
			p := startCommand(t, command, func(address string) string { return fmt.Sprintf(configTemplate, address, list, api) })
			writer.Close()
			if gone {
				reader.Close()
			}
			ask := func(id int) error {
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
			for i := range 100 { // each connection that closes is a line
				if err := ask(i); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			time.Sleep(1500 * time.Millisecond) // a view is due each second
			if err := ask(100); err != nil {
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
				t.Error("TERM does nothing")
				p.Process.Kill()
				<-ended
			}
		})
	}
}
