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
	listTimeout   = 3200 * time.Millisecond // an empty line comes every 2 s
	eventsTimeout = 2 * time.Second         // a sign of life every second
)

// nameTable are the words of the settings that the wire nameTable things by, and the numbers of what it nameTable itself.
type nameTable struct {
	zones, models []string

	mu           sync.Mutex
	hosts        map[string]*hostID
	lastNumber   uint32         // number given to a host
	unnamedZones map[string]int // numbers of zones that the settings don't name
}

// hostID is the number of a host; a number is never given twice.
type hostID struct {
	number    uint32
	goneSince time.Time // since when, zero while it is listed
}

// hostRetention is for how long the number of a host that is gone is kept: longer than anything else of it.
const hostRetention = 5 * time.Minute

// hostNumber is the number of a hostNumber as it is told now.
func (n *nameTable) hostNumber(name string, gone bool, now time.Time) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		if n.hosts == nil {
			n.hosts = map[string]*hostID{}
		}
		n.lastNumber++
		h = &hostID{number: n.lastNumber}
		n.hosts[name] = h
	}
	if !gone {
		h.goneSince = time.Time{}
	} else if h.goneSince.IsZero() {
		h.goneSince = now
	}
	return h.number
}

// markListed takes what a whole list leaves out for gone, and forgets what has been gone for long.
func (n *nameTable) markListed(whole bool, lines []control.NodeEntry, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there := map[uint32]bool{}
	for _, l := range lines {
		there[l.ID] = true
	}
	for name, h := range n.hosts {
		if whole && !there[h.number] && h.goneSince.IsZero() {
			h.goneSince = now
		}
		if !h.goneSince.IsZero() && now.Sub(h.goneSince) > hostRetention {
			delete(n.hosts, name)
		}
	}
}

// zoneNumber is the number of a zoneNumber. One that the settings don't name gets one of its own: what is said of two nodes of one zoneNumber,
// that they drop each other's repeats, must not hold for it and another. Where settings name none, all is one.
func (n *nameTable) zoneNumber(name string) int {
	if len(n.zones) == 0 {
		return 0
	}
	if i := slices.Index(n.zones, name); i >= 0 {
		return i
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	i, known := n.unnamedZones[name]
	if !known {
		if n.unnamedZones == nil {
			n.unnamedZones = map[string]int{}
		}
		i = len(n.zones) + len(n.unnamedZones)
		n.unnamedZones[name] = i
	}
	return i
}

// listReader makes lines of the list of what discovery tells.
type listReader struct {
	names     *nameTable
	now       func() time.Time // goes on steadily from the wall clock's time at the start
	wallClock func() time.Time
	log       *slog.Logger
}

var healthByName = map[string]balance.Health{"in_service": balance.Serving, "terminating": balance.Draining, "terminated": balance.Gone}

// entries reads a list. An entry that can't be read costs that entry, not the others.
func (r *listReader) entries(list gjson.Result) (lines []control.NodeEntry, err error) {
	hosts := list.Get("hosts")
	if !hosts.IsArray() || list.Get("seq").Type != gjson.Number {
		return nil, errors.New("no list of hosts with a seq")
	}
	hosts.ForEach(func(_, h gjson.Result) bool {
		l, err := r.entry(h)
		if err != nil {
			r.log.Warn("an entry of the list can't be read", "err", err)
			return true
		}
		lines = append(lines, l)
		return true
	})
	r.names.markListed(list.Get("whole").Bool(), lines, r.now())
	return lines, nil
}

func (r *listReader) entry(h gjson.Result) (l control.NodeEntry, err error) {
	name := h.Get("host").Str
	health, ok := healthByName[h.Get("health").Str]
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
	l = control.NodeEntry{Node: balance.Node{ID: r.names.hostNumber(name, health == balance.Gone, r.now()), Health: health,
		Ver: int(h.Get("build").Int()), Cell: int(h.Get("block").Int()), Size: 1, Zone: r.names.zoneNumber(h.Get("site").Str),
		Model: max(0, slices.Index(r.names.models, h.Get("class").Str))}, Address: address}
	if v := h.Get("share"); v.Type == gjson.Number && v.Num >= 0 {
		l.Size = v.Num
	}
	if h.Get("block").Type != gjson.Number { // of a cell of its own: nothing is known to drop its repeats
		l.Cell = -int(l.ID)
	}
	if born := h.Get("born_ms").Int(); born > 0 {
		l.Incarnation, l.UptimeMs = uint64(born), r.ageMs(born)
	}
	return l, nil
}

// minAgeMs is the age of a node that has just started, in ms: 0 would mean that it started long ago.
const minAgeMs = 1

// ageMs is for how many ms at least a node runs that started at a time of the wall clock. That clock may be stepped while the marshal
// runs, before or after the node started: of the clock as it is and the clock as it went on from the marshal's start the lesser ageMs
// counts, and one from the future counts as none. A node that is taken for older than it is would be sent too much while it is cold.
func (r *listReader) ageMs(born int64) float64 {
	stepped, steady := r.wallClock().UnixMilli()-born, r.now().UnixMilli()-born
	return max(minAgeMs, float64(min(stepped, steady)))
}

// DiscoveryClient follows discovery's list of nodes.
type DiscoveryClient struct {
	endpoint
	Log           *slog.Logger
	OnNodesListed func(whole bool, lines []control.NodeEntry)

	reader  *listReader
	hasList bool
	seq     int64
}

// Run follows the list until the context ends.
func (r *DiscoveryClient) Run(ctx context.Context) {
	r.keepConnected(ctx, "discovery", r.Log, func(s *session, nc net.Conn) error {
		target := "/v1/servers?follow=1"
		s.withLock(func() {
			if r.hasList {
				target += "&since=" + strconv.FormatInt(r.seq, 10)
			}
		})
		return rest.Follow(nc, s.address, target, listTimeout, func(text []byte) (err error) {
			j := gjson.ParseBytes(text)
			if !s.deliver(func() { err = r.handleList(j) }) {
				return errSuperseded
			}
			return err
		})
	})
}

// handleList takes a list, or what has changed of it. Numbers of changes may leave some out, so that no gap can be seen; one that
// is lower than what was had is another count, of which the whole list is asked for.
func (r *DiscoveryClient) handleList(j gjson.Result) error {
	if !j.Get("hosts").Exists() && !j.Get("seq").Exists() { // a sign of life
		return nil
	}
	lines, err := r.reader.entries(j)
	if err != nil {
		r.hasList = false
		return fmt.Errorf("discovery: %w", err)
	}
	whole, seq := j.Get("whole").Bool(), j.Get("seq").Int()
	if !whole && (!r.hasList || seq < r.seq) {
		r.hasList = false
		return fmt.Errorf("discovery: changes up to %d where %d was had: the whole list is due", seq, r.seq)
	}
	r.hasList, r.seq = true, seq
	r.Log.Debug("list taken", "seq", seq, "whole", whole, "hosts", len(lines))
	r.OnNodesListed(whole, lines)
	return nil
}

// Fetch and Watch have nothing to do: the list is followed all the time.
func (r *DiscoveryClient) Fetch()     {}
func (r *DiscoveryClient) Watch(bool) {}
