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

// Registry is a stand-in roster: what is set is told to those who watch, after a lag.
type Registry struct {
	Delay  func() time.Duration // of each tell; nil for none
	Record func(*record.Seen)

	ln net.Listener
	hub
	epoch   uint64
	version uint64
	lines   map[uint32]entry
	gone    map[uint32]entry
	fail    bool
	twice   bool
}

type entry struct {
	control.NodeEntry
	begun   time.Time
	version uint64
}

// hub is what the servers of line protocols share: their connections, each with a queue of what is told later.
type hub struct {
	mu     sync.Mutex
	links  map[*link]bool
	closed bool
	wg     sync.WaitGroup
}

type link struct {
	*control.LineConn
	nc      net.Conn
	marshal int
	watch   bool
	say     chan func() // in order, each when its time has come
	ctx     context.Context
}

// serve takes connections; hear is called with each line, in order.
func (h *hub) serve(ln net.Listener, hear func(*link, string) error, leave func(*link)) {
	h.links = map[*link]bool{}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			l := &link{LineConn: control.NewLineConn(nc), nc: nc, marshal: -1, say: make(chan func(), 4096), ctx: ctx}
			h.mu.Lock()
			if h.closed {
				h.mu.Unlock()
				cancel()
				nc.Close()
				return
			}
			h.links[l] = true
			h.wg.Add(2)
			h.mu.Unlock()
			go func() {
				defer h.wg.Done()
				for {
					select {
					case f := <-l.say:
						f()
					case <-ctx.Done():
						return
					}
				}
			}()
			go func() {
				defer h.wg.Done()
				defer cancel()
				for {
					line, err := l.NextLine()
					if err == nil {
						err = hear(l, line)
					}
					if err != nil {
						break
					}
				}
				nc.Close()
				h.mu.Lock()
				delete(h.links, l)
				h.mu.Unlock()
				leave(l)
			}()
		}
	}()
}

// later queues something to be told to a link after a lag. What is told later never overtakes.
func (l *link) later(lag time.Duration, f func()) {
	at := time.Now().Add(lag)
	select {
	case l.say <- func() {
		if sleep(l.ctx, time.Until(at)) {
			f()
		}
	}:
	default: // far behind: the link is cut, and the whole is told anew
		l.nc.Close()
	}
}

func (h *hub) close(ln net.Listener) {
	ln.Close()
	h.mu.Lock()
	h.closed = true
	for l := range h.links {
		l.nc.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// drop cuts every connection; marshals come back.
func (h *hub) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		l.nc.Close()
	}
}

// Start listens.
func (r *Registry) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	r.ln, r.epoch = ln, uint64(time.Now().UnixNano())
	r.lines, r.gone = map[uint32]entry{}, map[uint32]entry{}
	r.serve(ln, r.hear, func(*link) {})
	return nil
}

// Address is where it listens.
func (r *Registry) Address() string { return r.ln.Addr().String() }

// Close ends it.
func (r *Registry) Close() { r.close(r.ln) }

// DropConnections cuts every connection.
func (r *Registry) DropConnections() { r.drop() }

// SetFaults makes calls fail, or every tell come twice.
func (r *Registry) SetFaults(fail, twice bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail, r.twice = fail, twice
}

// Set puts a line on the roster, or what is new of it, and tells those who watch. Gone takes it off.
func (r *Registry) Set(line control.NodeEntry, up time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e := entry{line, time.Now().Add(-up), r.version}
	if line.Health == balance.Gone {
		delete(r.lines, line.ID)
		r.gone[line.ID] = e
	} else {
		delete(r.gone, line.ID)
		r.lines[line.ID] = e
	}
	for l := range r.links {
		if l.watch {
			r.tell(l, false, r.version-1, r.version, []entry{e})
		}
	}
}

func (r *Registry) lag() time.Duration {
	if r.Delay == nil {
		return 0
	}
	return r.Delay()
}

// tell queues a list; r.mu is held.
func (r *Registry) tell(l *link, whole bool, from, version uint64, lines []entry) {
	times := 1
	if r.twice {
		times = 2
	}
	epoch := r.epoch
	var unlisted []entry // what a whole list tells by leaving it out
	for _, e := range r.gone {
		if whole {
			unlisted = append(unlisted, e)
		}
	}
	for range times {
		l.later(r.lag(), func() {
			kind := "changes"
			if whole {
				kind = "whole"
			}
			b := fmt.Appendf(nil, "LIST %s %d %d %d %d\r\n", kind, epoch, from, version, len(lines))
			for _, e := range lines {
				if e.UptimeMs != 0 {
					e.UptimeMs = max(1, float64(time.Since(e.begun))/float64(time.Millisecond))
				}
				b = append(control.AppendNode(b, e.NodeEntry), "\r\n"...)
			}
			for _, e := range append(lines, unlisted...) {
				if r.Record != nil {
					r.Record(&record.Seen{Kind: "told", AtUs: time.Now().UnixMicro(), Instance: int64(l.marshal), Node: e.ID,
						Ver: int64(e.Ver), Text: [...]string{"serving", "draining", "gone"}[e.Health]})
				}
			}
			l.nc.Write(b)
		})
	}
}

func (r *Registry) hear(l *link, line string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	words := strings.Fields(line)
	if len(words) == 0 {
		return fmt.Errorf("an empty line")
	}
	switch words[0] {
	case "HELLO":
		if len(words) == 2 {
			l.marshal, _ = strconv.Atoi(words[1])
		}
	case "FETCH":
		if r.fail {
			l.later(r.lag(), func() { l.PrintfLine("FAILED") })
			return nil
		}
		r.tell(l, true, 0, r.version, r.all(0))
	case "WATCH":
		if r.fail || len(words) != 3 {
			l.later(r.lag(), func() { l.PrintfLine("FAILED") })
			return nil
		}
		epoch, _ := strconv.ParseUint(words[1], 10, 64)
		version, _ := strconv.ParseUint(words[2], 10, 64)
		l.watch = true
		if epoch != r.epoch || version > r.version {
			r.tell(l, true, 0, r.version, r.all(0))
		} else {
			r.tell(l, false, version, r.version, r.all(version))
		}
	case "UNWATCH":
		l.watch = false
	default:
		return fmt.Errorf("unknown message %.20q", words[0])
	}
	return nil
}

// all gives the lines newer than a version, those gone among them but for the whole list.
func (r *Registry) all(after uint64) (lines []entry) {
	for _, e := range r.lines {
		if e.version > after {
			lines = append(lines, e)
		}
	}
	for _, e := range r.gone {
		if after > 0 && e.version > after {
			lines = append(lines, e)
		}
	}
	slices.SortFunc(lines, func(a, b entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return lines
}
