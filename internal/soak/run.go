package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/audit"
	"arrowcleat/internal/record"
	"arrowcleat/internal/schedlag"
	"arrowcleat/internal/standin"
)

// seenLate is how much later than it happened something may be seen here, as the auditor allows.
const seenLate = 100 * time.Millisecond

// Options are how a run is played.
type Options struct {
	Plan    *Plan
	Program []string // the marshal's program and its arguments
	Env     []string // beside the test's own
	Dir     string   // for logs and configurations
}

// Outcome is what a run found.
type Outcome struct {
	*audit.Report
	Seed   uint64
	Faults []string      // what the audit does not see: starts, ends, what is left over, strangers
	HeldUp time.Duration // the longest that this process itself was
}

// Clean says that nothing was found.
func (o *Outcome) Clean() bool { return o.Report.Clean() && len(o.Faults) == 0 }

// Print writes a line for the run, and one for each finding.
func (o *Outcome) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d taken, %d succeeded, %d throttled, %d terminated, %d left, %d not taken; %d unanswered, broken %v, held up %v\n",
		o.Seed, o.Invocations, o.Succeeded, o.Throttled, o.Terminated, o.Left, o.NotTaken, o.Unanswered, o.RulesBroken, o.HeldUp.Round(time.Millisecond))
	for _, text := range append(append([]string{}, o.Faults...), o.Examples...) {
		fmt.Fprintln(out, "  "+text)
	}
}

// bounds are the platform's, from its protocol page.
var bounds = audit.Bounds{LowerCap: 150, SpareSends: 2, SparePart: 0.04, ToldMs: 150, GoneMs: 100, StopMs: 700, ResendAtEnd: true}

// run is one run.
type run struct {
	plan   *Plan
	dir    string
	opts   Options
	quoted []string // the marshals' datagram addresses, as JSON
	all    string
	world  *world

	ids    atomic.Int64
	mu     sync.Mutex
	seen   []*record.Seen
	faults []string
}

func (r *run) see(s *record.Seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, s)
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *run) nextID(marshal int) string {
	return fmt.Sprintf("%d-%d-%d", marshal, r.plan.Seed, r.ids.Add(1))
}

// Run plays a plan and audits it.
func Run(o Options) (*Outcome, error) {
	p := o.Plan
	r := &run{plan: p, dir: o.Dir, opts: o}
	heldUp := schedlag.Watch()
	var err error
	if r.world, err = newWorld(r); err != nil {
		return nil, err
	}
	marshals, err := r.newMarshals()
	if err != nil {
		return nil, err
	}
	stopEvents := r.world.playEvents()
	var wg sync.WaitGroup
	for _, m := range marshals {
		wg.Go(m.live)
	}
	wg.Wait()
	stopEvents()
	for _, m := range marshals {
		m.close()
	}
	r.world.close()
	outcome := &Outcome{Report: audit.CheckWithin(p.settings(), bounds, r.seen), Seed: p.Seed, Faults: r.faults, HeldUp: heldUp()}
	return outcome, r.writeSeen()
}

// writeSeen keeps what passed on the sockets, a line each, beside the marshals' logs.
func (r *run) writeSeen() error {
	var b bytes.Buffer
	for _, s := range r.seen { // the auditor has sorted them
		fmt.Fprintf(&b, "%s %s\n", time.UnixMicro(s.AtUs).UTC().Format("15:04:05.000000"), s)
	}
	return os.WriteFile(filepath.Join(r.dir, "seen.txt"), b.Bytes(), 0o644)
}

// marshalRun is one marshal over its lives, each at the same address.
type marshalRun struct {
	run       *run
	number    int
	rnd       *rand.Rand
	address   string
	datagrams string
	config    string // file
	agent     *standin.Agent
	api       *standin.ReleaseAPI
	old       []interface{ Close() }
}

