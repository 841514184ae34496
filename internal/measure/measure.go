// Package measure compares a marshal with a plain reverse proxy and with direct connections. All get the same nodes and
// clients, one after the other in one run.
package measure

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// Options are the options of a measurement.
type Options struct {
	Binary       string // this program, which is started again as each target
	Dir          string // for the settings file of the marshal
	Settings     *settings.Settings
	Nodes        int
	Clients      int           // connections of the closed loop
	RatePerS     float64       // invocations per second of the open loop
	LoopDuration time.Duration // of each of the two loops
	IdleConns    int           // connections for the measurement of memory
	GoMaxProcs   int           // GOMAXPROCS of the target
}

// Result is what was measured of one target.
type Result struct {
	Target               string
	InvocationsPerS      float64 // closed loop
	InvocationsPerCPUS   float64 // invocations per CPU second of the target; 0 for direct connections
	P50Ms, P99Ms, P999Ms float64 // latency from the scheduled send time, open loop
	LateSends            int64   // invocations that the open loop sent over 1 ms late
	KiBPerConn           float64 // memory of the target per idle connection
	TargetCPUs, LoadCPUs float64 // processors used in the closed loop: by the target, and by clients and nodes
	Failed               int64   // closed loop: answers with a status other than 200
	ClosedSuccesses      int64   // closed loop: answers with status 200
}

// Run measures direct connections and then each target.
func Run(ctx context.Context, o Options) ([]Result, error) {
	nodes, err := startNodes(o.Nodes)
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	var rows []Result
	direct, err := o.measureTarget(ctx, "direct", nodes.addresses, nil)
	if err != nil {
		return nil, err
	}
	rows = append(rows, direct)
	for _, target := range targets {
		c, err := target.start(o, nodes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", target.name, err)
		}
		row, err := o.measureTarget(ctx, target.name, []string{c.address}, c)
		c.stop()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", target.name, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// targets are what is measured besides direct connections.
var targets = []struct {
	name  string
	start func(Options, *nodeSet) (*child, error)
}{{"reverse proxy", startProxy}, {"marshal", startMarshal}}

// nodeSet holds stand-in nodes that answer at once, so that the target is measured and not the nodes.
type nodeSet struct {
	addresses []string
	listeners []net.Listener
}

// startNodes starts the nodes, each on a port of its own.
func startNodes(count int) (*nodeSet, error) {
	n := &nodeSet{}
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			n.close()
			return nil, err
		}
		n.listeners, n.addresses = append(n.listeners, ln), append(n.addresses, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go serveCanned(c)
			}
		}()
	}
	return n, nil
}

func (n *nodeSet) close() {
	for _, ln := range n.listeners {
		ln.Close()
	}
}

// cannedResponse is the answer of all nodes.
var cannedResponse = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" + strings.Repeat("a", 64))

// serveCanned answers each request on a connection with cannedResponse.
func serveCanned(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			if _, err := c.Write(cannedResponse); err != nil {
				return
			}
		}
	}
}

// request is the invocation that all clients send.
const request = "GET /slots/1 HTTP/1.1\r\nHost: x\r\nUser-Agent: measure\r\nAccept: */*\r\n\r\n"

// exchange sends an invocation on a connection and reads its answer.
func exchange(c net.Conn, r *bufio.Reader) (ok bool, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == 200, err
}

// measureTarget measures one target: direct connections if c is nil, else the process c.
func (o Options) measureTarget(ctx context.Context, name string, addresses []string, c *child) (Result, error) {
	row := Result{Target: name}
	if c != nil { // before the load, since connections would reuse memory that the load has freed
		before := c.rssKiB()
		conns, err := o.openIdle(addresses[0])
		row.KiBPerConn = (c.rssKiB() - before) / float64(o.IdleConns)
		for _, c := range conns {
			c.Close()
		}
		if err != nil {
			return row, err
		}
	}
	return row, o.runLoops(ctx, addresses, c, &row)
}

// runLoops runs the closed loop, after a warm-up, and then the open loop.
func (o Options) runLoops(ctx context.Context, addresses []string, c *child, row *Result) error {
	if err := o.closedLoop(ctx, addresses, o.LoopDuration/3, &Result{}); err != nil { // warm-up
		return err
	}
	start, targetCPU, ownCPU := time.Now(), c.cpuSeconds(), ownCPUSeconds()
	if err := o.closedLoop(ctx, addresses, o.LoopDuration, row); err != nil {
		return err
	}
	elapsed, used := time.Since(start).Seconds(), c.cpuSeconds()-targetCPU
	row.TargetCPUs, row.LoadCPUs = used/elapsed, (ownCPUSeconds()-ownCPU)/elapsed
	if used > 0 {
		row.InvocationsPerCPUS = float64(row.ClosedSuccesses) / used
	}
	return o.openLoop(ctx, addresses, row)
}

