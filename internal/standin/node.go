// Package standin has small stand-ins for what a marshal works among: nodes, the roster and the conveyor. They
// write down what passes on their sockets, and take trouble on command.
package standin

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/internal/record"
)

// Headers that stand-in clients and nodes use among themselves; a marshal passes them on like any other.
const (
	InvHeader        = "X-Inv"
	OpHeader         = "X-Op"
	KeyHeader        = "X-Key"
	WorkHeader       = "X-Work-Ms"
	NotStartedHeader = "X-Not-Started"
	BadRequestHeader = "X-Bad"
	WrongValue       = "wrong"
)

// Node is a stand-in node: cores that work off a queue, cold at the start, that falls over when it is pushed.
type Node struct {
	ID             uint32
	Ver            int
	Zone           int
	Cores          int
	Speed          float64 // work ms done in a ms by a warm core
	Queue          int     // work that may wait; more is turned away
	ColdShare      float64 // part of its speed at the start
	WarmUp         time.Duration
	OverloadFactor float64 // pushed over by more than this many times its capacity
	OverloadWindow time.Duration
	Seed           uint64
	Record         func(*record.Seen) // what passed; nil for nothing
	BuildFault     Fault              // of its build

	begun  time.Time
	ln     *listener
	server *http.Server
	cores  chan struct{}

	mu      sync.Mutex
	rnd     *rand.Rand
	fault   Fault // of the machine, on command
	waiting int
	held    int
	pushed  []push
	fell    bool
	dead    bool
	took    float64 // service time, fading
	served  []time.Time
	hung    chan struct{} // closed when a hang ends
	recent  map[string]time.Time
	counts  map[int]*OperationStats
}

// OperationStats is what a node counted of one operation.
type OperationStats struct {
	Samples, Errors int
	TotalMs         float64
}

type push struct {
	at   time.Time
	work float64
}

// Fault is a trouble of a machine or a build. The zero Fault is none.
type Fault struct {
	ErrorShare    float64 // share that fails quickly
	ErrorOp       int     // only of this operation, counted from 1; 0 for all
	WrongShare    float64 // share answered wrongly
	WorkFactor    float64 // times the work, 0 for once
	After         time.Duration
	BusyOver      float64 // only while more than this share of the cores is busy
	Hang          bool
	Drain         bool // turns all work away
	PauseLength   time.Duration
	PauseInterval time.Duration // between pauses
	Links         []LinkFault
	ConnectDelay  time.Duration // that each new connection waits
	MaxConns      int           // most connections, 0 for any number
	CutAt         string        // breaks answers: "head", "body", "before"
}

// LinkFault is what the way from the marshals of one zone is like.
type LinkFault struct {
	Marshals map[int]bool
	Delay    time.Duration
	Loss     float64
}

// Start listens and serves; address may have port 0.
func (n *Node) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.begun, n.cores = time.Now(), make(chan struct{}, n.Cores)
	n.rnd = rand.New(rand.NewPCG(n.Seed, uint64(n.ID)))
	n.hung, n.recent, n.counts = make(chan struct{}), map[string]time.Time{}, map[int]*OperationStats{}
	n.ln = &listener{Listener: ln, n: n, conns: map[net.Conn]bool{}}
	n.server = &http.Server{Handler: n, ErrorLog: log.New(io.Discard, "", 0)}
	n.see(&record.Seen{Kind: "begins"})
	go n.server.Serve(n.ln)
	return nil
}

// Address is where it listens.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Uptime is how long it has run.
func (n *Node) Uptime() time.Duration { return time.Since(n.begun) }

// Kill ends it like a killed process: connections are reset.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	n.mu.Unlock()
	n.see(&record.Seen{Kind: "dies"})
	n.ln.reset()
	n.server.Close()
}

