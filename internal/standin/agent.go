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

// Host is an entry of the node list in discovery's form.
type Host struct {
	Name    string
	NodeID  uint32 // the node's number in the record
	Address string
	Site    string
	Zone    int
	Health  string // InService, Terminating or Terminated
	Build   int
	Started time.Time // zero for long ago
	seq     int64     // the agent's sequence number of its last change
}

// Health values of a Host.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Seen returns the record entry of a marshal having received h.
func (h Host) Seen(instance int) *record.Seen {
	health := map[string]string{InService: "serving", Terminating: "draining", Terminated: "gone"}[h.Health]
	return &record.Seen{Kind: "told", AtUs: time.Now().UnixMicro(), Instance: int64(instance), Node: h.NodeID,
		Ver: int64(h.Build), Zone: int64(h.Zone), Text: health}
}

// json returns h in discovery's form.
func (h Host) json() string {
	startedMs := int64(0)
	if !h.Started.IsZero() {
		startedMs = h.Started.UnixMilli()
	}
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m1","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		h.Name, h.Address, h.Site, h.Health, startedMs, h.Build)
}

// DiscoveryAgent is a stand-in for the discovery agent on one marshal's machine. It publishes the node list and its
// changes.
type DiscoveryAgent struct {
	Instance   int
	Record     func(*record.Seen)
	SplitLines bool // each message is indented over several lines and written in pieces

	streams
	hosts map[string]Host
	seq   int64
}

// Start listens at an address, with an empty list.
func (a *DiscoveryAgent) Start(address string) error {
	a.hosts = map[string]Host{}
	return a.streams.start(address, a.watch)
}

// Set stores entries and publishes them.
func (a *DiscoveryAgent) Set(hosts ...Host) {
	a.mu.Lock()
	for _, h := range hosts {
		a.seq++
		h.seq = a.seq
		a.hosts[h.Name] = h
	}
	a.wake()
	a.mu.Unlock()
}

// List returns all entries except those of terminated nodes.
func (a *DiscoveryAgent) List() []Host { _, hosts := a.after(0); return hosts }

// after returns the entries that changed after a sequence number, and the number of the last change. After 0 it returns
// all entries except those of terminated nodes.
func (a *DiscoveryAgent) after(seq int64) (last int64, hosts []Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if h.seq > seq && (seq > 0 || h.Health != Terminated) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(x, y Host) int { return int(x.seq - y.seq) })
	return a.seq, hosts
}

// DiscoveryMessage returns a message of the discovery protocol; whole says that the entries are the complete list.
func DiscoveryMessage(seq int64, whole bool, hosts []Host) string {
	var entries []string
	for _, h := range hosts {
		entries = append(entries, h.json())
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// heartbeatInterval is how often a watch without changes gets an empty line.
const heartbeatInterval = 2 * time.Second

// watch writes the list to a stream and then its changes.
func (a *DiscoveryAgent) watch(s *stream, q *http.Request) {
	if !strings.HasPrefix(q.RequestURI, "/v1/servers?follow=1") {
		return
	}
	sent, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64) // 0 if there is none
	first := true
	for {
		changed := s.server.nextChange()
		last, hosts := a.after(sent)
		if first || last > sent {
			text := DiscoveryMessage(last, sent == 0, hosts)
			if err := a.writeLine(s, text); err != nil {
				return
			}
			for _, h := range hosts {
				a.Record(h.Seen(a.Instance))
			}
			first, sent = false, last
		}
		if !s.awaitChange(changed, heartbeatInterval, "\n") {
			return
		}
	}
}

// writeLine writes a message as one line, or split up.
func (a *DiscoveryAgent) writeLine(s *stream, text string) error {
	text += "\n"
	if !a.SplitLines {
		return s.writeChunk(text)
	}
	text = strings.ReplaceAll(text, `,"`, ",\n  \"")
	for len(text) > 0 {
		n := min(len(text), 97)
		if err := s.writeChunk(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(200 * time.Microsecond)
	}
	return nil
}

// streams serves responses that don't end, one per connection.
type streams struct {
	mu      sync.Mutex
	ln      net.Listener
	wg      sync.WaitGroup
	conns   map[net.Conn]bool
	changed chan struct{} // closed at the next change
	silent  bool          // open streams write nothing
	closed  bool
}

// stream is one open response.
type stream struct {
	net.Conn
	server *streams
}

// start listens at an address and calls serve with each request and its open response.
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

// serve reads the request of a connection, begins the response to a GET, and calls serve with both.
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

// Address returns the address that the server listens at.
func (s *streams) Address() string { return s.ln.Addr().String() }

// SetSilent stops all writes on the open connections, or resumes them.
func (s *streams) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// Retire stops accepting connections and closes the open ones after a time.
func (s *streams) Retire(after time.Duration) {
	s.ln.Close()
	time.AfterFunc(after, s.Close)
}

// Close closes the listener and all connections, and waits until they have ended.
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

// wake has all streams check for changes; the caller holds s.mu.
func (s *streams) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeChunk writes a chunk of the response body.
func (s *stream) writeChunk(text string) error {
	_, err := fmt.Fprintf(s, "%x\r\n%s\r\n", len(text), text)
	return err
}

// nextChange returns a channel that is closed at the next change. Callers get it before they read the state, so that no
// change is missed.
func (s *streams) nextChange() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// awaitChange waits for a change. It writes the heartbeat text at each interval without one. It returns false if the
// stream has ended.
func (s *stream) awaitChange(changed chan struct{}, interval time.Duration, heartbeat string) bool {
	for {
		woken := false
		select {
		case <-changed:
			woken = true
		case <-time.After(interval):
		}
		s.server.mu.Lock()
		silent, closed := s.server.silent, s.server.closed
		if woken {
			changed = s.server.changed
		}
		s.server.mu.Unlock()
		switch {
		case closed:
			return false
		case silent:
		case woken:
			return true
		default:
			if s.writeChunk(heartbeat) != nil {
				return false
			}
		}
	}
}
