package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
)

// stream is a server whose answers never end; it hands each request's target on, and the connection to write to.
type stream struct {
	address string
	asked   chan *streamed
}

type streamed struct {
	net.Conn
	target string
}

func (s *streamed) say(text string) { fmt.Fprintf(s, "%x\r\n%s\r\n", len(text), text) }

func streaming(t *testing.T) *stream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &stream{ln.Addr().String(), make(chan *streamed, 10)}
	go func() {
		defer close(s.asked)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			q, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				nc.Close()
				continue
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			t.Cleanup(func() { nc.Close() })
			s.asked <- &streamed{nc, q.RequestURI}
		}
	}()
	return s
}

func (s *stream) next(t *testing.T) *streamed {
	t.Helper()
	select {
	case c := <-s.asked:
		return c
	case <-time.After(6 * time.Second):
		t.Fatal("nobody asked")
		return nil
	}
}

// followed starts a Roster at an address and gives what it lists, a line each time.
func followed(t *testing.T, address string) (*DiscoveryClient, chan string) {
	listed := make(chan string, 20)
	log := slog.New(slog.DiscardHandler)
	r := &DiscoveryClient{endpoint: endpoint{address: address}, Log: log, reader: &listReader{&nameTable{zones: []string{"a", "b"}}, time.Now, time.Now, log},
		OnNodesListed: func(whole bool, lines []control.NodeEntry) {
			text := fmt.Sprint(whole)
			for _, l := range lines {
				text += fmt.Sprintf(" %d:%s/%d/%d/%d", l.ID, l.Address, l.Ver, l.Health, l.Zone)
			}
			listed <- text
		}}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { end(); <-done })
	return r, listed
}

func expect(t *testing.T, listed chan string, want string) {
	t.Helper()
	select {
	case got := <-listed:
		if got != want {
			t.Errorf("listed %q; want %q", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Errorf("nothing was listed; want %q", want)
	}
}

func told(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf("{\n \"seq\": %d, \"whole\": %v,\n \"hosts\": [%s]}\n", seq, whole, strings.Join(hosts, ",\n"))
}

func host(name, site, health string, build int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:70","site":%q,"health":%q,"build":%d}`, name, site, health, build)
}

// One entry that can't be read costs that entry; a stream that ends is asked for what came after; a count that begins anew
// is asked for whole, and so is one that follows what could not be read.
func TestRosterSequence(t *testing.T) {
	s := streaming(t)
	_, listed := followed(t, s.address)
	c := s.next(t)
	if c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
	c.say("\n")
	c.say(told(41, true, host("x", "a", "in_service", 3), host("y", "b", "odd", 3), `{"host":"z","dial":"nowhere","health":"in_service","build":1}`,
		`{"host":"w","dial":"10.0.0.1:70","health":"in_service"}`, host("v", "c", "terminating", 3)))
	expect(t, listed, "true 1:10.0.0.1:70/3/0/0 2:10.0.0.1:70/3/1/2")
	c.say(told(43, false, host("x", "a", "terminated", 3)))
	expect(t, listed, "false 1:10.0.0.1:70/3/2/0")
	c.Close()
	if c = s.next(t); c.target != "/v1/servers?follow=1&since=43" {
		t.Error(c.target)
	}
	c.say(told(7, false, host("x", "a", "in_service", 4)))
	if c = s.next(t); c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
	c.say(told(8, true, host("x", "a", "in_service", 4)))
	expect(t, listed, "true 1:10.0.0.1:70/4/0/0")
	c.say(`{"seq":9,"whole":false,"hosts":{}}`)
	if c = s.next(t); c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
}

// After a move the stream of the old address goes on until the new one has spoken, and nothing of it counts from then on;
// two moves in a row end in the last.
func TestRosterMoves(t *testing.T) {
	one, two, three := streaming(t), streaming(t), streaming(t)
	r, listed := followed(t, one.address)
	a := one.next(t)
	a.say(told(1, true, host("x", "a", "in_service", 3)))
	expect(t, listed, "true 1:10.0.0.1:70/3/0/0")
	r.SetAddress(two.address)
	b := two.next(t)
	if b.target != "/v1/servers?follow=1&since=1" {
		t.Error(b.target)
	}
	a.say(told(2, false, host("x", "a", "terminating", 3)))
	expect(t, listed, "false 1:10.0.0.1:70/3/1/0")
	r.SetAddress(three.address)
	c := three.next(t)
	a.say(told(3, false, host("y", "a", "in_service", 3)))
	expect(t, listed, "false 2:10.0.0.1:70/3/0/0")
	c.say(told(4, true, host("x", "a", "terminating", 3)))
	expect(t, listed, "true 1:10.0.0.1:70/3/1/0")
	for _, old := range []*streamed{a, b} { // both are closed
		old.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := old.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("a stream with an old address: %v", err)
		}
	}
	c.say(told(5, false, host("x", "a", "terminated", 3)))
	expect(t, listed, "false 1:10.0.0.1:70/3/2/0")
}

// A silent watch is opened anew in time, again and again, and a hung connection makes no wait grow.
func TestSilentWatch(t *testing.T) {
	if listTimeout+maxBackoff+maxBackoff*3/2 > 6*time.Second-time.Second { // notice, connect, one more try, and a second to read
		t.Error("a silent watch is noticed too late")
	}
	s := streaming(t)
	followed(t, s.address)
	s.next(t)
	from := time.Now()
	s.next(t)                                                                 // silent after its head
	if took := time.Since(from); took < listTimeout || took > 5*time.Second { // a second before what it misses counts
		t.Errorf("opened anew after %v", took)
	}
}

// Numbers of hosts are never given twice, and those of hosts long gone are forgotten.
func TestHostNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	n := &nameTable{}
	r := &listReader{n, func() time.Time { return now }, time.Now, slog.New(slog.DiscardHandler)}
	for i := range 5000 {
		for _, health := range []string{"in_service", "terminated"} {
			lines, err := r.entries(gjson.Parse(told(i, false, host(fmt.Sprint("s-", i), "", health, 1))))
			if err != nil || lines[0].ID != uint32(i+1) {
				t.Fatalf("host %d is %v, %v", i, lines, err)
			}
		}
		now = now.Add(time.Second)
	}
	if most := int(hostRetention/time.Second) + 2; len(n.hosts) > most {
		t.Errorf("%d numbers are kept; want %d at most", len(n.hosts), most)
	}
	lines, _ := r.entries(gjson.Parse(told(5001, false, host("s-1", "", "in_service", 1))))
	if lines[0].ID != 5001 {
		t.Errorf("a host that comes back after long has number %d, which may meet old state", lines[0].ID)
	}
	for i := range 3 { // what a whole list leaves out is gone
		r.entries(gjson.Parse(told(6000+i, true, host("s-2", "", "in_service", 1))))
		now = now.Add(hostRetention)
	}
	if len(n.hosts) != 1 {
		t.Errorf("%d numbers are kept after a whole list of one", len(n.hosts))
	}
}

