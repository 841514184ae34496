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

// streamServer is a server whose responses are endless streams, which the test writes.
type streamServer struct {
	address string
	streams chan *stream // one for each request
}

// stream is the connection of a request.
type stream struct {
	net.Conn
	target string
}

// send sends a chunk.
func (s *stream) send(text string) { fmt.Fprintf(s, "%x\r\n%s\r\n", len(text), text) }

func startStreamServer(t *testing.T) *streamServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &streamServer{ln.Addr().String(), make(chan *stream, 10)}
	go func() {
		defer close(s.streams)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				nc.Close()
				continue
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			t.Cleanup(func() { nc.Close() })
			s.streams <- &stream{nc, request.RequestURI}
		}
	}()
	return s
}

// next waits for the next request.
func (s *streamServer) next(t *testing.T) *stream {
	t.Helper()
	select {
	case next := <-s.streams:
		return next
	case <-time.After(6 * time.Second):
		t.Fatal("no request within 6 s")
		return nil
	}
}

// startClient starts a DiscoveryClient and returns a channel of the lists that it delivers, formatted as text.
func startClient(t *testing.T, address string) (*DiscoveryClient, chan string) {
	lists := make(chan string, 20)
	log := slog.New(slog.DiscardHandler)
	client := &DiscoveryClient{endpoint: endpoint{address: address}, Log: log,
		reader: &listReader{&nameTable{zones: []string{"a", "b"}}, time.Now, time.Now, log},
		OnNodesListed: func(whole bool, entries []control.NodeEntry) {
			text := fmt.Sprint(whole)
			for _, e := range entries {
				text += fmt.Sprintf(" %d:%s/%d/%d/%d", e.ID, e.Address, e.Ver, e.Health, e.Zone)
			}
			lists <- text
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return client, lists
}

// expect checks the next list.
func expect(t *testing.T, lists chan string, want string) {
	t.Helper()
	select {
	case got := <-lists:
		if got != want {
			t.Errorf("list %q; want %q", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Errorf("no list within 3 s; want %q", want)
	}
}

// listText returns a list as discovery sends it.
func listText(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf("{\n \"seq\": %d, \"whole\": %v,\n \"hosts\": [%s]}\n", seq, whole, strings.Join(hosts, ",\n"))
}

// host returns an entry of a list.
func host(name, site, health string, build int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:70","site":%q,"health":%q,"build":%d}`, name, site, health, build)
}

// Invalid entries are skipped. After a stream ends, the client requests the changes since the last list. After a lower
// sequence number or an invalid list it requests the whole list.
func TestListSequence(t *testing.T) {
	s := startStreamServer(t)
	_, lists := startClient(t, s.address)
	c := s.next(t)
	if c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
	c.send("\n")
	c.send(listText(41, true, host("x", "a", "in_service", 3), host("y", "b", "odd", 3),
		`{"host":"z","dial":"nowhere","health":"in_service","build":1}`,
		`{"host":"w","dial":"10.0.0.1:70","health":"in_service"}`, host("v", "c", "terminating", 3)))
	expect(t, lists, "true 1:10.0.0.1:70/3/0/0 2:10.0.0.1:70/3/1/2")
	c.send(listText(43, false, host("x", "a", "terminated", 3)))
	expect(t, lists, "false 1:10.0.0.1:70/3/2/0")
	c.Close()
	if c = s.next(t); c.target != "/v1/servers?follow=1&since=43" {
		t.Error(c.target)
	}
	c.send(listText(7, false, host("x", "a", "in_service", 4)))
	if c = s.next(t); c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
	c.send(listText(8, true, host("x", "a", "in_service", 4)))
	expect(t, lists, "true 1:10.0.0.1:70/4/0/0")
	c.send(`{"seq":9,"whole":false,"hosts":{}}`)
	if c = s.next(t); c.target != "/v1/servers?follow=1" {
		t.Error(c.target)
	}
}

// After a change of the address, the stream of the old address continues until the first list from the new one, and is
// ignored and closed from then on. After two changes in a row the last address counts.
func TestAddressChange(t *testing.T) {
	one, two, three := startStreamServer(t), startStreamServer(t), startStreamServer(t)
	client, lists := startClient(t, one.address)
	a := one.next(t)
	a.send(listText(1, true, host("x", "a", "in_service", 3)))
	expect(t, lists, "true 1:10.0.0.1:70/3/0/0")
	client.SetAddress(two.address)
	b := two.next(t)
	if b.target != "/v1/servers?follow=1&since=1" {
		t.Error(b.target)
	}
	a.send(listText(2, false, host("x", "a", "terminating", 3)))
	expect(t, lists, "false 1:10.0.0.1:70/3/1/0")
	client.SetAddress(three.address)
	c := three.next(t)
	a.send(listText(3, false, host("y", "a", "in_service", 3)))
	expect(t, lists, "false 2:10.0.0.1:70/3/0/0")
	c.send(listText(4, true, host("x", "a", "terminating", 3)))
	expect(t, lists, "true 1:10.0.0.1:70/3/1/0")
	for _, old := range []*stream{a, b} { // both must be closed
		old.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := old.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("stream of an old address: error %v; want closed", err)
		}
	}
	c.send(listText(5, false, host("x", "a", "terminated", 3)))
	expect(t, lists, "false 1:10.0.0.1:70/3/2/0")
}

// An unresponsive stream is detected and reopened in time, each time: a hung connection doesn't increase the backoff.
func TestUnresponsiveStream(t *testing.T) {
	if listTimeout+maxBackoff+maxBackoff*3/2 > 6*time.Second-time.Second { // detect, connect, one retry, and 1 s to read
		t.Error("an unresponsive stream is detected too late")
	}
	s := startStreamServer(t)
	startClient(t, s.address)
	s.next(t)
	start := time.Now()
	s.next(t)                                                                  // the first stream sends nothing after its head
	if took := time.Since(start); took < listTimeout || took > 5*time.Second { // 1 s before missed updates count as delivered
		t.Errorf("reopened after %v; want %v to 5 s", took, listTimeout)
	}
}

// Numbers of hosts are never reused, and those of hosts that are gone for long are removed.
func TestHostNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	n := &nameTable{}
	r := &listReader{n, func() time.Time { return now }, time.Now, slog.New(slog.DiscardHandler)}
	for i := range 5000 {
		for _, health := range []string{"in_service", "terminated"} {
			entries, err := r.entries(gjson.Parse(listText(i, false, host(fmt.Sprint("s-", i), "", health, 1))))
			if err != nil || entries[0].ID != uint32(i+1) {
				t.Fatalf("host %d: entries %v, error %v; want number %d", i, entries, err, i+1)
			}
		}
		now = now.Add(time.Second)
	}
	if most := int(hostRetention/time.Second) + 2; len(n.hosts) > most {
		t.Errorf("%d hosts are kept; want %d at most", len(n.hosts), most)
	}
	entries, _ := r.entries(gjson.Parse(listText(5001, false, host("s-1", "", "in_service", 1))))
	if entries[0].ID != 5001 {
		t.Errorf("a host that returns after hostRetention has number %d; want 5001, which has no old state", entries[0].ID)
	}
	for i := range 3 { // hosts that are not in a whole list are gone
		r.entries(gjson.Parse(listText(6000+i, true, host("s-2", "", "in_service", 1))))
		now = now.Add(hostRetention)
	}
	if len(n.hosts) != 1 {
		t.Errorf("%d hosts are kept after a whole list of one; want 1", len(n.hosts))
	}
}

// Nodes with an unknown zone or cell share it with no other node.
func TestUnknownZonesAndCells(t *testing.T) {
	r := &listReader{&nameTable{zones: []string{"a"}}, time.Now, time.Now, slog.New(slog.DiscardHandler)}
	entries, err := r.entries(gjson.Parse(listText(1, true, host("x", "p", "in_service", 1),
		host("y", "q", "in_service", 1), host("z", "a", "in_service", 1))))
	if err != nil || entries[0].Zone == entries[1].Zone || entries[0].Zone == 0 || entries[2].Zone != 0 ||
		entries[0].Cell == entries[1].Cell || entries[0].Size != 1 {
		t.Errorf("entries %+v, error %v", entries, err)
	}
	r.names.zones = nil
	if e, err := r.entry(gjson.Parse(host("x", "", "in_service", 1))); err != nil || e.Zone != 0 || e.Health != balance.Serving {
		t.Errorf("without zones: entry %+v, error %v", e, err)
	}
}

// A new process dispatches nothing before it has the list of discovery's agent, but doesn't wait long for an unresponsive
// agent.
func TestFirstList(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		after := 300 * time.Millisecond
		if unresponsive {
			after = 0
		}
		start := time.Now()
		m := startWithLists(t, "", host("x", "there", "in_service", 7), after)
		<-m.Ready()
		took := time.Since(start)
		if state, _ := m.Snapshot(); !unresponsive && (len(state.Nodes) != 1 || took < 300*time.Millisecond) {
			t.Errorf("ready after %v with %d nodes; want 1 node after 300 ms or more", took, len(state.Nodes))
		} else if most := firstListMs*time.Millisecond + time.Second; took > most {
			t.Errorf("unresponsive %v: ready after %v; want %v at most", unresponsive, took, most)
		}
		m.End()
	}
}

// The wall clock is stepped by an hour while the marshal runs, before or after a node starts. The age of a node that
// has run for 5 s must not be overestimated: the node would get the load of one that has warmed up.
func TestWallClockStep(t *testing.T) {
	const age, hour = 5 * time.Second, time.Hour
	start := time.Now()
	for name, c := range map[string]struct {
		step   time.Duration
		before bool // the node started before the step
	}{"forward after": {hour, true}, "forward before": {hour, false},
		"back after": {-hour, true}, "back before": {-hour, false}, "none": {0, true}} {
		now := start.Add(time.Minute) // by the monotonic clock
		wall := now.Add(c.step)
		born := now.Add(-age)
		if !c.before {
			born = wall.Add(-age)
		}
		r := &listReader{&nameTable{}, func() time.Time { return now }, func() time.Time { return wall }, slog.New(slog.DiscardHandler)}
		e, err := r.entry(gjson.Parse(fmt.Sprintf(
			`{"host":"a","dial":"127.0.0.1:1","health":"in_service","build":7,"born_ms":%d}`, born.UnixMilli())))
		if err != nil || e.UptimeMs < minAgeMs || e.UptimeMs > float64(age.Milliseconds()) {
			t.Errorf("%s: uptime %v ms, error %v; want %v ms at most", name, e.UptimeMs, err, age.Milliseconds())
		}
		if c.step == 0 && e.UptimeMs != float64(age.Milliseconds()) {
			t.Errorf("without a step: uptime %v ms; want %v", e.UptimeMs, age.Milliseconds())
		}
	}
}