// Do carries out one command line: see the page of operators of stand-ins.
func (n *Node) Do(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	arg := func(i int) float64 {
		if i >= len(words) {
			return 0
		}
		v, _ := strconv.ParseFloat(words[i], 64)
		return v
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f := &n.fault
	switch words[0] {
	case "well":
		if f.Hang {
			close(n.hung)
			n.hung = make(chan struct{})
		}
		*f = Fault{}
	case "errors":
		f.ErrorShare = arg(1)
	case "slow":
		f.WorkFactor = arg(1)
	case "hang":
		f.Hang = true
	case "drain":
		f.Drain = true
	case "pause":
		f.PauseLength, f.PauseInterval = millis(arg(1)), millis(arg(2))
	case "dial":
		f.ConnectDelay = millis(arg(1))
	case "conns":
		f.MaxConns = int(arg(1))
		n.ln.squeeze(f.MaxConns)
	case "cut":
		f.CutAt = strings.Join(words[1:], " ")
	case "link": // link MS LOSS MARSHAL...
		l := LinkFault{Marshals: map[int]bool{}, Delay: millis(arg(1)), Loss: arg(2)}
		for i := 3; i < len(words); i++ {
			l.Marshals[int(arg(i))] = true
		}
		f.Links = append(f.Links, l)
	default:
		return fmt.Errorf("node: no command is called %.20q", words[0])
	}
	return nil
}

func (n *Node) see(s *record.Seen) {
	if n.Record == nil {
		return
	}
	s.AtUs, s.Node, s.Ver, s.Zone = time.Now().UnixMicro(), n.ID, int64(n.Ver), int64(n.Zone)
	n.Record(s)
}

// capacity is the work a ms that it can do now.
func (n *Node) capacity() float64 {
	part := 1.0
	if up := time.Since(n.begun); n.WarmUp > 0 && up < n.WarmUp {
		part = n.ColdShare + (1-n.ColdShare)*float64(up)/float64(n.WarmUp)
	}
	return part * n.Speed * float64(n.Cores)
}

// marshalOf finds the marshal that passed a request on: the last one in Via.
func marshalOf(r *http.Request) int64 {
	via := r.Header.Get("Via")
	if i := strings.LastIndex(via, "marshal-"); i >= 0 {
		if v, err := strconv.ParseInt(via[i+len("marshal-"):], 10, 64); err == nil {
			return v
		}
	}
	return -1
}

// ServeHTTP does the work of one dispatch.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		n.report(w)
		return
	}
	op, _ := strconv.Atoi(r.Header.Get(OpHeader))
	work, err := strconv.ParseFloat(r.Header.Get(WorkHeader), 64)
	if err != nil {
		work = 1
	}
	from := marshalOf(r)
	seen := func(kind, text string) {
		n.see(&record.Seen{Kind: kind, Inv: r.Header.Get(InvHeader), Instance: from, Op: int64(op),
			Key: r.Header.Get(KeyHeader), Text: text})
	}
	seen("got", "")
	over := context.AfterFunc(r.Context(), func() { seen("cut", "connection gone") })
	delay, lost := n.way(int(from))
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), delay)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		if over() {
			seen("cut", "body broken off")
		}
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	if r.Header.Get(BadRequestHeader) != "" { // worthless: an error anywhere, and no work
		if over() {
			seen("done", "500")
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	status, wrong, cut, ok := n.work(r.Context(), op, work)
	sleep(r.Context(), delay)
	if !ok {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		if over() {
			seen("away", "")
		}
		w.Header().Set(NotStartedHeader, "1")
		w.WriteHeader(status)
		return
	}
	n.count(op, status, time.Since(start))
	w.Header().Set(InvHeader, r.Header.Get(InvHeader))
	w.Header().Set("X-Node", strconv.Itoa(int(n.ID)))
	n.report(w)
	if wrong {
		w.Header().Set("X-Answer", WrongValue)
	}
	body := "node " + strconv.Itoa(int(n.ID)) + " did " + r.Header.Get(InvHeader) + "\n"
	if cut != "" {
		if over() {
			seen("cut", cut)
		}
		if r.Method == http.MethodHead { // its head would be a whole answer
			cut = "before"
		}
		n.breakOff(w, cut, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if over() { // written down before it is sent: the marshal may send again as soon as it has read it
		seen("done", strconv.Itoa(status))
	}
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// way is what the way from a marshal is like now.
func (n *Node) way(marshal int) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.fault.Links {
		if l.Marshals[marshal] {
			delay += l.Delay
			lost = lost || n.rnd.Float64() < l.Loss
		}
	}
	return delay, lost
}

// breakOff dies in the middle of an answer.
func (n *Node) breakOff(w http.ResponseWriter, where, body string) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, b, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch where {
	case "head":
		b.WriteString("HTTP/1.1 200 OK\r\nContent-Le")
	case "body":
		fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	case "chunk":
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal")
	}
	b.Flush()
	c.Close()
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// work waits for a core and uses it. ok false with a status: turned away before it began; without: broken off.
func (n *Node) work(ctx context.Context, op int, work float64) (status int, wrong bool, cut string, ok bool) {
	n.mu.Lock()
	n.push(work)
	f, b := n.fault, n.BuildFault
	if b.After > 0 && time.Since(n.begun) < b.After || b.BusyOver > 0 && float64(len(n.cores)) <= b.BusyOver*float64(n.Cores) {
		b = Fault{}
	}
	fails := n.rnd.Float64() < f.ErrorShare || (b.ErrorOp == 0 || b.ErrorOp == op+1) && n.rnd.Float64() < b.ErrorShare
	wrong = n.rnd.Float64() < b.WrongShare
	hung, fell, away := n.hung, n.fell, f.Drain || n.waiting >= n.Queue
	if away && !fell && !f.Hang {
		n.mu.Unlock()
		return http.StatusServiceUnavailable, false, "", false
	}
	n.waiting++
	n.held++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.held--
		n.mu.Unlock()
	}()
	leave := func() {
		n.mu.Lock()
		n.waiting--
		n.mu.Unlock()
	}
	if fell || f.Hang {
		select {
		case <-ctx.Done():
			leave()
			return 0, false, "", false
		case <-hung:
			if fell {
				<-ctx.Done()
				leave()
				return 0, false, "", false
			}
		}
	}
	if fails && f.ErrorShare > 0 {
		leave()
		sleep(ctx, time.Millisecond)
		return http.StatusInternalServerError, false, "", true
	}
	select {
	case n.cores <- struct{}{}:
		leave()
	case <-ctx.Done(): // waiting work is dropped when it is cancelled
		leave()
		return 0, false, "", false
	}
	defer func() { <-n.cores }()
	n.mu.Lock()
	part := n.capacity() / (n.Speed * float64(n.Cores))
	n.mu.Unlock()
	took := work / n.Speed / part
	for _, times := range []float64{f.WorkFactor, b.WorkFactor} {
		if times > 0 {
			took *= times
		}
	}
	// Running work goes on whatever becomes of its client.
	sleep(context.Background(), time.Duration(took*float64(time.Millisecond))+n.pause(f))
	n.mu.Lock()
	n.took += (took - n.took) * 0.1
	n.served = append(n.served, time.Now())
	n.mu.Unlock()
	if fails {
		return http.StatusInternalServerError, false, "", true
	}
	return http.StatusOK, wrong, f.CutAt, true
}

// pause is how long a machine that pauses now and then still stands still.
func (n *Node) pause(f Fault) time.Duration {
	if f.PauseInterval <= 0 {
		return 0
	}
	into := time.Since(n.begun) % f.PauseInterval
	return max(0, f.PauseLength-into)
}

// push counts work that reaches a cold node; too much of it pushes the node over.
func (n *Node) push(work float64) {
	now := time.Now()
	if n.WarmUp <= 0 || n.OverloadFactor <= 0 || now.Sub(n.begun) > n.WarmUp || n.fell {
		n.pushed = nil
		return
	}
	n.pushed = append(n.pushed, push{now, work})
	sum := 0.0
	for len(n.pushed) > 0 && now.Sub(n.pushed[0].at) > n.OverloadWindow {
		n.pushed = n.pushed[1:]
	}
	for _, p := range n.pushed {
		sum += p.work
	}
	window := float64(n.OverloadWindow) / float64(time.Millisecond)
	if slack := 3 * work; sum > n.OverloadFactor*n.capacity()*window+slack {
		n.fell = true
		n.see(&record.Seen{Kind: "fell", Text: fmt.Sprintf("%.0f ms of work in %.0f ms", sum, window)})
	}
}

// report tells the load in ORCA's text form.
func (n *Node) report(w http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for len(n.served) > 0 && now.Sub(n.served[0]) > time.Second {
		n.served = n.served[1:]
	}
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf(
		"TEXT cpu_utilization=%.3f, rps_fractional=%d, named_metrics.service_ms=%.3f, named_metrics.held=%d, named_metrics.waiting=%d",
		float64(len(n.cores))/float64(n.Cores), len(n.served), n.took, n.held, n.waiting))
}

func (n *Node) count(op, status int, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[op]
	if c == nil {
		c = &OperationStats{}
		n.counts[op] = c
	}
	c.Samples++
	if status >= 500 {
		c.Errors++
	}
	c.TotalMs += float64(took) / float64(time.Millisecond)
}

// TakeStats hands out what was counted since the last time.
func (n *Node) TakeStats() map[int]*OperationStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts
	n.counts = map[int]*OperationStats{}
	return c
}

