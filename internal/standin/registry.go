package standin

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/record"
)

// Registry is a stand-in for the service registry: it sends changes of the node list to the marshals that watch it,
// after a delay.
type Registry struct {
	Delay  func() time.Duration // of each message; nil for none
	Record func(*record.Seen)

	ln net.Listener
	lineServer
	epoch     uint64
	version   uint64
	nodes     map[uint32]entry
	goneNodes map[uint32]entry
	fail      bool // FETCH and WATCH fail
	duplicate bool // every list is sent twice
}

// entry is a node of the list.
type entry struct {
	control.NodeEntry
	started time.Time
	version uint64 // of the registry at its last change
}

// lineServer holds the connections of a server with a line protocol. Each has a queue of delayed messages.
type lineServer struct {
	mu     sync.Mutex
	conns  map[*marshalConn]bool
	closed bool
	wg     sync.WaitGroup
}

// marshalConn is a marshal's connection to a server.
type marshalConn struct {
	*control.LineConn
	nc       net.Conn
	marshal  int // its number; -1 before its HELLO
	watching bool
	queue    chan func() // called in order
	ctx      context.Context
}

// serve accepts connections. It calls onLine with each line of a connection, in order, and onClose at its end.
func (s *lineServer) serve(ln net.Listener, onLine func(*marshalConn, string) error, onClose func(*marshalConn)) {
	s.conns = map[*marshalConn]bool{}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			c := &marshalConn{LineConn: control.NewLineConn(nc), nc: nc, marshal: -1, queue: make(chan func(), 4096), ctx: ctx}
			s.mu.Lock()
			if s.closed {
				s.mu.Unlock()
				cancel()
				nc.Close()
				return
			}
			s.conns[c] = true
			s.wg.Add(2)
			s.mu.Unlock()
			go func() {
				defer s.wg.Done()
				for {
					select {
					case send := <-c.queue:
						send()
					case <-ctx.Done():
						return
					}
				}
			}()
			go func() {
				defer s.wg.Done()
				defer cancel()
				for {
					line, err := c.NextLine()
					if err == nil {
						err = onLine(c, line)
					}
					if err != nil {
						break
					}
				}
				nc.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				onClose(c)
			}()
		}
	}()
}

// enqueue queues a message to be sent after a delay. Messages never overtake each other.
func (c *marshalConn) enqueue(delay time.Duration, send func()) {
	at := time.Now().Add(delay)
	select {
	case c.queue <- func() {
		if sleep(c.ctx, time.Until(at)) {
			send()
		}
	}:
	default: // the queue is full: once the marshal reconnects, it gets the whole state anew
		c.nc.Close()
	}
}

// close closes the listener and all connections, and waits until they have ended.
func (s *lineServer) close(ln net.Listener) {
	ln.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// closeConns closes every connection; marshals reconnect.
func (s *lineServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
}

// Start listens at an address, with an empty list.
func (r *Registry) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	r.ln, r.epoch = ln, uint64(time.Now().UnixNano())
	r.nodes, r.goneNodes = map[uint32]entry{}, map[uint32]entry{}
	r.serve(ln, r.handleLine, func(*marshalConn) {})
	return nil
}

// Address returns the address that the registry listens at.
func (r *Registry) Address() string { return r.ln.Addr().String() }

// Close closes the listener and all connections.
func (r *Registry) Close() { r.close(r.ln) }

// DropConnections closes every connection; marshals reconnect.
func (r *Registry) DropConnections() { r.closeConns() }

// SetFaults makes FETCH and WATCH fail, or every list be sent twice.
func (r *Registry) SetFaults(fail, duplicate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail, r.duplicate = fail, duplicate
}

// Set adds or changes a node, or removes it if it is gone, and sends the change to the marshals that watch.
func (r *Registry) Set(node control.NodeEntry, uptime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e := entry{node, time.Now().Add(-uptime), r.version}
	if node.Health == balance.Gone {
		delete(r.nodes, node.ID)
		r.goneNodes[node.ID] = e
	} else {
		delete(r.goneNodes, node.ID)
		r.nodes[node.ID] = e
	}
	for c := range r.conns {
		if c.watching {
			r.sendList(c, false, r.version-1, r.version, []entry{e})
		}
	}
}

// delay returns the delay of the next message.
func (r *Registry) delay() time.Duration {
	if r.Delay == nil {
		return 0
	}
	return r.Delay()
}

// sendList queues a list; the caller holds r.mu.
func (r *Registry) sendList(c *marshalConn, whole bool, from, version uint64, nodes []entry) {
	times := 1
	if r.duplicate {
		times = 2
	}
	epoch := r.epoch
	var unlisted []entry // nodes that a whole list reports as gone by leaving them out
	for _, e := range r.goneNodes {
		if whole {
			unlisted = append(unlisted, e)
		}
	}
	for range times {
		c.enqueue(r.delay(), func() {
			kind := "changes"
			if whole {
				kind = "whole"
			}
			b := fmt.Appendf(nil, "LIST %s %d %d %d %d\r\n", kind, epoch, from, version, len(nodes))
			for _, e := range nodes {
				if e.UptimeMs != 0 {
					e.UptimeMs = max(1, float64(time.Since(e.started))/float64(time.Millisecond))
				}
				b = append(control.AppendNode(b, e.NodeEntry), "\r\n"...)
			}
			for _, e := range append(nodes, unlisted...) {
				if r.Record != nil {
					r.Record(&record.Seen{Kind: "told", AtUs: time.Now().UnixMicro(), Instance: int64(c.marshal), Node: e.ID,
						Ver: int64(e.Ver), Text: [...]string{"serving", "draining", "gone"}[e.Health]})
				}
			}
			c.nc.Write(b)
		})
	}
}

// handleLine handles a line from a marshal.
func (r *Registry) handleLine(c *marshalConn, line string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	words := strings.Fields(line)
	if len(words) == 0 {
		return fmt.Errorf("empty line")
	}
	switch words[0] {
	case "HELLO":
		if len(words) == 2 {
			c.marshal, _ = strconv.Atoi(words[1])
		}
	case "FETCH":
		if r.fail {
			c.enqueue(r.delay(), func() { c.PrintfLine("FAILED") })
			return nil
		}
		r.sendList(c, true, 0, r.version, r.changedAfter(0))
	case "WATCH":
		if r.fail || len(words) != 3 {
			c.enqueue(r.delay(), func() { c.PrintfLine("FAILED") })
			return nil
		}
		epoch, _ := strconv.ParseUint(words[1], 10, 64)
		version, _ := strconv.ParseUint(words[2], 10, 64)
		c.watching = true
		if epoch != r.epoch || version > r.version {
			r.sendList(c, true, 0, r.version, r.changedAfter(0))
		} else {
			r.sendList(c, false, version, r.version, r.changedAfter(version))
		}
	case "UNWATCH":
		c.watching = false
	default:
		return fmt.Errorf("unknown message %.20q", words[0])
	}
	return nil
}

// changedAfter returns the nodes that changed after a version, in the order of their numbers. After 0 it returns the
// whole list, which leaves out the nodes that are gone.
func (r *Registry) changedAfter(version uint64) (nodes []entry) {
	for _, e := range r.nodes {
		if e.version > version {
			nodes = append(nodes, e)
		}
	}
	for _, e := range r.goneNodes {
		if version > 0 && e.version > version {
			nodes = append(nodes, e)
		}
	}
	slices.SortFunc(nodes, func(a, b entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return nodes
}
