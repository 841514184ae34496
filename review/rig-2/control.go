package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Name, Dial, Site, Health string
	Build                    int
	BornMs                   int64
}

// JSON returns the entry in discovery's form.
func (h Host) JSON() string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m1","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		h.Name, h.Dial, h.Site, h.Health, h.BornMs, h.Build)
}

// List returns a message of discovery.
func List(seq int, whole bool, hosts []Host) string {
	var entries []string
	for _, h := range hosts {
		entries = append(entries, h.JSON())
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// streams is an HTTP server whose streams get lines as they are published.
type streams struct {
	ln    net.Listener
	mu    sync.Mutex
	conns map[chan string]bool
	rec   *Record
	name  string
	first func() string                                 // the first line of a new stream
	post  func(body string) (status int, answer string) // answers a POST
	alive string                                        // sign of life
	every time.Duration                                 // between two signs of life
}

// start listens at a free address.
func (s *streams) start() (string, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", err
	}
	if s.ln, err = net.Listen("tcp", address); err != nil {
		return "", err
	}
	s.conns = map[chan string]bool{}
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return address, nil
}

func (s *streams) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if q.Method == http.MethodPost {
		body, _ := io.ReadAll(q.Body)
		status, answer := s.post(string(body))
		s.rec.Printf("%s: vote %s answered %d %s", s.name, body, status, answer)
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(answer), answer)
		return
	}
	s.rec.Printf("%s: a stream is opened", s.name)
	lines := make(chan string, 100)
	s.mu.Lock()
	s.conns[lines] = true
	line := s.first()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, lines)
		s.mu.Unlock()
	}()
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		if line != s.alive {
			s.rec.Printf("%s: told %s", s.name, line)
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
			return
		}
		select {
		case line = <-lines:
		case <-time.After(s.every):
			line = s.alive
		}
	}
}

// publish sends a line to all streams; the caller holds s.mu.
func (s *streams) publish(line string) {
	for lines := range s.conns {
		lines <- line
	}
}

// Discovery is a stand-in for the discovery agent of one marshal.
type Discovery struct {
	streams
	seq   int
	hosts []Host
}

// StartDiscovery starts a stand-in with a list and returns its address.
func StartDiscovery(rec *Record, hosts []Host) (d *Discovery, address string, err error) {
	d = &Discovery{seq: 1, hosts: hosts}
	d.rec, d.name, d.alive, d.every = rec, "discovery", "", 2*time.Second
	d.first = func() string { return List(d.seq, true, d.hosts) }
	address, err = d.start()
	return d, address, err
}

// Change changes entries and tells of it.
func (d *Discovery) Change(changed ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range changed {
		known := false
		for i := range d.hosts {
			if d.hosts[i].Name == h.Name {
				d.hosts[i], known = h, true
			}
		}
		if !known {
			d.hosts = append(d.hosts, h)
		}
	}
	d.publish(List(d.seq, false, changed))
}

// Release is the state of the newest build.
type Release struct {
	Build, Wave int
	State       string
	Cap         float64
	Since       time.Time
}

// JSON returns the state in the platform's form.
func (r Release) JSON() string {
	return fmt.Sprintf(`{"Revision":%d,"Wave":%d,"State":%q,"MaxShare":%g,"AgeMs":%d}`, r.Build, r.Wave, r.State, r.Cap,
		time.Since(r.Since).Milliseconds())
}

// ReleaseAPI is a stand-in for the release API.
type ReleaseAPI struct {
	streams
	told Release
	// VoteStatus is the status of the answers to votes: 429 for busy, 409 for stale.
	VoteStatus int
}

// StartReleaseAPI starts a stand-in with a state and returns its address.
func StartReleaseAPI(rec *Record, r Release) (a *ReleaseAPI, address string, err error) {
	a = &ReleaseAPI{told: r, VoteStatus: 429}
	a.rec, a.name, a.alive, a.every = rec, "release API", "{}", time.Second
	a.first = func() string { return a.line() }
	a.post = func(string) (int, string) {
		return a.VoteStatus, map[int]string{429: `{"error":"BUSY"}`, 409: `{"error":"STALE"}`}[a.VoteStatus]
	}
	address, err = a.start()
	return a, address, err
}

func (a *ReleaseAPI) line() string {
	return fmt.Sprintf(`{"type":"ROLLOUT","object":%s}`, a.told.JSON())
}

// Tell tells another state.
func (a *ReleaseAPI) Tell(r Release) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = r
	a.publish(a.line())
}

// TellPart tells only the first bytes of the present state, as a line.
func (a *ReleaseAPI) TellPart(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publish(a.line()[:bytes])
}
