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

// How long a watch may bring nothing. What a silent one misses counts as told 6 s after it fell silent, and within that it has
// to be noticed, opened anew and read whole: a sign of life that is late by more than half of its period is missed.
const (
	rosterTimeout = 3200 * time.Millisecond // an empty line comes every 2 s
	eventsTimeout = 2 * time.Second         // a sign of life every second
)

// names are the words of the settings that the wire names things by, and the numbers of what it names itself.
type names struct {
	zones, models []string

	mu     sync.Mutex
	hosts  map[string]*hostID
	last   uint32         // number given to a host
	others map[string]int // numbers of zones that the settings don't name
}

// hostID is the number of a host; a number is never given twice.
type hostID struct {
	number uint32
	gone   time.Time // since when, zero while it is listed
}

// forgetHost is for how long the number of a host that is gone is kept: longer than anything else of it.
const forgetHost = 5 * time.Minute

// host is the number of a host as it is told now.
func (n *names) host(name string, gone bool, now time.Time) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		if n.hosts == nil {
			n.hosts = map[string]*hostID{}
		}
		n.last++
		h = &hostID{number: n.last}
		n.hosts[name] = h
	}
	if !gone {
		h.gone = time.Time{}
	} else if h.gone.IsZero() {
		h.gone = now
	}
	return h.number
}

// listed takes what a whole list leaves out for gone, and forgets what has been gone for long.
func (n *names) listed(whole bool, lines []control.NodeEntry, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there := map[uint32]bool{}
	for _, l := range lines {
		there[l.ID] = true
	}
	for name, h := range n.hosts {
		if whole && !there[h.number] && h.gone.IsZero() {
			h.gone = now
		}
		if !h.gone.IsZero() && now.Sub(h.gone) > forgetHost {
			delete(n.hosts, name)
		}
	}
}

// zone is the number of a zone. One that the settings don't name gets one of its own: what is said of two nodes of one zone,
// that they drop each other's repeats, must not hold for it and another. Where settings name none, all is one.
func (n *names) zone(name string) int {
	if len(n.zones) == 0 {
		return 0
	}
	if i := slices.Index(n.zones, name); i >= 0 {
		return i
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	i, known := n.others[name]
	if !known {
		if n.others == nil {
			n.others = map[string]int{}
		}
		i = len(n.zones) + len(n.others)
		n.others[name] = i
	}
	return i
}

// reader makes lines of the list of what discovery tells.
type reader struct {
	names *names
	now   func() time.Time // goes on steadily from the wall clock's time at the start
	wall  func() time.Time
	log   *slog.Logger
}

var healths = map[string]balance.Health{"in_service": balance.Serving, "terminating": balance.Draining, "terminated": balance.Gone}

// lines reads a list. An entry that can't be read costs that entry, not the others.
func (r *reader) lines(list gjson.Result) (lines []control.NodeEntry, err error) {
	hosts := list.Get("hosts")
	if !hosts.IsArray() || list.Get("seq").Type != gjson.Number {
		return nil, errors.New("no list of hosts with a seq")
	}
	hosts.ForEach(func(_, h gjson.Result) bool {
		l, err := r.line(h)
		if err != nil {
			r.log.Warn("an entry of the list can't be read", "err", err)
			return true
		}
		lines = append(lines, l)
		return true
	})
	r.names.listed(list.Get("whole").Bool(), lines, r.now())
	return lines, nil
}

func (r *reader) line(h gjson.Result) (l control.NodeEntry, err error) {
	name := h.Get("host").Str
	health, ok := healths[h.Get("health").Str]
	if name == "" || !ok {
		return l, fmt.Errorf("host %.40q: health %.40q is not known", name, h.Get("health").Str)
	}
	if v := h.Get("build"); v.Type != gjson.Number && health != balance.Gone {
		return l, fmt.Errorf("host %.40q: build: no number: %.40q", name, v.Raw)
	}
	address := h.Get("dial").Str
	if _, _, err := net.SplitHostPort(address); err != nil && health != balance.Gone {
		return l, fmt.Errorf("host %.40q: %.60q is no host:port", name, address)
	}
	l = control.NodeEntry{Node: balance.Node{ID: r.names.host(name, health == balance.Gone, r.now()), Health: health,
		Ver: int(h.Get("build").Int()), Cell: int(h.Get("block").Int()), Size: 1, Zone: r.names.zone(h.Get("site").Str),
		Model: max(0, slices.Index(r.names.models, h.Get("class").Str))}, Address: address}
	if v := h.Get("share"); v.Type == gjson.Number && v.Num >= 0 {
		l.Size = v.Num
	}
	if h.Get("block").Type != gjson.Number { // of a cell of its own: nothing is known to drop its repeats
		l.Cell = -int(l.ID)
	}
	if born := h.Get("born_ms").Int(); born > 0 {
		l.Incarnation, l.UptimeMs = uint64(born), r.age(born)
	}
	return l, nil
}

// leastAge is the age of a node that has just started, in ms: 0 would mean that it started long ago.
const leastAge = 1

// age is for how many ms at least a node runs that started at a time of the wall clock. That clock may be stepped while the marshal
// runs, before or after the node started: of the clock as it is and the clock as it went on from the marshal's start the lesser age
// counts, and one from the future counts as none. A node that is taken for older than it is would be sent too much while it is cold.
func (r *reader) age(born int64) float64 {
	stepped, steady := r.wall().UnixMilli()-born, r.now().UnixMilli()-born
	return max(leastAge, float64(min(stepped, steady)))
}

// DiscoveryClient follows discovery's list of nodes.
type DiscoveryClient struct {
	endpoint
	Log           *slog.Logger
	OnNodesListed func(whole bool, lines []control.NodeEntry)

	read *reader
	had  bool
	seq  int64
}

// Run follows the list until the context ends.
func (r *DiscoveryClient) Run(ctx context.Context) {
	r.keep(ctx, "discovery", r.Log, func(s *session, nc net.Conn) error {
		target := "/v1/servers?follow=1"
		s.alone(func() {
			if r.had {
				target += "&since=" + strconv.FormatInt(r.seq, 10)
			}
		})
		return rest.Follow(nc, s.address, target, rosterTimeout, func(text []byte) (err error) {
			j := gjson.ParseBytes(text)
			if !s.speak(func() { err = r.take(j) }) {
				return errMoved
			}
			return err
		})
	})
}

// take takes a list, or what has changed of it. Numbers of changes may leave some out, so that no gap can be seen; one that
// is lower than what was had is another count, of which the whole list is asked for.
func (r *DiscoveryClient) take(j gjson.Result) error {
	if !j.Get("hosts").Exists() && !j.Get("seq").Exists() { // a sign of life
		return nil
	}
	lines, err := r.read.lines(j)
	if err != nil {
		r.had = false
		return fmt.Errorf("discovery: %w", err)
	}
	whole, seq := j.Get("whole").Bool(), j.Get("seq").Int()
	if !whole && (!r.had || seq < r.seq) {
		r.had = false
		return fmt.Errorf("discovery: changes up to %d where %d was had: the whole list is due", seq, r.seq)
	}
	r.had, r.seq = true, seq
	r.Log.Debug("list taken", "seq", seq, "whole", whole, "hosts", len(lines))
	r.OnNodesListed(whole, lines)
	return nil
}

// Fetch and Watch have nothing to do: the list is followed all the time.
func (r *DiscoveryClient) Fetch()     {}
func (r *DiscoveryClient) Watch(bool) {}
