package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/rest"
)

// How long a stream may bring nothing, and the waits between two connections.
const (
	quietRoster = 5 * time.Second // an empty line comes every 2 s
	quietEvents = 3 * time.Second // a sign of life every second
	waitFirst   = 20 * time.Millisecond
	waitMost    = 500 * time.Millisecond
)

// object reads a line of a stream, which is a JSON object or, as a sign of life, empty.
func object(from string, text []byte) (j gjson.Result, err error) {
	if len(text) == 0 {
		return j, nil
	}
	if j = gjson.ParseBytes(text); !gjson.ValidBytes(text) || !j.IsObject() {
		return j, fmt.Errorf("%s: no JSON object: %.80q", from, text)
	}
	return j, nil
}

// place is an address that can change while a session with it is kept.
type place struct {
	mu      sync.Mutex
	address string
	leave   context.CancelFunc
}

// Move leaves for another address.
func (p *place) Move(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != p.address {
		p.address = address
		if p.leave != nil {
			p.leave()
		}
	}
}

func (p *place) at() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

func (p *place) keep(ctx context.Context, name string, log *slog.Logger, session func(context.Context, net.Conn) error) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		p.mu.Lock()
		address := p.address
		p.leave = leave
		p.mu.Unlock()
		control.Keep(here, name, address, waitFirst, waitMost, log, session)
		leave()
	}
}

// reader makes lines of the list of what discovery tells; ids of nodes are numbered as they are first heard of.
type reader struct {
	names *names
	now   func() time.Time
}

func newReader(n *names) *reader { return &reader{n, time.Now} }

// ids numbers the names of nodes, for as long as the process lives.
var ids = struct {
	sync.Mutex
	of map[string]uint32
}{of: map[string]uint32{}}

func id(name string) uint32 {
	ids.Lock()
	defer ids.Unlock()
	n, ok := ids.of[name]
	if !ok {
		n = uint32(len(ids.of) + 1)
		ids.of[name] = n
	}
	return n
}

var healths = map[string]balance.Health{"in_service": balance.Serving, "terminating": balance.Draining, "terminated": balance.Gone}

func (r *reader) lines(list gjson.Result) (lines []control.Line, err error) {
	hosts := list.Get("hosts")
	if !hosts.IsArray() {
		return nil, errors.New("hosts: not a list")
	}
	hosts.ForEach(func(_, h gjson.Result) bool {
		var l control.Line
		if l, err = r.line(h); err != nil {
			return false
		}
		lines = append(lines, l)
		return true
	})
	return lines, err
}

func (r *reader) line(h gjson.Result) (l control.Line, err error) {
	name := h.Get("host").Str
	health, ok := healths[h.Get("health").Str]
	if name == "" || !ok {
		return l, fmt.Errorf("host %.40q: health %.40q is not known", name, h.Get("health").Str)
	}
	l = control.Line{Node: balance.Node{ID: id(name), Health: health, Ver: int(h.Get("build").Int()), Cell: int(h.Get("block").Int()),
		Size: h.Get("share").Num, Zone: slices.Index(r.names.zones, h.Get("site").Str),
		Model: max(0, slices.Index(r.names.models, h.Get("class").Str))}, Address: h.Get("dial").Str}
	if _, _, err := net.SplitHostPort(l.Address); err != nil && health != balance.Gone {
		return l, fmt.Errorf("host %q: %.60q is no host:port", name, l.Address)
	}
	if born := h.Get("born_ms").Int(); born > 0 {
		l.Incarnation, l.Up = uint64(born), max(1, float64(r.now().UnixMilli()-born))
	}
	return l, nil
}

// Roster follows discovery's list of nodes.
type Roster struct {
	place
	Log    *slog.Logger
	Listed func(whole bool, lines []control.Line)

	read *reader
	had  bool
	seq  int64
}

// Run follows the list until the context ends.
func (r *Roster) Run(ctx context.Context) {
	r.keep(ctx, "discovery", r.Log, func(_ context.Context, nc net.Conn) error {
		target := "/v1/servers?follow=1"
		if r.had {
			target += "&since=" + strconv.FormatInt(r.seq, 10)
		}
		return rest.Follow(nc, r.at(), target, quietRoster, r.line)
	})
}

func (r *Roster) line(text []byte) error {
	j, err := object("discovery", text)
	if err != nil || len(text) == 0 {
		return err
	}
	lines, err := r.read.lines(j)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	r.had, r.seq = true, j.Get("seq").Int()
	r.Listed(j.Get("whole").Bool(), lines)
	return nil
}

// Fetch and Watch have nothing to do: the list is followed all the time.
func (r *Roster) Fetch()     {}
func (r *Roster) Watch(bool) {}