// freeAddress is a loopback address that nobody listens at.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (r *run) newMarshals() (all []*marshalRun, err error) {
	if r.all, err = freeAddress("udp"); err != nil {
		return nil, err
	}
	for i := range r.plan.Marshals {
		m := &marshalRun{run: r, number: i, rnd: rand.New(rand.NewPCG(r.plan.Seed, uint64(10+i))),
			config: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))}
		if m.address, err = freeAddress("tcp"); err != nil {
			return nil, err
		}
		if m.datagrams, err = freeAddress("udp"); err != nil {
			return nil, err
		}
		r.quoted = append(r.quoted, strconv.Quote(m.datagrams))
		all = append(all, m)
	}
	for _, m := range all {
		if err := m.move(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// move gives the marshal a new agent and release API and writes the configuration that names them; the old ones retire.
func (m *marshalRun) move() error {
	before, beforeAPI := m.agent, m.api
	agent, api, err := m.run.world.surroundings(m)
	if err != nil {
		return err
	}
	m.agent, m.api = agent, api
	if before != nil {
		before.Retire(retireAfter)
		beforeAPI.Retire(retireAfter)
		m.old = append(m.old, before, beforeAPI)
	}
	text := m.run.plan.configuration(m, m.run.world.release(), m.agent.List())
	return os.WriteFile(m.config, []byte(text), 0o644)
}

func (m *marshalRun) close() {
	m.agent.Close()
	m.api.Close()
	for _, o := range m.old {
		o.Close()
	}
}

func (m *marshalRun) see(kind string) {
	m.run.see(&record.Seen{Kind: kind, AtUs: time.Now().UnixMicro(), Instance: int64(m.number)})
}

func (m *marshalRun) live() {
	for i, l := range m.run.plan.Lives[m.number] {
		if err := m.play(i, l); err != nil {
			m.run.fault("marshal %d, life %d (%s): %v", m.number, i, l.End, err)
		}
	}
}

// lifeRun is one process of a marshal, and the clients of its life.
type lifeRun struct {
	Life
	m       *marshalRun
	log     string // file
	cmd     *exec.Cmd
	exited  chan struct{}
	err     error // that it exited with
	clients sync.WaitGroup
	ended   chan struct{} // clients ask no more
	once    sync.Once
	until   atomic.Int64 // UnixNano until which new connections come, 0 for no end
	killed  atomic.Bool
	// Connections that may hold up the end of the process: those that say nothing, or half, and those with a request out.
	strangers, asking atomic.Int64
}

// start starts the process. What the agent and the configuration have counts as told from its first moment.
func (m *marshalRun) start(number int, l Life) (*lifeRun, error) {
	file := filepath.Join(m.run.dir, fmt.Sprintf("marshal-%d-life-%d.log", m.number, number))
	log, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if err := m.move(); err != nil {
		return nil, err
	}
	r := &lifeRun{Life: l, m: m, log: file, exited: make(chan struct{}), ended: make(chan struct{})}
	args := append(append([]string{}, m.run.opts.Program[1:]...), "--log", "debug")
	r.cmd = exec.Command(m.run.opts.Program[0], args...)
	r.cmd.Env = append(append(os.Environ(), m.run.opts.Env...), "GW_CONFIG="+m.config)
	r.cmd.Stderr = log
	m.see("up")
	for _, h := range m.agent.List() {
		m.run.see(h.Seen(m.number))
	}
	m.run.see(m.run.world.release().Seen(m.number))
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { r.err = r.cmd.Wait(); close(r.exited) }()
	return r, nil
}

// ready waits until the marshal says that it serves.
func (r *lifeRun) ready() error {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); r.wait(2 * time.Millisecond) {
		q, err := c.Get("http://" + r.m.address + "/healthz")
		if err == nil {
			q.Body.Close()
			if q.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf("it ended before it was ready: %w", r.err)
		default:
		}
	}
	return fmt.Errorf("not ready within %v", readyWithin)
}

func (r *lifeRun) over() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *lifeRun) endLoad() { r.once.Do(func() { close(r.ended) }) }

// wait lets time pass, or the load end.
func (r *lifeRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ended:
	}
}

func (r *lifeRun) mayConnect() bool {
	until := r.until.Load()
	return !r.over() && (until == 0 || time.Now().UnixNano() < until)
}

// play plays one life.
func (m *marshalRun) play(number int, l Life) error {
	r, err := m.start(number, l)
	if err != nil {
		return err
	}
	defer func() {
		r.endLoad()
		r.clients.Wait()
	}()
	if l.End == EndBeforeLoad {
		return r.endBeforeReady()
	}
	if err := r.ready(); err != nil {
		r.kill()
		return err
	}
	var rest holds
	if l.End == EndQuiet {
		if rest, err = r.atRest(); err != nil {
			return err
		}
	}
	ready := time.Now()
	for range m.run.plan.Clients {
		c := &client{m: m, life: r, rnd: rand.New(rand.NewPCG(m.rnd.Uint64(), 2))}
		r.clients.Go(c.run)
	}
	if m.run.plan.Crowd > 0 && number == 0 {
		r.crowd(m.rnd)
	}
	if err := r.signals(ready); err != nil {
		return err
	}
	switch l.End {
	case EndKill:
		r.kill()
		return nil
	case EndQuiet:
		r.endLoad()
		r.clients.Wait()
		if err := r.leftOver(rest); err != nil {
			m.run.fault("marshal %d, life %d: %v", m.number, number, err)
		}
		return r.terminate()
	}
	return r.terminate()
}