// Where nothing is known of what two nodes share, they share nothing.
func TestUnknownPlaces(t *testing.T) {
	r := &listReader{&nameTable{zones: []string{"a"}}, time.Now, time.Now, slog.New(slog.DiscardHandler)}
	lines, err := r.entries(gjson.Parse(told(1, true, host("x", "p", "in_service", 1), host("y", "q", "in_service", 1), host("z", "a", "in_service", 1))))
	if err != nil || lines[0].Zone == lines[1].Zone || lines[0].Zone == 0 || lines[2].Zone != 0 || lines[0].Cell == lines[1].Cell || lines[0].Size != 1 {
		t.Errorf("%+v, %v", lines, err)
	}
	r.names.zones = nil
	if l, err := r.entry(gjson.Parse(host("x", "", "in_service", 1))); err != nil || l.Zone != 0 || l.Health != balance.Serving {
		t.Errorf("without zones: %+v, %v", l, err)
	}
}

// A new process takes nothing before it has the list that discovery's agent has, and does not wait for one that is silent.
func TestFirstList(t *testing.T) {
	for _, silent := range []bool{false, true} {
		s := streaming(t)
		c := config(t, "127.0.0.1:0", s.address, "127.0.0.1:0", s.address)
		go func() {
			for a := range s.asked { // until the streams are closed
				if !silent && strings.HasPrefix(a.target, "/v1/servers") {
					time.Sleep(300 * time.Millisecond)
					a.say(told(4, true, host("x", "there", "in_service", 7)))
				}
			}
		}()
		from := time.Now()
		m, err := Start(c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		took := time.Since(from)
		if r, _ := m.Look(); !silent && (len(r.Nodes) != 1 || took < 300*time.Millisecond) {
			t.Errorf("it runs after %v with %d nodes", took, len(r.Nodes))
		} else if most := firstListMs*time.Millisecond + time.Second; took > most {
			t.Errorf("silent %v: it runs after %v; want %v at most", silent, took, most)
		}
		m.End()
	}
}

// The wall clock is stepped by an hour while the marshal runs, before or after a node starts. A node that has run for 5 s is not taken
// for older: it would be sent what a warm one can do.
func TestWallClockIsStepped(t *testing.T) {
	const age, hour = 5 * time.Second, time.Hour
	started := time.Now()
	for name, c := range map[string]struct {
		step   time.Duration
		before bool // the node started before the step
	}{"forward after": {hour, true}, "forward before": {hour, false}, "back after": {-hour, true}, "back before": {-hour, false}, "none": {0, true}} {
		now := started.Add(time.Minute) // by a clock that goes on steadily
		wall := now.Add(c.step)
		born := now.Add(-age)
		if !c.before {
			born = wall.Add(-age)
		}
		r := &listReader{&nameTable{}, func() time.Time { return now }, func() time.Time { return wall }, slog.New(slog.DiscardHandler)}
		l, err := r.entry(gjson.Parse(fmt.Sprintf(`{"host":"a","dial":"127.0.0.1:1","health":"in_service","build":7,"born_ms":%d}`, born.UnixMilli())))
		if err != nil || l.UptimeMs < minAgeMs || l.UptimeMs > float64(age.Milliseconds()) {
			t.Errorf("%s: %v ms, %v", name, l.UptimeMs, err)
		}
		if c.step == 0 && l.UptimeMs != float64(age.Milliseconds()) {
			t.Errorf("without a step: %v ms", l.UptimeMs)
		}
	}
}