// Overloaded says that it was pushed over.
func (n *Node) Overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fell
}

// ReadCommands reads command lines until the input ends, then kills the node: so it never outlives who started it.
func (n *Node) ReadCommands(in io.Reader) error {
	defer n.Kill()
	return ForEachLine(in, n.Do)
}

// listener delays, bounds and resets connections.
type listener struct {
	net.Listener
	n     *Node
	mu    sync.Mutex
	conns map[net.Conn]bool
}

type tracked struct {
	net.Conn
	l     *listener
	begin time.Time // no byte is read before
}

func (t *tracked) Read(p []byte) (int, error) {
	if wait := time.Until(t.begin); wait > 0 {
		time.Sleep(wait)
	}
	return t.Conn.Read(p)
}

func (t *tracked) Close() error {
	t.l.mu.Lock()
	delete(t.l.conns, t.Conn)
	t.l.mu.Unlock()
	return t.Conn.Close()
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.n.mu.Lock()
		dial, most := l.n.fault.ConnectDelay, l.n.fault.MaxConns
		l.n.mu.Unlock()
		l.mu.Lock()
		full := most > 0 && len(l.conns) >= most
		if !full {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if full {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		return &tracked{c, l, time.Now().Add(dial)}, nil
	}
}

// reset breaks every connection, as the death of a process does.
func (l *listener) reset() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// squeeze closes connections beyond a number.
func (l *listener) squeeze(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := len(l.conns) - most
	for c := range l.conns {
		if most <= 0 || over <= 0 {
			return
		}
		c.Close()
		over--
	}
}