var osSignals = map[string]syscall.Signal{HUP: syscall.SIGHUP, Reload: syscall.SIGHUP, USR1: syscall.SIGUSR1, USR2: syscall.SIGUSR2}

// signals sends what the life has, until its load is over.
func (r *lifeRun) signals(ready time.Time) error {
	for _, s := range r.Signals {
		time.Sleep(time.Until(ready.Add(s.After)))
		switch s.Name {
		case Pause:
			r.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(between(r.m.rnd, 10*time.Millisecond, pauseMost))
			r.cmd.Process.Signal(syscall.SIGCONT)
			continue
		case Reload:
			if err := r.m.move(); err != nil {
				return err
			}
		}
		r.cmd.Process.Signal(osSignals[s.Name])
	}
	time.Sleep(time.Until(ready.Add(r.Load)))
	select {
	case <-r.exited:
		return fmt.Errorf("it crashed: %w", errors.Join(r.err, errors.New("before it was told to end")))
	default:
		return nil
	}
}

// kill ends the process at once, and then the load.
func (r *lifeRun) kill() {
	r.killed.Store(true)
	r.m.see("killed")
	r.cmd.Process.Kill()
	<-r.exited
	r.endLoad()
}

// terminate tells the process to end. Clients use their connections until the kill, which comes as early as it may.
func (r *lifeRun) terminate() error {
	r.m.see("stopping")
	told := time.Now()
	r.until.Store(told.Add(r.NewFor).UnixNano())
	r.cmd.Process.Signal(syscall.SIGTERM)
	if r.End == EndTwice {
		time.Sleep(r.Second)
		r.cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-r.exited:
		if r.err != nil {
			return fmt.Errorf("it ended with %w after TERM", r.err)
		}
	case <-time.After(time.Until(told.Add(r.m.run.plan.killAfter()))):
		held := r.strangers.Load() + r.asking.Load()
		r.kill()
		if held == 0 {
			return errors.New("it did not end by itself, though nobody had a request out")
		}
	}
	return nil
}

// endBeforeReady tells a process to end that may not be ready yet. Before it can take signals, one ends it.
func (r *lifeRun) endBeforeReady() error {
	time.Sleep(r.Second)
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(r.m.run.plan.killAfter()):
		r.kill()
		return errors.New("it does not end")
	}
	if status, ok := r.cmd.ProcessState.Sys().(syscall.WaitStatus); r.err != nil && !(ok && status.Signal() == syscall.SIGTERM) {
		return fmt.Errorf("it ended with %w after TERM", r.err)
	}
	return nil
}

// holds is what a process holds.
type holds struct{ descriptors, goroutines int }

var goroutinesOf = regexp.MustCompile(`msg=view .*goroutines=(\d+)`)

// holding looks what the process holds; its goroutines by what it has logged after so many views.
func (r *lifeRun) holding(views int) (h holds, more int, err error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil {
		return h, 0, err
	}
	text, err := os.ReadFile(r.log)
	if err != nil {
		return h, 0, err
	}
	said := goroutinesOf.FindAllSubmatch(text, -1)
	h.descriptors = len(all)
	if len(said) > views {
		h.goroutines, err = strconv.Atoi(string(said[len(said)-1][1]))
	}
	return h, len(said), err
}

// viewEvery is how often a marshal logs its view.
const viewEvery = time.Second

// atRest is what the process holds before anybody has asked it.
func (r *lifeRun) atRest() (holds, error) {
	for end := time.Now().Add(3 * viewEvery); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h, views, err := r.holding(0); err != nil || views > 0 {
			return h, err
		}
	}
	return holds{}, errors.New("it logs no view")
}

