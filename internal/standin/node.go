// Package standin has small stand-ins for the services around a marshal: nodes, the service registry, the rollout
// service, and the platform's discovery and release API. They record what passes on their sockets and inject faults on
// command.
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

// Header fields between stand-in clients and nodes; a marshal forwards them like any other.
const (
	InvHeader        = "X-Inv"         // the id of the invocation, in requests and answers
	OpHeader         = "X-Op"          // the number of the operation
	KeyHeader        = "X-Key"         // the key of the invocation
	WorkHeader       = "X-Work-Ms"     // the work, 1 ms if it is missing
	NotStartedHeader = "X-Not-Started" // in rejections: the work did not begin
	BadRequestHeader = "X-Bad"         // nodes answer with an error, without work
	WrongValue       = "wrong"         // of the field X-Answer: the answer is wrong
)

// Node is a stand-in node. Its cores work off a queue. It is slower while it warms up, and too much work in that time
// overloads it, and it never answers again.
type Node struct {
	ID             uint32
	Ver            int
	Zone           int
	Cores          int
	Speed          float64 // ms of work that a core does in a ms once it is warm
	Queue          int     // dispatches that may wait; more are rejected
	ColdShare      float64 // of Speed that it has at the start
	WarmUp         time.Duration
	OverloadFactor float64 // more than this many times its capacity overloads it while it warms up
	OverloadWindow time.Duration
	Seed           uint64
	Record         func(*record.Seen) // of what passes; nil for none
	BuildFault     Fault

	started time.Time
	ln      *listener
	server  *http.Server
	cores   chan struct{} // holds an element for each busy core

	mu             sync.Mutex
	rnd            *rand.Rand
	machineFault   Fault // on command
	waiting        int   // dispatches without a core
	held           int   // dispatches that wait or run
	warmUpArrivals []arrival
	overloaded     bool
	dead           bool
	serviceMs      float64       // moving average of the service times
	served         []time.Time   // within the last second
	hangEnded      chan struct{} // closed when a hang ends
	recent         map[string]time.Time
	stats          map[int]*OperationStats // by operation
}

// OperationStats counts the answers of one operation.
type OperationStats struct {
	Samples, Errors int
	TotalMs         float64 // service times, added up
}

// arrival is work that reached a node while it warmed up.
type arrival struct {
	at     time.Time
	workMs float64
}

// Fault describes how a machine or a build misbehaves. The zero Fault is none.
type Fault struct {
	ErrorShare    float64       // of the answers that are errors; those of a machine come at once
	ErrorOp       int           // the operation, counted from 1, that a build has errors of; 0 for all
	WrongShare    float64       // of the answers that are wrong
	WorkFactor    float64       // multiplies the work; 0 leaves it
	After         time.Duration // since the node's start, before which a build has no fault
	BusyOver      float64       // share of busy cores up to which a build has no fault
	Hang          bool          // does not answer
	Drain         bool          // rejects all work
	PauseLength   time.Duration
	PauseInterval time.Duration // from the start of a pause to that of the next
	Links         []LinkFault
	ConnectDelay  time.Duration // before anything is read from a new connection
	MaxConns      int           // 0 for any number
	CutAt         string        // where answers end early: "head", "body", "chunk", "before"; empty for never
}

// LinkFault describes the network between some marshals and a node.
type LinkFault struct {
	Marshals map[int]bool  // their numbers
	Delay    time.Duration // in each direction
	Loss     float64       // share of the dispatches that are lost
}

// Start listens and serves; port 0 in the address selects a free one.
func (n *Node) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.started, n.cores = time.Now(), make(chan struct{}, n.Cores)
	n.rnd = rand.New(rand.NewPCG(n.Seed, uint64(n.ID)))
	n.hangEnded, n.recent, n.stats = make(chan struct{}), map[string]time.Time{}, map[int]*OperationStats{}
	n.ln = &listener{Listener: ln, n: n, conns: map[net.Conn]bool{}}
	n.server = &http.Server{Handler: n, ErrorLog: log.New(io.Discard, "", 0)}
	n.recordSeen(&record.Seen{Kind: "begins"})
	go n.server.Serve(n.ln)
	return nil
}

