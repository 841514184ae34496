// Package rig holds the stand-ins of the review's cases: discovery, the release API, nodes, and what starts a marshal.
// They do what the platform's protocol page says, on loopback addresses, and write what they see to a record.
package rig

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

// OpenRecord creates the record in a folder.
func OpenRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{f: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Line writes a line with the time of an event, in ms since the start of the record.
func (r *Record) Line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.1f ", float64(at.Sub(r.start).Microseconds())/1000)
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Close writes out and closes the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

// Host is an entry of discovery's list.
type Host struct {
	Name, Dial, Site string
	Build            int
}

// stream is the state that discovery and the release API share: open answers, and whether the service is silent.
type stream struct {
	mu      sync.Mutex
	changed chan struct{}
	silent  bool
	ln      net.Listener
}

func (s *stream) listen(handle func(net.Conn)) error {
	s.changed = make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); handle(c) }()
		}
	}()
	return nil
}

// Address returns the address of the service.
func (s *stream) Address() string { return s.ln.Addr().String() }

// SetSilent makes the service silent, or ends its silence. A silent service accepts connections and writes nothing.
func (s *stream) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns whether the service is silent, and a channel that is closed at the next change.
func (s *stream) state() (bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.changed
}

// awaitSpeech waits while the service is silent.
func (s *stream) awaitSpeech() {
	for {
		silent, changed := s.state()
		if !silent {
			return
		}
		<-changed
	}
}

// follow answers a watch: first what first returns, then a sign of life at each interval.
func (s *stream) follow(c net.Conn, first func() string, interval time.Duration, alive string) {
	s.awaitSpeech()
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	text := first() + "\n"
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(interval)
		s.awaitSpeech()
		text = alive
	}
}

// Discovery is a stand-in for discovery's agent, with a list that does not change.
type Discovery struct {
	stream
	Hosts []Host
}

// Start listens.
func (d *Discovery) Start() error {
	return d.listen(func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if q.URL.Path != "/v1/servers" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			return
		}
		first := func() string {
			if q.URL.Query().Get("since") == "41" { // nothing has changed since
				return `{"seq":41,"whole":false,"hosts":[]}`
			}
			return d.List()
		}
		d.follow(c, first, 2*time.Second, "\n")
	})
}

// List returns the whole list.
func (d *Discovery) List() string {
	var entries []string
	for _, h := range d.Hosts {
		entries = append(entries, fmt.Sprintf(
			`{"host":%q,"dial":%q,"site":%q,"class":"c1-s10","block":1,"health":"in_service","share":1.0,"born_ms":0,"build":%d}`,
			h.Name, h.Dial, h.Site, h.Build))
	}
	return `{"seq":41,"whole":true,"hosts":[` + strings.Join(entries, ",") + `]}`
}

// News is the state of the newest build, which is released.
const News = `{"Revision":41,"Wave":3,"State":"live","MaxShare":1,"AgeMs":60000}`

// ReleaseAPI is a stand-in for the release API. Its newest build stays released; votes count and change nothing.
type ReleaseAPI struct{ stream }

// Start listens.
func (a *ReleaseAPI) Start() error {
	return a.listen(func(c net.Conn) {
		b := bufio.NewReader(c)
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if q.Method == "POST" {
			io.Copy(io.Discard, q.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(News), News)
			return
		}
		a.follow(c, func() string { return `{"type":"ROLLOUT","object":` + News + `}` }, time.Second, "{}\n")
	})
}

// Node is a stand-in node. It answers each request with 200 and a body made for it, after its work.
type Node struct {
	Name   string
	Record *Record
	Work   func() time.Duration
	// Got is called with each request that has arrived whole.
	Got func(id string, at time.Time)
	// Second returns after which time a second copy of an answer follows it; 0 for none. nil: never.
	Second func() time.Duration
	// Made returns the body of the answer to a request; nil: Body.
	Made func(q *http.Request, body string) string

	ln net.Listener
}

// Body returns the body that nodes make for a request.
func Body(id string) string { return "made for " + id }

// Start listens at an address of the loopback range.
func (n *Node) Start(address string) (err error) {
	if n.ln, err = net.Listen("tcp", address); err != nil {
		return err
	}
	go func() {
		for {
			c, err := n.ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return nil
}

// Address returns the address that the node listens at.
func (n *Node) Address() string { return n.ln.Addr().String() }

func (n *Node) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		now := time.Now()
		id := q.Header.Get("X-Trace-Id")
		n.Record.Line(now, "node %s got %s: %s %s, host %s, told %s ms", n.Name, id, q.Method, q.RequestURI, q.Host,
			q.Header.Get("X-Expires-In-Ms"))
		if n.Got != nil {
			n.Got(id, now)
		}
		time.Sleep(n.Work())
		made := Body(id)
		if n.Made != nil {
			made = n.Made(q, string(body))
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(made), made)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		n.Record.Line(time.Now(), "node %s answered %s", n.Name, id)
		if n.Second == nil {
			continue
		}
		// A second copy comes only when nothing else waits on the connection.
		if after := n.Second(); after > 0 && b.Buffered() == 0 {
			time.Sleep(after)
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			n.Record.Line(time.Now(), "node %s wrote the second copy of the answer to %s", n.Name, id)
		}
	}
}