// leftOver looks whether the process holds more than at rest, once connections to nodes have had their time.
func (r *lifeRun) leftOver(rest holds) error {
	idle := r.m.run.plan.Idle
	if idle > longestCounted { // they may stay
		return nil
	}
	_, before, err := r.holding(0)
	if err != nil {
		return err
	}
	var now holds
	for end := time.Now().Add(idle + 4*viewEvery); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r.cmd.Process.Signal(syscall.SIGUSR1) // the log may have been told to say less
		var views int
		if now, views, err = r.holding(before); err != nil {
			return err
		}
		if views > before && now.descriptors <= rest.descriptors && now.goroutines <= rest.goroutines {
			return nil
		}
	}
	return fmt.Errorf("it holds %+v, and held %+v at rest", now, rest)
}

// world is what the marshals of a run work among.
type world struct {
	run   *run
	rnd   *rand.Rand
	mu    sync.Mutex
	nodes map[string]*standin.PlatformNode
	hosts map[string]standin.Host
	all   []*standin.Agent
	apis  []*standin.ReleaseAPI
	state standin.Release
	next  int
	dice  sync.Mutex
}

const firstBuild = 7

func newWorld(r *run) (*world, error) {
	w := &world{run: r, rnd: rand.New(rand.NewPCG(r.plan.Seed, 3)), nodes: map[string]*standin.PlatformNode{}, hosts: map[string]standin.Host{},
		state: standin.Release{Build: firstBuild, Stage: len(r.plan.Caps) - 1, Phase: balance.Released, Cap: 1, Since: time.Now().Add(-90 * time.Second)}}
	for range r.plan.Nodes {
		if err := w.add(firstBuild); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// add starts a node and lists it.
func (w *world) add(build int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	zone, site := 0, ""
	if len(w.run.plan.Zones) > 0 {
		zone = w.next % len(w.run.plan.Zones)
		site = w.run.plan.Zones[zone]
	}
	n := &standin.PlatformNode{ID: uint32(w.next), Ver: build, Zone: zone, Idle: w.run.plan.Idle, Reply: w.reply, Seen: w.run.see}
	if err := n.Start("127.0.0.1:0"); err != nil {
		return err
	}
	h := standin.Host{Name: fmt.Sprintf("s-%d", w.next), Number: n.ID, Address: n.Address(), Site: site, Zone: zone, Health: standin.InService, Build: build}
	w.nodes[h.Name] = n
	w.set(h)
	return nil
}

// set tells a change; w.mu is held.
func (w *world) set(h standin.Host) {
	w.hosts[h.Name] = h
	for _, a := range w.all {
		a.Set(h)
	}
}

// reply draws how a node deals with a request.
func (w *world) reply() (standin.Reply, time.Duration) {
	w.dice.Lock()
	defer w.dice.Unlock()
	took := time.Duration(w.rnd.ExpFloat64() * float64(6*time.Millisecond))
	if w.rnd.Float64() >= w.run.plan.Trouble {
		return standin.Served, took
	}
	if w.rnd.IntN(6) == 0 {
		return standin.Served, between(w.rnd, 100*time.Millisecond, 2*time.Second) // late
	}
	return pick(w.rnd, standin.TurnedAway, standin.Error, standin.Hung, standin.Reset, standin.Closed, standin.Cut, standin.Spoilt, standin.Twice), took
}

// surroundings starts an agent and a release API for a marshal that know what there is.
func (w *world) surroundings(m *marshalRun) (*standin.Agent, *standin.ReleaseAPI, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &standin.Agent{Instance: m.number, Seen: w.run.see, Pieces: w.run.plan.Pieces}
	if err := a.Start("127.0.0.1:0"); err != nil {
		return nil, nil, err
	}
	for _, h := range w.hosts {
		a.Set(h)
	}
	api := &standin.ReleaseAPI{Instance: m.number, Seen: w.run.see, Vote: w.vote}
	if err := api.Start("127.0.0.1:0", w.state); err != nil {
		return nil, nil, err
	}
	w.all, w.apis = append(w.all, a), append(w.apis, api)
	return a, api, nil
}

func (w *world) vote() int {
	w.dice.Lock()
	defer w.dice.Unlock()
	return pick(w.rnd, http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests, http.StatusConflict, http.StatusInternalServerError)
}

func (w *world) release() standin.Release {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// rollout tells another state of the newest build.
func (w *world) rollout(s standin.Release) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Since = time.Now()
	w.state = s
	for _, a := range w.apis {
		a.Set(s)
	}
}

func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.Kill()
	}
}