// Address returns the address that the node listens at.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Uptime returns the time since the node's start.
func (n *Node) Uptime() time.Duration { return time.Since(n.started) }

// Kill ends the node like a killed process: its connections are reset.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	n.mu.Unlock()
	n.recordSeen(&record.Seen{Kind: "dies"})
	n.ln.resetAll()
	n.server.Close()
}

// Do executes one command line, which sets or ends a fault of the machine.
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
	f := &n.machineFault
	switch words[0] {
	case "well":
		if f.Hang {
			close(n.hangEnded)
			n.hangEnded = make(chan struct{})
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
		n.ln.closeExcess(f.MaxConns)
	case "cut":
		f.CutAt = strings.Join(words[1:], " ")
	case "link": // link MS LOSS MARSHAL...
		l := LinkFault{Marshals: map[int]bool{}, Delay: millis(arg(1)), Loss: arg(2)}
		for i := 3; i < len(words); i++ {
			l.Marshals[int(arg(i))] = true
		}
		f.Links = append(f.Links, l)
	default:
		return fmt.Errorf("node: unknown command %.20q", words[0])
	}
	return nil
}

// recordSeen records an observation of this node, if it has a recorder.
func (n *Node) recordSeen(s *record.Seen) {
	if n.Record == nil {
		return
	}
	s.AtUs, s.Node, s.Ver, s.Zone = time.Now().UnixMicro(), n.ID, int64(n.Ver), int64(n.Zone)
	n.Record(s)
}

// capacity returns the ms of work that the node can do now in a ms.
func (n *Node) capacity() float64 {
	warmShare := 1.0
	if uptime := time.Since(n.started); n.WarmUp > 0 && uptime < n.WarmUp {
		warmShare = n.ColdShare + (1-n.ColdShare)*float64(uptime)/float64(n.WarmUp)
	}
	return warmShare * n.Speed * float64(n.Cores)
}

// marshalOf returns the number of the marshal that forwarded a request: the last one in Via. It returns -1 if there is
// none.
func marshalOf(r *http.Request) int64 {
	via := r.Header.Get("Via")
	if i := strings.LastIndex(via, "marshal-"); i >= 0 {
		if v, err := strconv.ParseInt(via[i+len("marshal-"):], 10, 64); err == nil {
			return v
		}
	}
	return -1
}

