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

// Timeouts of streams that bring no data. An update that an unresponsive stream misses counts as delivered 6 s after
// the stream stopped; within that time the marshal must detect it, reconnect and read the whole list. A keep-alive that
// is late by more than half of its period may be taken for missing.
const (
	listTimeout   = 3200 * time.Millisecond // discovery sends an empty line every 2 s
	eventsTimeout = 2 * time.Second         // the release API sends a keep-alive every second
)

// nameTable maps the names that discovery uses to numbers: by the settings, or assigned here for hosts and other zones.
type nameTable struct {
	zones, models []string // from the settings; the index is the number

	mu           sync.Mutex
	hosts        map[string]*hostID
	lastNumber   uint32         // assigned to a host
	unnamedZones map[string]int // numbers of zones that are not in the settings
}

// hostID is the number of a host. Numbers are never reused.
type hostID struct {
	number    uint32
	goneSince time.Time // zero while the host is listed
}

// hostRetention is how long the number of a host that is gone is kept: longer than any other state of the host.
const hostRetention = 5 * time.Minute

// hostNumber returns the number of a host, and records whether the host is gone.
func (n *nameTable) hostNumber(name string, gone bool, now time.Time) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.hosts[name]
	if id == nil {
		if n.hosts == nil {
			n.hosts = map[string]*hostID{}
		}
		n.lastNumber++
		id = &hostID{number: n.lastNumber}
		n.hosts[name] = id
	}
	if !gone {
		id.goneSince = time.Time{}
	} else if id.goneSince.IsZero() {
		id.goneSince = now
	}
	return id.number
}

// markListed marks hosts that a whole list doesn't contain as gone, and removes hosts that were gone for hostRetention.
func (n *nameTable) markListed(whole bool, entries []control.NodeEntry, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := map[uint32]bool{}
	for _, e := range entries {
		listed[e.ID] = true
	}
	for name, id := range n.hosts {
		if whole && !listed[id.number] && id.goneSince.IsZero() {
			id.goneSince = now
		}
		if !id.goneSince.IsZero() && now.Sub(id.goneSince) > hostRetention {
			delete(n.hosts, name)
		}
	}
}