// Marshal starts processes of one marshal, by the command of the deploy file.
type Marshal struct {
	Listen string // address of its clients
	Record *Record

	root, dir, run string
	cmd            *exec.Cmd
	exited         chan struct{}
	lives          int
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// NewMarshal prepares a marshal with a configuration, in a temporary folder.
func NewMarshal(root string, record *Record, discovery, api, known, settings string) (*Marshal, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("no run line in the deploy file")
	}
	m := &Marshal{Record: record, root: root, run: string(match[1])}
	if m.Listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if m.dir, err = TempDir(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"release_api":{"address":%q,"news":%s},"known":%s,"settings":%s}`,
		m.Listen, discovery, api, News, known, settings)
	return m, os.WriteFile(filepath.Join(m.dir, "config.json"), []byte(text), 0o644)
}

// freeAddress returns an address with a host of its own, so that no outgoing connection can use the port meanwhile.
func freeAddress() (string, error) {
	var err error
	for range 20 {
		address := fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(250))
		var ln net.Listener
		if ln, err = net.Listen("tcp", address); err == nil {
			ln.Close()
			return ln.Addr().String(), nil
		}
	}
	return "", err
}

// Start starts a process of the marshal.
func (m *Marshal) Start() error {
	m.lives++
	tmp := filepath.Join(m.dir, "tmp"+strconv.Itoa(m.lives))
	if err := os.Mkdir(tmp, 0o755); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.dir, "log"+strconv.Itoa(m.lives)))
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("/bin/sh", "-c", m.run)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = m.root, log, log
	m.cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+m.Listen, "TMPDIR="+tmp,
		"GW_CONFIG="+filepath.Join(m.dir, "config.json"))
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.Record.Line(time.Now(), "marshal process %d started", m.lives)
	cmd, exited := m.cmd, make(chan struct{})
	Track(cmd.Process)
	m.exited = exited
	go func() {
		cmd.Wait()
		started.Delete(cmd.Process)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Marshal) Signal(s syscall.Signal) {
	m.Record.Line(time.Now(), "marshal process %d gets signal %v", m.lives, s)
	m.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (m *Marshal) Kill() {
	if m.cmd == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// Running reports whether the process has not ended.
func (m *Marshal) Running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// Ready waits until the process answers GET /healthz with 200.
func (m *Marshal) Ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !m.Running() {
			return fmt.Errorf("the marshal has ended: %s", m.Log())
		}
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		a, err := c.Get("http://" + m.Listen + "/healthz")
		if err != nil {
			continue
		}
		a.Body.Close()
		if a.StatusCode == 200 {
			m.Record.Line(time.Now(), "marshal process %d is ready", m.lives)
			return nil
		}
	}
	return fmt.Errorf("the marshal was not ready within %v", within)
}

// Log returns the log of the present process.
func (m *Marshal) Log() string {
	text, _ := os.ReadFile(filepath.Join(m.dir, "log"+strconv.Itoa(m.lives)))
	return string(text)
}

// Close ends the process and removes the temporary folder.
func (m *Marshal) Close() {
	if m.cmd != nil && m.Running() {
		m.Kill()
	}
	os.RemoveAll(m.dir)
}

// Answer is what a client got for a request.
type Answer struct {
	Status int
	Body   string
	At     time.Time // of the last byte, or of the error
	Err    error
}

// ReadAnswer reads an answer until a time.
func ReadAnswer(c net.Conn, b *bufio.Reader, until time.Time) (a Answer) {
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(b, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		a.Status, a.Body = response.StatusCode, string(body)
	}
	a.Err, a.At = err, time.Now()
	return a
}

// Request returns the text of a request of a class. For a class with a mark the method is POST, and there is a body.
func Request(class, id string, marked bool, expires time.Duration) string {
	return RequestAt("/"+class, class, id, marked, expires)
}

// RequestAt is Request with a path.
func RequestAt(path, class, id string, marked bool, expires time.Duration) string {
	method, rest := "GET", "\r\n"
	if marked {
		method, rest = "POST", "Idempotency-Key: k"+id+"\r\nContent-Length: 16\r\n\r\n0123456789abcdef"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: t1\r\n"+
		"X-Object: o%s\r\nX-Expires-In-Ms: %d\r\n%s", method, path, id, class, id, expires.Milliseconds(), rest)
}

// started holds the processes that were started and have not ended, temporary the folders that were made.
var started, temporary sync.Map // *os.Process, path -> true

// Track has a process that was started ended with the case.
func Track(p *os.Process) { started.Store(p, true) }

// TempDir makes a temporary folder, which is removed with the end of the case.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "arrowcleat-review-")
	if err == nil {
		temporary.Store(dir, true)
	}
	return dir, err
}

// Main runs a case and exits with its code. A case that takes too long, or is told to stop, could not run.
func Main(play func(root, dir string) (code int, err error)) {
	root, dir := flag.String("root", ".", "the repository"), flag.String("dir", ".", "folder of the record")
	flag.Parse()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	code, done := NotRun, make(chan error, 1)
	go func() {
		var err error
		code, err = play(*root, *dir)
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", err)
		}
	case <-stop:
		fmt.Fprintln(os.Stderr, "the case was told to stop")
		code = NotRun
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
		code = NotRun
	}
	started.Range(func(p, _ any) bool {
		p.(*os.Process).Signal(syscall.SIGCONT)
		p.(*os.Process).Kill()
		return true
	})
	temporary.Range(func(dir, _ any) bool {
		os.RemoveAll(dir.(string))
		return true
	})
	os.Exit(code)
}

// Trouble reports whether the case plays its disruption: TROUBLE=0 turns it off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
