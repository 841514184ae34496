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

// BenchmarkCores measures decisions alone: complete invocations through the loops and modules of a running marshal,
// without sockets of clients or nodes. GOMAXPROCS is the number of cores.
func BenchmarkCores(b *testing.B) {
	for _, nodes := range []int{300, 3000} {
		for _, cores := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("nodes=%d/cores=%d", nodes, cores), func(b *testing.B) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
				m := startForBenchmark(b, cores, nodes, "127.0.0.1:1")
				defer m.End()
				p := m.pools[0]
				load := &closedLoopLoad{ended: make(chan struct{})}
				load.target.Store(1 << 62)
				for _, w := range p.workers {
					for range 2 { // invocations open at once per core
						c := &closedLoopClient{w: w, closedLoopLoad: load}
						w.loop.Post(c.send)
					}
				}
				time.Sleep(1500 * time.Millisecond) // until the modules have measured the rates
				before, _ := m.Snapshot()
				b.ReportAllocs()
				b.ResetTimer()
				load.target.Store(load.done.Load() + int64(b.N))
				<-load.ended
				b.StopTimer()
				if r, ok := m.Snapshot(); !ok || r.Succeeded-before.Succeeded < int64(b.N)*9/10 {
					b.Fatalf("%d of %d invocations succeeded", r.Succeeded-before.Succeeded, b.N)
				}
			})
		}
	}
}

// startForBenchmark starts a marshal that knows a number of nodes, all at one address.
func startForBenchmark(b *testing.B, cores, nodes int, address string) *Marshal {
	set, err := settings.Parse("bench", []byte(settingsText))
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
	m.pools[0].nodesListed(true, lines)
	m.pools[0].stageUpdate(1, 0, balance.Released, 1, 60000, false)
	return m
}

// BenchmarkSockets measures complete invocations from client to node and back over loopback. Clients, nodes and marshal
// share the processors. Its profile shows the cost of the marshal's socket handling.
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
			m := startForBenchmark(b, cores, 300, ln.Addr().String())
			defer m.End()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
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
					request, buf := []byte("GET /look HTTP/1.1\r\nHost: x\r\n\r\n"), make([]byte, 4096)
					for remaining.Add(-1) >= 0 {
						c.Write(request)
						if n, err := c.Read(buf); err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 ")) {
							b.Errorf("response %q, error %v", buf[:n], err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// closedLoopClient sends the next invocation as soon as one completes. Its nodes answer at once.
type closedLoopClient struct {
	*closedLoopLoad
	w  *worker
	id string
}

// closedLoopLoad counts completed invocations until a target is reached.
type closedLoopLoad struct {
	done, target atomic.Int64
	ended        chan struct{}
}

var _ marshal.Exchange = (*closedLoopClient)(nil)

func (c *closedLoopClient) send() {
	c.id = c.w.core.InvocationArrived(c, 0, 0, "", 500, 0, false, false)
}

func (c *closedLoopClient) Dispatch(no int, _ uint32, _ string, _ float64) {
	c.w.loop.Post(func() {
		c.w.core.DispatchEnded(c.id, no, balance.Succeeded, 5, true, nil)
		c.completed()
	})
}

func (c *closedLoopClient) completed() {
	n, target := c.done.Add(1), c.target.Load()
	if n == target {
		close(c.ended)
	}
	if n < target {
		c.w.loop.Post(c.send)
	}
}

func (c *closedLoopClient) Throttle(float64) { c.completed() }
func (c *closedLoopClient) Terminate()       { c.completed() }
func (c *closedLoopClient) Cancel(int)       {}
func (c *closedLoopClient) Discard()         {}
func (c *closedLoopClient) Abort()           {}