// closedLoop runs clients that send the next invocation as soon as the last one is answered.
func (o Options) closedLoop(ctx context.Context, addresses []string, length time.Duration, row *Result) error {
	var done, failed atomic.Int64
	start := time.Now()
	err := runClients(o.Clients, addresses, func(c net.Conn, r *bufio.Reader) error {
		for time.Since(start) < length && ctx.Err() == nil {
			ok, err := exchange(c, r)
			if err != nil {
				return err
			}
			if ok {
				done.Add(1)
			} else {
				failed.Add(1)
			}
		}
		return nil
	})
	row.ClosedSuccesses, row.Failed = done.Load(), failed.Load()
	row.InvocationsPerS = float64(done.Load()) / time.Since(start).Seconds()
	return err
}

// runClients runs clients concurrently, each on a connection of its own, and returns the first error.
func runClients(clients int, addresses []string, each func(net.Conn, *bufio.Reader) error) error {
	var wg sync.WaitGroup
	errs := make(chan error, clients)
	for i := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", addresses[i%len(addresses)])
			if err == nil {
				err = each(c, bufio.NewReader(c))
				c.Close()
			}
			if err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// openLoop sends at a steady rate, independent of answers. Latencies count from the scheduled send times.
func (o Options) openLoop(ctx context.Context, addresses []string, row *Result) error {
	count := int(o.RatePerS * o.LoopDuration.Seconds())
	due := make(chan time.Time, count)
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var lateSends atomic.Int64
	ended := make(chan error, 1)
	go func() {
		ended <- runClients(64, addresses, func(c net.Conn, r *bufio.Reader) error {
			for dueAt := range due {
				if time.Since(dueAt) > time.Millisecond {
					lateSends.Add(1)
				}
				if _, err := exchange(c, r); err != nil {
					return err
				}
				latencyUs := time.Since(dueAt).Microseconds()
				mu.Lock()
				latencies.RecordValue(max(1, latencyUs))
				mu.Unlock()
			}
			return nil
		})
	}()
	start := time.Now()
	for i := range count {
		dueAt := start.Add(time.Duration(float64(i) / o.RatePerS * float64(time.Second)))
		if wait := time.Until(dueAt); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		due <- dueAt
	}
	close(due)
	err := <-ended
	row.LateSends = lateSends.Load()
	row.P50Ms, row.P99Ms, row.P999Ms = float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000,
		float64(latencies.ValueAtQuantile(99.9))/1000
	return err
}

// openIdle opens idle connections that have each sent one invocation.
func (o Options) openIdle(address string) (conns []net.Conn, err error) {
	for range o.IdleConns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if _, err := exchange(c, bufio.NewReader(c)); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// child is the process of a target.
type child struct {
	cmd      *exec.Cmd
	stdin    io.Closer
	address  string
	registry *standin.Registry
}

// spawn starts this program with the given arguments and waits until it prints its address.
func (o Options) spawn(args ...string) (*child, error) {
	c := &child{cmd: exec.Command(o.Binary, args...)}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.GoMaxProcs))
	c.cmd.Stderr = os.Stderr
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	c.stdin = in
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		c.stop()
		return nil, errors.New("process printed no address")
	}
	c.address = strings.TrimSpace(line)
	return c, nil
}

// stop ends the process, after 3 s by a kill.
func (c *child) stop() {
	c.stdin.Close()
	c.cmd.Process.Signal(os.Interrupt)
	done := make(chan struct{})
	go func() { c.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		c.cmd.Process.Kill()
		<-done
	}
	if c.registry != nil {
		c.registry.Close()
	}
}

// cpuSeconds returns the CPU time that the process has used: fields 14 and 15 of stat, see proc(5), in ticks of 10 ms.
func (c *child) cpuSeconds() float64 {
	if c == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

// rssKiB returns the resident memory of the process.
func (c *child) rssKiB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / 1024
}

// startProxy starts the reverse proxy.
func startProxy(o Options, n *nodeSet) (*child, error) {
	return o.spawn(append([]string{"measure", "proxy"}, n.addresses...)...)
}

// startMarshal starts a marshal, and a service registry that lists the nodes.
func startMarshal(o Options, n *nodeSet) (*child, error) {
	r := &standin.Registry{}
	if err := r.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, a := range n.addresses {
		r.Set(control.NodeEntry{Node: balance.Node{ID: uint32(i + 1), Ver: 1, Size: 1}, Address: a}, 0)
	}
	set := o.Settings.Copy()
	set.Roster.Address, set.Conveyor.Address, set.Instance.Marshals = r.Address(), "", 1
	set.Log.Level = "error"
	file := filepath.Join(o.Dir, "marshal.txtpb")
	if err := os.WriteFile(file, set.Text(), 0o644); err != nil {
		return nil, err
	}
	c, err := o.spawn("serve", "--config", file)
	if err != nil {
		r.Close()
		return nil, err
	}
	c.registry = r
	time.Sleep(300 * time.Millisecond) // until it has received the node list
	return c, nil
}

// Proxy runs net/http/httputil's reverse proxy with a random node for each request. It prints its address on out and
// stops at the end of in.
func Proxy(addresses []string, in io.Reader, out io.Writer) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: addresses[rand.IntN(len(addresses))]})
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 1 << 16, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	fmt.Fprintln(out, ln.Addr())
	s := &http.Server{Handler: proxy, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { io.Copy(io.Discard, in); s.Close() }()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
