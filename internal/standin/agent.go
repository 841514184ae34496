package standin

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

	"arrowcleat/internal/record"
)

// Host is an entry of the list of nodes as the operators' platform tells it.
type Host struct {
	Name    string
	NodeID  uint32 // the node's, in what is written down
	Address string
	Site    string
	Zone    int
	Health  string // one of the words below
	Build   int
	Started    time.Time // zero for long ago
	since   int64     // number of its last change
}

// Words of a Host's health.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Seen gives the entry as what a marshal was told.
func (h Host) Seen(instance int) *record.Seen {
	word := map[string]string{InService: "serving", Terminating: "draining", Terminated: "gone"}[h.Health]
	return &record.Seen{Kind: "told", AtUs: time.Now().UnixMicro(), Instance: int64(instance), Node: h.NodeID, Ver: int64(h.Build),
		Zone: int64(h.Zone), Text: word}
}

func (h Host) json() string {
	born := int64(0)
	if !h.Started.IsZero() {
		born = h.Started.UnixMilli()
	}
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m1","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		h.Name, h.Address, h.Site, h.Health, born, h.Build)
}

// DiscoveryAgent is a stand-in for discovery's agent on one marshal's machine: it tells the list of nodes and what changes of it.
type DiscoveryAgent struct {
	Instance int
	Record     func(*record.Seen)
	SplitLines   bool // lines come in pieces, indented

	streams
	hosts map[string]Host
	seq   int64
}

// Start listens at an address; what is told later than that goes to whoever watches.
func (a *DiscoveryAgent) Start(address string) error {
	a.hosts = map[string]Host{}
	return a.streams.start(address, a.watch)
}

// Set takes entries and tells them.
func (a *DiscoveryAgent) Set(hosts ...Host) {
	a.mu.Lock()
	for _, h := range hosts {
		a.seq++
		h.since = a.seq
		a.hosts[h.Name] = h
	}
	a.wake()
	a.mu.Unlock()
}

// List gives all entries but those of nodes that are gone.
func (a *DiscoveryAgent) List() []Host { _, hosts := a.after(0); return hosts }

// after gives what changed after a number, and the number of the last change; after 0 what there is.
func (a *DiscoveryAgent) after(seq int64) (last int64, hosts []Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if h.since > seq && (seq > 0 || h.Health != Terminated) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(x, y Host) int { return int(x.since - y.since) })
	return a.seq, hosts
}

// DiscoveryMessage gives entries as a message of discovery's.
func DiscoveryMessage(seq int64, whole bool, hosts []Host) string {
	var lines []string
	for _, h := range hosts {
		lines = append(lines, h.json())
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(lines, ","))
}

// signOfLife is how often a watch on which nothing changes gets an empty line.
const signOfLife = 2 * time.Second

func (a *DiscoveryAgent) watch(s *stream, q *http.Request) {
	if !strings.HasPrefix(q.RequestURI, "/v1/servers?follow=1") {
		return
	}
	had, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64) // 0 where there is none
	first := true
	for {
		changed := s.of.next()
		last, hosts := a.after(had)
		if first || last > had {
			text := DiscoveryMessage(last, had == 0, hosts)
			if err := a.say(s, text); err != nil {
				return
			}
			for _, h := range hosts {
				a.Record(h.Seen(a.Instance))
			}
			first, had = false, last
		}
		if !s.sleep(changed, signOfLife, "\n") {
			return
		}
	}
}

// say writes a line, whole or in pieces.
func (a *DiscoveryAgent) say(s *stream, text string) error {
	text += "\n"
	if !a.SplitLines {
		return s.say(text)
	}
	text = strings.ReplaceAll(text, `,"`, ",\n  \"")
	for len(text) > 0 {
		n := min(len(text), 97)
		if err := s.say(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(200 * time.Microsecond)
	}
	return nil
}

// streams serves answers that don't end, one a connection.
type streams struct {
	mu      sync.Mutex
	ln      net.Listener
	wg      sync.WaitGroup
	conns   map[net.Conn]bool
	changed chan struct{} // closed at the next change
	silent  bool          // nothing is written
	closed  bool
}

// stream is one of them.
type stream struct {
	net.Conn
	of *streams
}

func (s *streams) start(address string, serve func(*stream, *http.Request)) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.ln, s.conns, s.changed = ln, map[net.Conn]bool{}, make(chan struct{})
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				c.Close()
			}
			s.conns[c] = true
			s.mu.Unlock()
			s.wg.Go(func() {
				s.serve(c, serve)
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			})
		}
	})
	return nil
}

func (s *streams) serve(c net.Conn, serve func(*stream, *http.Request)) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if q.Method == http.MethodGet {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	}
	serve(&stream{c, s}, q)
}

// Address is where it listens.
func (s *streams) Address() string { return s.ln.Addr().String() }

// SetSilent has it write nothing any more on the connections that are open, or go on.
func (s *streams) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// Retire takes no new connection, and ends the open ones after a while.
func (s *streams) Retire(after time.Duration) {
	s.ln.Close()
	time.AfterFunc(after, s.Close)
}

// Close ends everything, and waits for that.
func (s *streams) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.wake()
	s.mu.Unlock()
	s.wg.Wait()
}

// wake has all streams look for what changed; s.mu is held.
func (s *streams) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// say writes a chunk.
func (s *stream) say(text string) error {
	_, err := fmt.Fprintf(s, "%x\r\n%s\r\n", len(text), text)
	return err
}

// next gives what is closed at the next change; it is asked for before what there is is looked at.
func (s *streams) next() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// sleep waits for a change, giving a sign of life where there is none for so long; false ends the stream.
func (s *stream) sleep(changed chan struct{}, d time.Duration, sign string) bool {
	for {
		rang := false
		select {
		case <-changed:
			rang = true
		case <-time.After(d):
		}
		s.of.mu.Lock()
		silent, closed := s.of.silent, s.of.closed
		if rang {
			changed = s.of.changed
		}
		s.of.mu.Unlock()
		switch {
		case closed:
			return false
		case silent:
		case rang:
			return true
		default:
			if s.say(sign) != nil {
				return false
			}
		}
	}
}
