package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	name, address, site, health string
	build                       int
	bornMs                      int64
	seq                         int64
}

func (h host) json() string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m1","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		h.name, h.address, h.site, h.health, h.bornMs, h.build)
}

// server accepts connections on a loopback address and serves each on a goroutine.
type server struct {
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
	ended chan struct{}
}

func (g *rig) serve(handle func(net.Conn, *bufio.Reader, *http.Request) (keep bool)) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{ln: ln, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	g.atEnd(s.close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				defer func() {
					c.Close()
					s.mu.Lock()
					delete(s.conns, c)
					s.mu.Unlock()
				}()
				b := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(b)
					if err != nil || !handle(c, b, q) {
						return
					}
				}
			}()
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.ln.Addr().String() }

func (s *server) close() {
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// chunk writes a chunk of a body.
func chunk(w io.Writer, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// agent is discovery's agent on a marshal's machine.
type agent struct {
	*server
	rig     *rig
	marshal int

	lock    sync.Mutex
	hosts   map[string]host
	seq     int64
	changed chan struct{}
	delay   time.Duration // before a watch is answered
}

func (g *rig) newAgent(marshal int, hosts ...host) (a *agent, err error) {
	a = &agent{rig: g, marshal: marshal, hosts: map[string]host{}, changed: make(chan struct{})}
	a.store(hosts...)
	a.server, err = g.serve(func(c net.Conn, _ *bufio.Reader, q *http.Request) bool {
		a.watch(c, q)
		return false
	})
	return a, err
}

// store stores entries and wakes the watches.
func (a *agent) store(hosts ...host) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, h := range hosts {
		a.seq++
		h.seq = a.seq
		a.hosts[h.name] = h
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// after returns what changed after a version; after 0, the whole list.
func (a *agent) after(seq int64) (last int64, hosts []host, changed chan struct{}) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, h := range a.hosts {
		if h.seq > seq && (seq > 0 || h.health != "terminated") {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(x, y host) int { return int(x.seq - y.seq) })
	return a.seq, hosts, a.changed
}

func (a *agent) watch(c net.Conn, q *http.Request) {
	a.rig.add("discovery of marshal %d: GET %s", a.marshal, q.RequestURI)
	select {
	case <-time.After(a.delay):
	case <-a.ended:
		return
	}
	sent, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
	follow := q.URL.Query().Get("follow") == "1"
	if !follow {
		sent = 0
	}
	if _, err := io.WriteString(c, streamHead); err != nil {
		a.rig.add("discovery of marshal %d: the watch was closed before its answer", a.marshal)
		return
	}
	for first := true; ; {
		last, hosts, changed := a.after(sent)
		if first || last > sent {
			var entries, names []string
			for _, h := range hosts {
				entries = append(entries, h.json())
				names = append(names, fmt.Sprintf("%s/%d/%s", h.name, h.build, h.health))
			}
			if err := chunk(c, fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`+"\n", last, sent == 0, strings.Join(entries, ","))); err != nil {
				a.rig.add("discovery of marshal %d: the watch was closed before its answer", a.marshal)
				return
			}
			a.rig.add("discovery of marshal %d: told seq %d: %s", a.marshal, last, strings.Join(names, " "))
			first, sent = false, last
			if !follow {
				io.WriteString(c, "0\r\n\r\n")
				return
			}
		}
		select {
		case <-a.ended:
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			if chunk(c, "\n") != nil {
				return
			}
		}
	}
}

// stage is the state of the newest build.
type stage struct {
	build, wave int
	state       string // testing, recalling, live or recalled
	cap         float64
	since       time.Time
}

func (s stage) json() string {
	return fmt.Sprintf(`{"Revision":%d,"Wave":%d,"State":%q,"MaxShare":%g,"AgeMs":%d}`, s.build, s.wave, s.state, s.cap,
		time.Since(s.since).Milliseconds())
}

// releaseAPI is the platform as one marshal sees it. A vote for the present build and stage is answered with the
// state; onVote may then move the build.
type releaseAPI struct {
	*server
	rig     *rig
	marshal int
	onVote  func(decision string)

	lock    sync.Mutex
	stage   stage
	silent  bool // nothing is written
	changed chan struct{}
}

func (g *rig) newReleaseAPI(marshal int, s stage) (p *releaseAPI, err error) {
	p = &releaseAPI{rig: g, marshal: marshal, stage: s, changed: make(chan struct{})}
	p.server, err = g.serve(func(c net.Conn, _ *bufio.Reader, q *http.Request) bool {
		if q.Method == http.MethodPost {
			return p.vote(c, q)
		}
		p.events(c, q)
		return false
	})
	return p, err
}

// set changes the state and tells it.
func (p *releaseAPI) set(change func()) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *releaseAPI) read() (s stage, silent bool, changed chan struct{}) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.stage, p.silent, p.changed
}

func (p *releaseAPI) vote(c net.Conn, q *http.Request) bool {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	s, silent, _ := p.read()
	p.rig.add("platform of marshal %d: vote %s", p.marshal, body)
	for silent { // no answer while it is silent
		select {
		case <-p.ended:
			return false
		case <-time.After(50 * time.Millisecond):
		}
		if _, silent, _ = p.read(); !silent {
			return false
		}
	}
	current := strings.Contains(string(body), fmt.Sprintf(`"Revision":%d,"Wave":%d,`, s.build, s.wave)) && s.state == "testing"
	status, answer := "409 Conflict", `{"error":"STALE"}`
	if current {
		status, answer = "200 OK", s.json()
	}
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(answer), answer)
	p.rig.add("platform of marshal %d: answer %s", p.marshal, answer)
	if current && p.onVote != nil {
		_, decision, _ := strings.Cut(string(body), `"Decision":"`)
		p.onVote(strings.TrimRight(decision, "\"}\n"))
	}
	return true
}

func (p *releaseAPI) events(c net.Conn, q *http.Request) {
	p.rig.add("platform of marshal %d: GET %s", p.marshal, q.RequestURI)
	if _, err := io.WriteString(c, streamHead); err != nil {
		return
	}
	var last stage
	for first := true; ; {
		s, silent, changed := p.read()
		if !silent && (first || s != last) {
			text := fmt.Sprintf(`{"type":"ROLLOUT","object":%s}`, s.json())
			if chunk(c, text+"\n") != nil {
				return
			}
			p.rig.add("platform of marshal %d: event %s", p.marshal, text)
			first, last = false, s
		}
		select {
		case <-p.ended:
			return
		case <-changed:
		case <-time.After(time.Second):
			if _, silent, _ := p.read(); !silent && chunk(c, "{}\n") != nil {
				p.rig.add("platform of marshal %d: an event stream was closed", p.marshal)
				return
			}
		}
	}
}