// zoneNumber returns the number of a zone. A zone that is not in the settings gets a number of its own, because nodes
// of the same zone may be assumed to drop each other's repeats. If the settings have no zones, all nodes are in zone 0.
func (n *nameTable) zoneNumber(name string) int {
	if len(n.zones) == 0 {
		return 0
	}
	if i := slices.Index(n.zones, name); i >= 0 {
		return i
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	number, known := n.unnamedZones[name]
	if !known {
		if n.unnamedZones == nil {
			n.unnamedZones = map[string]int{}
		}
		number = len(n.zones) + len(n.unnamedZones)
		n.unnamedZones[name] = number
	}
	return number
}

// listReader converts discovery's lists to node entries.
type listReader struct {
	names     *nameTable
	now       func() time.Time // wall-clock time at the start plus elapsed monotonic time
	wallClock func() time.Time // may be stepped
	log       *slog.Logger
}

// healthByName maps discovery's health values.
var healthByName = map[string]balance.Health{"in_service": balance.Serving,
	"terminating": balance.Draining, "terminated": balance.Gone}

// entries converts a list. An invalid entry is skipped.
func (r *listReader) entries(list gjson.Result) (entries []control.NodeEntry, err error) {
	hosts := list.Get("hosts")
	if !hosts.IsArray() || list.Get("seq").Type != gjson.Number {
		return nil, errors.New("not a list with hosts and a seq")
	}
	hosts.ForEach(func(_, h gjson.Result) bool {
		e, err := r.entry(h)
		if err != nil {
			r.log.Warn("invalid entry in the node list; skipped", "err", err)
			return true
		}
		entries = append(entries, e)
		return true
	})
	r.names.markListed(list.Get("whole").Bool(), entries, r.now())
	return entries, nil
}

// entry converts an entry of a list.
func (r *listReader) entry(h gjson.Result) (e control.NodeEntry, err error) {
	name := h.Get("host").Str
	health, known := healthByName[h.Get("health").Str]
	if name == "" || !known {
		return e, fmt.Errorf("host %.40q: unknown health %.40q", name, h.Get("health").Str)
	}
	if v := h.Get("build"); v.Type != gjson.Number && health != balance.Gone {
		return e, fmt.Errorf("host %.40q: build %.40q is not a number", name, v.Raw)
	}
	address := h.Get("dial").Str
	if _, _, err := net.SplitHostPort(address); err != nil && health != balance.Gone {
		return e, fmt.Errorf("host %.40q: %.60q is not host:port", name, address)
	}
	e = control.NodeEntry{Node: balance.Node{ID: r.names.hostNumber(name, health == balance.Gone, r.now()), Health: health,
		Ver: int(h.Get("build").Int()), Cell: int(h.Get("block").Int()), Size: 1, Zone: r.names.zoneNumber(h.Get("site").Str),
		Model: max(0, slices.Index(r.names.models, h.Get("class").Str))}, Address: address}
	if v := h.Get("share"); v.Type == gjson.Number && v.Num >= 0 {
		e.Size = v.Num
	}
	if h.Get("block").Type != gjson.Number { // a cell of its own: no other node is known to drop its repeats
		e.Cell = -int(e.ID)
	}
	if bornMs := h.Get("born_ms").Int(); bornMs > 0 {
		e.Incarnation, e.UptimeMs = uint64(bornMs), r.ageMs(bornMs)
	}
	return e, nil
}

// minAgeMs is the age of a node that has just started: 0 would mean that it started long ago.
const minAgeMs = 1

// ageMs returns a lower bound of the age of a node, from the wall-clock time of its start. The wall clock may be
// stepped while the marshal runs, before or after the node started. The lesser age by the wall clock and by the
// monotonic clock counts, and a start in the future counts as now. A node whose age is overestimated would get too much load
// while it is warming up.
func (r *listReader) ageMs(bornMs int64) float64 {
	byWallClock, byMonotonicClock := r.wallClock().UnixMilli()-bornMs, r.now().UnixMilli()-bornMs
	return max(minAgeMs, float64(min(byWallClock, byMonotonicClock)))
}

// DiscoveryClient follows discovery's list of nodes.
type DiscoveryClient struct {
	endpoint
	Log           *slog.Logger
	OnNodesListed func(whole bool, entries []control.NodeEntry)

	reader  *listReader
	hasList bool  // false: the next request is for the whole list
	seq     int64 // of the last list
}

// Run follows the list until the context ends.
func (c *DiscoveryClient) Run(ctx context.Context) {
	c.keepConnected(ctx, "discovery", c.Log, func(s *session, nc net.Conn) error {
		target := "/v1/servers?follow=1"
		s.withLock(func() {
			if c.hasList {
				target += "&since=" + strconv.FormatInt(c.seq, 10)
			}
		})
		stream := rest.Stream{Address: s.address, Target: target, Layout: rest.AnyLayout, Timeout: listTimeout}
		return stream.Follow(nc, func(text []byte) (err error) {
			j := gjson.ParseBytes(text)
			if !s.deliver(func() { err = c.handleList(j) }) {
				return errSuperseded
			}
			return err
		})
	})
}

// isKeepAlive reports whether an object of a stream has no members and says only that the stream is alive.
func isKeepAlive(j gjson.Result) bool { return len(j.Map()) == 0 }

// handleList delivers a list, whole or with changes. Sequence numbers may skip values, so that a gap can't be detected.
// A number lower than the last one belongs to another sequence: the error closes the stream, and the next request is
// for the whole list.
func (c *DiscoveryClient) handleList(j gjson.Result) error {
	if isKeepAlive(j) {
		return nil
	}
	if !j.Get("whole").IsBool() {
		c.hasList = false
		return fmt.Errorf("discovery: whole is missing or not a boolean in %.120q", j.Raw)
	}
	entries, err := c.reader.entries(j)
	if err != nil {
		c.hasList = false
		return fmt.Errorf("discovery: %w", err)
	}
	whole, seq := j.Get("whole").Bool(), j.Get("seq").Int()
	if !whole && (!c.hasList || seq < c.seq) {
		c.hasList = false
		return fmt.Errorf("discovery: changes with seq %d do not follow seq %d; the whole list is needed", seq, c.seq)
	}
	c.hasList, c.seq = true, seq
	c.Log.Debug("node list received", "seq", seq, "whole", whole, "hosts", len(entries))
	c.OnNodesListed(whole, entries)
	return nil
}

// Fetch does nothing: the client always follows the list.
func (c *DiscoveryClient) Fetch() {}

// Watch does nothing: the client always follows the list.
func (c *DiscoveryClient) Watch(bool) {}
