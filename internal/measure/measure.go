// Package measure sets a marshal beside a plain reverse proxy and beside no proxy at all: the same nodes, the same
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

// Options is what is measured.
type Options struct {
	Binary  string // this program, started again as what is measured
	Dir     string
	Set     *settings.Settings
	Nodes   int
	Clients int           // connections that ask one invocation after the other
	Rate    float64       // invocations a second of the open loop
	For     time.Duration // of each of the two
	Idle    int           // connections whose memory is weighed
	Procs   int           // GOMAXPROCS of what is measured
}

// Row is what one way came to.
type Row struct {
	Way             string
	PerSecond       float64 // closed loop
	PerCore         float64 // invocations for each second of the way's CPU; 0 where it has none
	P50, P99, P999  float64 // ms from when an invocation was due, open loop
	Behind          int64   // invocations that the open loop sent over 1 ms late
	KiBPerConn      float64
	Busy, Load      float64 // processors that the way used in the closed loop, and that load and nodes did
	Failed          int64   // answers other than 200
	ClosedSuccesses int64
}

// Run measures each way in turn.
func Run(ctx context.Context, o Options) ([]Row, error) {
	nodes, err := startNodes(o.Nodes)
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	var rows []Row
	direct, err := o.row(ctx, "direct", nodes.addresses, nil)
	if err != nil {
		return nil, err
	}
	rows = append(rows, direct)
	for _, way := range ways {
		c, err := way.start(o, nodes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", way.name, err)
		}
		row, err := o.row(ctx, way.name, []string{c.address}, c)
		c.stop()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", way.name, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// ways are what is measured beside going direct.
var ways = []struct {
	name  string
	start func(Options, *fleet) (*child, error)
}{{"reverse proxy", startProxy}, {"marshal", startMarshal}}

// fleet are stand-ins that answer at once: what is measured is the way, not they.
type fleet struct {
	addresses []string
	lns       []net.Listener
}

func startNodes(count int) (*fleet, error) {
	n := &fleet{}
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			n.close()
			return nil, err
		}
		n.lns, n.addresses = append(n.lns, ln), append(n.addresses, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go answer(c)
			}
		}()
	}
	return n, nil
}

func (n *fleet) close() {
	for _, ln := range n.lns {
		ln.Close()
	}
}

var canned = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" + strings.Repeat("a", 64))

func answer(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			if _, err := c.Write(canned); err != nil {
				return
			}
		}
	}
}

const request = "GET /slots/1 HTTP/1.1\r\nHost: x\r\nUser-Agent: measure\r\nAccept: */*\r\n\r\n"

// ask sends an invocation on a connection and reads its answer.
func ask(c net.Conn, r *bufio.Reader) (ok bool, err error) {
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

func (o Options) row(ctx context.Context, name string, addresses []string, c *child) (Row, error) {
	row := Row{Way: name}
	if c != nil { // before the load, whose memory would be used again
		before := c.rss()
		conns, err := o.idle(addresses[0])
		row.KiBPerConn = (c.rss() - before) / float64(o.Idle)
		for _, c := range conns {
			c.Close()
		}
		if err != nil {
			return row, err
		}
	}
	return row, o.loops(ctx, addresses, c, &row)
}

// loops measures the closed loop and then the open one.
func (o Options) loops(ctx context.Context, addresses []string, c *child, row *Row) error {
	if err := o.closed(ctx, addresses, o.For/3, &Row{}); err != nil { // warm
		return err
	}
	begun, cpu, mine := time.Now(), c.cpu(), own()
	if err := o.closed(ctx, addresses, o.For, row); err != nil {
		return err
	}
	took, used := time.Since(begun).Seconds(), c.cpu()-cpu
	row.Busy, row.Load = used/took, (own()-mine)/took
	if used > 0 {
		row.PerCore = float64(row.ClosedSuccesses) / used
	}
	return o.open(ctx, addresses, row)
}

// closed has each client ask as soon as it is answered.
func (o Options) closed(ctx context.Context, addresses []string, length time.Duration, row *Row) error {
	var done, failed atomic.Int64
	begun := time.Now()
	err := connected(o.Clients, addresses, func(c net.Conn, r *bufio.Reader) error {
		for time.Since(begun) < length && ctx.Err() == nil {
			ok, err := ask(c, r)
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
	row.PerSecond = float64(done.Load()) / time.Since(begun).Seconds()
	return err
}

// connected runs as many clients at once, each on a connection of its own, and gives the first error.
func connected(clients int, addresses []string, each func(net.Conn, *bufio.Reader) error) error {
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

// open asks at a steady rate, whoever is answered; times count from when each was due.
func (o Options) open(ctx context.Context, addresses []string, row *Row) error {
	count := int(o.Rate * o.For.Seconds())
	due := make(chan time.Time, count)
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var behind atomic.Int64
	ended := make(chan error, 1)
	go func() {
		ended <- connected(64, addresses, func(c net.Conn, r *bufio.Reader) error {
			for at := range due {
				if time.Since(at) > time.Millisecond {
					behind.Add(1)
				}
				if _, err := ask(c, r); err != nil {
					return err
				}
				took := time.Since(at).Microseconds()
				mu.Lock()
				h.RecordValue(max(1, took))
				mu.Unlock()
			}
			return nil
		})
	}()
	begun := time.Now()
	for i := range count {
		at := begun.Add(time.Duration(float64(i) / o.Rate * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		due <- at
	}
	close(due)
	err := <-ended
	row.Behind = behind.Load()
	row.P50, row.P99, row.P999 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.ValueAtQuantile(99.9))/1000
	return err
}

// idle opens connections that have each asked once.
func (o Options) idle(address string) (conns []net.Conn, err error) {
	for range o.Idle {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if _, err := ask(c, bufio.NewReader(c)); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// child is what is measured, a process of its own.
type child struct {
	cmd     *exec.Cmd
	in      io.Closer
	address string
	roster  *standin.Registry
}

func (o Options) spawn(args ...string) (*child, error) {
	c := &child{cmd: exec.Command(o.Binary, args...)}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.Procs))
	c.cmd.Stderr = os.Stderr
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	c.in = in
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
		return nil, errors.New("it printed no address")
	}
	c.address = strings.TrimSpace(line)
	return c, nil
}

func (c *child) stop() {
	c.in.Close()
	c.cmd.Process.Signal(os.Interrupt)
	done := make(chan struct{})
	go func() { c.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		c.cmd.Process.Kill()
		<-done
	}
	if c.roster != nil {
		c.roster.Close()
	}
}

// cpu is the seconds of processor that the process has used; field 14 and 15 of proc(5)'s stat, in ticks of 10 ms.
func (c *child) cpu() float64 {
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

// rss is the memory that the process has resident, in KiB.
func (c *child) rss() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / 1024
}

func startProxy(o Options, n *fleet) (*child, error) {
	return o.spawn(append([]string{"measure", "proxy"}, n.addresses...)...)
}

func startMarshal(o Options, n *fleet) (*child, error) {
	r := &standin.Registry{}
	if err := r.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, a := range n.addresses {
		r.Set(control.NodeEntry{Node: balance.Node{ID: uint32(i + 1), Ver: 1, Size: 1}, Address: a}, 0)
	}
	set := o.Set.Copy()
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
	c.roster = r
	time.Sleep(300 * time.Millisecond) // until it has its list
	return c, nil
}

// Proxy serves as a plain reverse proxy with random choice until its input ends: net/http/httputil's own.
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
