package serve

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/settings"
)

// BenchmarkCores is what the decisions alone can do: whole invocations through loops, parts and modules of a running
// marshal, with neither clients nor nodes on sockets. GOMAXPROCS is the number of cores.
func BenchmarkCores(b *testing.B) {
	for _, nodes := range []int{300, 3000} {
		for _, cores := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("nodes=%d/cores=%d", nodes, cores), func(b *testing.B) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
				m := benched(b, cores, nodes, "127.0.0.1:1")
				defer m.End()
				g := m.groups[0]
				load := &calmLoad{ended: make(chan struct{})}
				load.upTo.Store(1 << 62)
				for _, l := range g.lanes {
					for range 2 { // that each core has open at once
						c := &calmClient{l: l, calmLoad: load}
						l.loop.Post(c.ask)
					}
				}
				time.Sleep(1500 * time.Millisecond) // until the modules know the pace of things
				before, _ := m.Look()
				b.ReportAllocs()
				b.ResetTimer()
				load.upTo.Store(load.done.Load() + int64(b.N))
				<-load.ended
				b.StopTimer()
				if r, ok := m.Look(); !ok || r.Succeeded-before.Succeeded < int64(b.N)*9/10 {
					b.Fatalf("%d of %d succeeded", r.Succeeded-before.Succeeded, b.N)
				}
			})
		}
	}
}

// benched is a marshal that knows as many nodes, at one address.
func benched(b *testing.B, cores, nodes int, address string) *Marshal {
	set, err := settings.Parse("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	set.Instance.Cores, set.Seed, set.Limits.Queue, set.Limits.IdlePerNode = uint32(cores), 7, 1000, 200
	m, err := Start(set, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})), Hooks{})
	if err != nil {
		b.Fatal(err)
	}
	var lines []control.NodeEntry
	for i := range nodes {
		lines = append(lines, control.NodeEntry{Node: balance.Node{ID: uint32(i + 1), Ver: 1, Size: 1}, Address: address})
	}
	m.groups[0].listed(true, lines)
	m.groups[0].staged(1, 0, balance.Released, 1, 60000, false)
	return m
}

// BenchmarkSockets is whole invocations from client to node and back, on loopback: clients, nodes and marshal share the
// processors. Its profile tells what the marshal's socket side costs.
func BenchmarkSockets(b *testing.B) {
	for _, cores := range []int{1, 4} {
		b.Run(fmt.Sprintf("cores=%d", cores), func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						buf, reply := make([]byte, 4096), []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						for {
							n, err := c.Read(buf)
							if err != nil {
								return
							}
							if bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
								c.Write(reply)
							}
						}
					}()
				}
			}()
			m := benched(b, cores, 300, ln.Addr().String())
			defer m.End()
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					c, err := net.Dial("tcp", m.Address())
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					ask, buf := []byte("GET /look HTTP/1.1\r\nHost: x\r\n\r\n"), make([]byte, 4096)
					for left.Add(-1) >= 0 {
						c.Write(ask)
						if n, err := c.Read(buf); err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 ")) {
							b.Errorf("%q %v", buf[:n], err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// calmClient asks anew as soon as it is answered; its nodes answer at once.
type calmClient struct {
	*calmLoad
	l  *lane
	id string
}

type calmLoad struct {
	done, upTo atomic.Int64
	ended      chan struct{}
}

var _ marshal.Exchange = (*calmClient)(nil)

func (c *calmClient) ask() {
	c.id = c.l.core.Arrived(c, 0, 0, "", 500, 0, false, false)
}

func (c *calmClient) Dispatch(no int, _ uint32, _ string, _ float64) {
	c.l.loop.Post(func() {
		c.l.core.Ended(c.id, no, balance.Succeeded, 5, true, nil)
		c.over()
	})
}

func (c *calmClient) over() {
	n, last := c.done.Add(1), c.upTo.Load()
	if n == last {
		close(c.ended)
	}
	if n < last {
		c.l.loop.Post(c.ask)
	}
}

func (c *calmClient) Throttle(float64) { c.over() }
func (c *calmClient) Terminate()       { c.over() }
func (c *calmClient) Cancel(int)       {}
func (c *calmClient) Let()             {}
func (c *calmClient) Abrupt()          {}