// ServeHTTP serves one dispatch, or a health check.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		n.setLoadReport(w)
		return
	}
	op, _ := strconv.Atoi(r.Header.Get(OpHeader))
	workMs, err := strconv.ParseFloat(r.Header.Get(WorkHeader), 64)
	if err != nil {
		workMs = 1
	}
	marshal := marshalOf(r)
	recordSeen := func(kind, text string) {
		n.recordSeen(&record.Seen{Kind: kind, Inv: r.Header.Get(InvHeader), Instance: marshal, Op: int64(op),
			Key: r.Header.Get(KeyHeader), Text: text})
	}
	recordSeen("got", "")
	// stopWatch ends the watch for a lost connection. It returns false if the connection was lost before, and recorded
	// as that.
	stopWatch := context.AfterFunc(r.Context(), func() { recordSeen("cut", "connection gone") })
	delay, lost := n.linkFaults(int(marshal))
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), delay)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		if stopWatch() {
			recordSeen("cut", "body broken off")
		}
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	if r.Header.Get(BadRequestHeader) != "" { // an error on every node, without work
		if stopWatch() {
			recordSeen("done", "500")
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	status, wrong, cutAt, ok := n.work(r.Context(), op, workMs)
	sleep(r.Context(), delay)
	if !ok {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		if stopWatch() {
			recordSeen("away", "")
		}
		w.Header().Set(NotStartedHeader, "1")
		w.WriteHeader(status)
		return
	}
	n.count(op, status, time.Since(start))
	w.Header().Set(InvHeader, r.Header.Get(InvHeader))
	w.Header().Set("X-Node", strconv.Itoa(int(n.ID)))
	n.setLoadReport(w)
	if wrong {
		w.Header().Set("X-Answer", WrongValue)
	}
	body := "node " + strconv.Itoa(int(n.ID)) + " did " + r.Header.Get(InvHeader) + "\n"
	if cutAt != "" {
		if stopWatch() {
			recordSeen("cut", cutAt)
		}
		if r.Method == http.MethodHead { // the head alone would be a complete answer
			cutAt = "before"
		}
		n.cutAnswer(w, cutAt, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if stopWatch() { // recorded before it is sent: the marshal may dispatch again as soon as it has read the answer
		recordSeen("done", strconv.Itoa(status))
	}
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// linkFaults returns the delay of a dispatch from a marshal, and whether it is lost.
func (n *Node) linkFaults(marshal int) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.machineFault.Links {
		if l.Marshals[marshal] {
			delay += l.Delay
			lost = lost || n.rnd.Float64() < l.Loss
		}
	}
	return delay, lost
}

// cutAnswer writes the part of an answer before the cut, and closes the connection.
func (n *Node) cutAnswer(w http.ResponseWriter, where, body string) {
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

// sleep waits for a time; it returns false if the context ends before.
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

// work waits for a core and uses it. If ok is false, the dispatch was rejected before it began if there is a status,
// else its connection ended first.
func (n *Node) work(ctx context.Context, op int, workMs float64) (status int, wrong bool, cutAt string, ok bool) {
	n.mu.Lock()
	n.checkOverload(workMs)
	f, b := n.machineFault, n.BuildFault
	if b.After > 0 && time.Since(n.started) < b.After || b.BusyOver > 0 && float64(len(n.cores)) <= b.BusyOver*float64(n.Cores) {
		b = Fault{}
	}
	fails := n.rnd.Float64() < f.ErrorShare || (b.ErrorOp == 0 || b.ErrorOp == op+1) && n.rnd.Float64() < b.ErrorShare
	wrong = n.rnd.Float64() < b.WrongShare
	hangEnded, overloaded, rejected := n.hangEnded, n.overloaded, f.Drain || n.waiting >= n.Queue
	if rejected && !overloaded && !f.Hang {
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
	stopWaiting := func() {
		n.mu.Lock()
		n.waiting--
		n.mu.Unlock()
	}
	if overloaded || f.Hang {
		select {
		case <-ctx.Done():
			stopWaiting()
			return 0, false, "", false
		case <-hangEnded:
			if overloaded {
				<-ctx.Done()
				stopWaiting()
				return 0, false, "", false
			}
		}
	}
	if fails && f.ErrorShare > 0 {
		stopWaiting()
		sleep(ctx, time.Millisecond)
		return http.StatusInternalServerError, false, "", true
	}
	select {
	case n.cores <- struct{}{}:
		stopWaiting()
	case <-ctx.Done(): // canceled work that still waits is dropped
		stopWaiting()
		return 0, false, "", false
	}
	defer func() { <-n.cores }()
	n.mu.Lock()
	warmShare := n.capacity() / (n.Speed * float64(n.Cores))
	n.mu.Unlock()
	tookMs := workMs / n.Speed / warmShare
	for _, factor := range []float64{f.WorkFactor, b.WorkFactor} {
		if factor > 0 {
			tookMs *= factor
		}
	}
	// Running work is finished even if its connection ends.
	sleep(context.Background(), time.Duration(tookMs*float64(time.Millisecond))+n.pauseLeft(f))
	n.mu.Lock()
	n.serviceMs += (tookMs - n.serviceMs) * 0.1
	n.served = append(n.served, time.Now())
	n.mu.Unlock()
	if fails {
		return http.StatusInternalServerError, false, "", true
	}
	return http.StatusOK, wrong, f.CutAt, true
}

// pauseLeft returns the rest of the machine's current pause, 0 between pauses.
func (n *Node) pauseLeft(f Fault) time.Duration {
	if f.PauseInterval <= 0 {
		return 0
	}
	sinceStart := time.Since(n.started) % f.PauseInterval
	return max(0, f.PauseLength-sinceStart)
}

// checkOverload counts work that arrives while the node warms up; too much of it within OverloadWindow overloads the
// node.
func (n *Node) checkOverload(workMs float64) {
	now := time.Now()
	if n.WarmUp <= 0 || n.OverloadFactor <= 0 || now.Sub(n.started) > n.WarmUp || n.overloaded {
		n.warmUpArrivals = nil
		return
	}
	n.warmUpArrivals = append(n.warmUpArrivals, arrival{now, workMs})
	sumMs := 0.0
	for len(n.warmUpArrivals) > 0 && now.Sub(n.warmUpArrivals[0].at) > n.OverloadWindow {
		n.warmUpArrivals = n.warmUpArrivals[1:]
	}
	for _, a := range n.warmUpArrivals {
		sumMs += a.workMs
	}
	windowMs := float64(n.OverloadWindow) / float64(time.Millisecond)
	if slackMs := 3 * workMs; sumMs > n.OverloadFactor*n.capacity()*windowMs+slackMs {
		n.overloaded = true
		n.recordSeen(&record.Seen{Kind: "fell", Text: fmt.Sprintf("%.0f ms of work in %.0f ms", sumMs, windowMs)})
	}
}

// setLoadReport sets the header field with the node's load, in ORCA's text form.
func (n *Node) setLoadReport(w http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for len(n.served) > 0 && now.Sub(n.served[0]) > time.Second {
		n.served = n.served[1:]
	}
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf(
		"TEXT cpu_utilization=%.3f, rps_fractional=%d, named_metrics.service_ms=%.3f, named_metrics.held=%d, named_metrics.waiting=%d",
		float64(len(n.cores))/float64(n.Cores), len(n.served), n.serviceMs, n.held, n.waiting))
}

// count adds an answer to the statistics of its operation.
func (n *Node) count(op, status int, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats[op]
	if s == nil {
		s = &OperationStats{}
		n.stats[op] = s
	}
	s.Samples++
	if status >= 500 {
		s.Errors++
	}
	s.TotalMs += float64(took) / float64(time.Millisecond)
}

// TakeStats returns the statistics by operation since the last call.
func (n *Node) TakeStats() map[int]*OperationStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	stats := n.stats
	n.stats = map[int]*OperationStats{}
	return stats
}

// Overloaded reports whether the node was overloaded while it warmed up.
func (n *Node) Overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overloaded
}

// ReadCommands executes command lines until the input ends, then kills the node, so that it never outlives the process
// that started it.
func (n *Node) ReadCommands(in io.Reader) error {
	defer n.Kill()
	return ForEachLine(in, n.Do)
}

// listener delays, limits and resets connections.
type listener struct {
	net.Listener
	n     *Node
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// trackedConn is a connection that its listener can reset. Its reads may be delayed.
type trackedConn struct {
	net.Conn
	l         *listener
	readAfter time.Time // no byte is read before
}

func (c *trackedConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readAfter); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

func (c *trackedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c.Conn)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.n.mu.Lock()
		delay, maxConns := l.n.machineFault.ConnectDelay, l.n.machineFault.MaxConns
		l.n.mu.Unlock()
		l.mu.Lock()
		full := maxConns > 0 && len(l.conns) >= maxConns
		if !full {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if full {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		return &trackedConn{c, l, time.Now().Add(delay)}, nil
	}
}

// resetAll closes the listener and resets every connection, as happens when a process is killed.
func (l *listener) resetAll() {
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

// closeExcess closes connections beyond a number; 0 closes none.
func (l *listener) closeExcess(maxConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := len(l.conns) - maxConns
	for c := range l.conns {
		if maxConns <= 0 || excess <= 0 {
			return
		}
		c.Close()
		excess--
	}
}
