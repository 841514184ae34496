package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/internal/audit"
	"arrowcleat/internal/loopback"
	"arrowcleat/internal/record"
	"arrowcleat/internal/schedlag"
	"arrowcleat/internal/standin"
)

// seenLate is how much later than it happened something may be seen here, as the auditor allows.
const maxRecordDelay = 100 * time.Millisecond

// Options are how a run is played.
type Options struct {
	Plan    *Plan
	Program []string // the marshal's program and its arguments
	Env     []string // beside the test's own
	Dir     string   // for logs and configurations
}

// Result is what a run found.
type Result struct {
	*audit.Report
	Seed               uint64
	Findings           []string      // what the audit does not see: starts, ends, what is left over, strangers
	MaxSchedulingDelay time.Duration // the longest that this process itself was
}

// Clean says that nothing was found.
func (o *Result) Clean() bool { return o.Report.Clean() && len(o.Findings) == 0 }

// Print writes a line for the run, and one for each finding.
func (o *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d taken, %d succeeded, %d throttled, %d terminated, %d left, %d not taken; %d unanswered, broken %v, held up %v\n",
		o.Seed, o.Invocations, o.Succeeded, o.Throttled, o.Terminated, o.Left, o.NotTaken, o.Unanswered, o.RulesBroken, o.MaxSchedulingDelay.Round(time.Millisecond))
	for _, text := range append(append([]string{}, o.Findings...), o.Examples...) {
		fmt.Fprintln(out, "  "+text)
	}
}

// bounds are the platform's, from its protocol page.
var bounds = audit.Bounds{LowerCap: 150, SpareSends: 2, SparePart: 0.04, ToldMs: 150, GoneMs: 100, StopMs: 700, ResendAtEnd: true}

// run is one run.
type run struct {
	plan            *Plan
	dir             string
	opts            Options
	quotedPeers     []string // the marshals' datagram addresses, as JSON
	unreachablePeer string
	testbed         *testbed

	ids      atomic.Int64
	mu       sync.Mutex
	entries  []*record.Seen
	findings []string
}

func (r *run) record(s *record.Seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, s)
}

func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

func (r *run) nextID(marshal int) string {
	return fmt.Sprintf("%d-%d-%d", marshal, r.plan.Seed, r.ids.Add(1))
}

// Run plays a plan and audits it.
func Run(o Options) (*Result, error) {
	p := o.Plan
	r := &run{plan: p, dir: o.Dir, opts: o}
	heldUp := schedlag.Watch()
	var err error
	if r.testbed, err = newTestbed(r); err != nil {
		return nil, err
	}
	marshals, err := r.startMarshals()
	if err != nil {
		return nil, err
	}
	stopEvents := r.testbed.startEvents()
	var wg sync.WaitGroup
	for _, m := range marshals {
		wg.Go(m.playAll)
	}
	wg.Wait()
	stopEvents()
	for _, m := range marshals {
		m.close()
	}
	r.testbed.close()
	outcome := &Result{Report: audit.CheckWithin(p.settings(), bounds, r.entries), Seed: p.Seed, Findings: r.findings, MaxSchedulingDelay: heldUp()}
	return outcome, r.writeSeen()
}

// writeSeen keeps what passed on the sockets, a line each, beside the marshals' logs.
func (r *run) writeSeen() error {
	var b bytes.Buffer
	for _, s := range r.entries { // the auditor has sorted them
		fmt.Fprintf(&b, "%s %s\n", time.UnixMicro(s.AtUs).UTC().Format("15:04:05.000000"), s)
	}
	return os.WriteFile(filepath.Join(r.dir, "seen.txt"), b.Bytes(), 0o644)
}

// marshalRun is one marshal over its lives, each at the same address.
type marshalRun struct {
	run         *run
	number      int
	rnd         *rand.Rand
	reservation *loopback.Reservation
	address     string
	peerAddress string
	configFile  string
	agent       *standin.DiscoveryAgent
	api         *standin.ReleaseAPI
	// Where the marshal reaches them: at a proxy, in some runs.
	agentAddress, apiAddress string
	retired                  []interface{ Close() }
}

func (r *run) startMarshals() (all []*marshalRun, err error) {
	for i := range r.plan.Marshals {
		m := &marshalRun{run: r, number: i, rnd: rand.New(rand.NewPCG(r.plan.Seed, uint64(10+i))),
			configFile: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))}
		if m.reservation, err = loopback.Reserve(); err != nil {
			return nil, err
		}
		m.address, m.peerAddress = m.reservation.At(loopback.RequestPort), m.reservation.At(loopback.DatagramPort)
		r.unreachablePeer = m.reservation.Nowhere()
		r.quotedPeers = append(r.quotedPeers, strconv.Quote(m.peerAddress))
		all = append(all, m)
	}
	for _, m := range all {
		if err := m.renewServices(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// move gives the marshal a new agent and release API and writes the configuration that names them; the old ones retire.
func (m *marshalRun) renewServices() error {
	before, beforeAPI := m.agent, m.api
	agent, api, err := m.run.testbed.startServices(m)
	if err != nil {
		return err
	}
	m.agent, m.api = agent, api
	if before != nil {
		before.Retire(retireAfter)
		beforeAPI.Retire(retireAfter)
		m.retired = append(m.retired, before, beforeAPI)
	}
	text := m.run.plan.configuration(m, m.run.testbed.release(), m.agent.List())
	return os.WriteFile(m.configFile, []byte(text), 0o644)
}

func (m *marshalRun) close() {
	m.reservation.Release()
	m.agent.Close()
	m.api.Close()
	for _, o := range m.retired {
		o.Close()
	}
}

func (m *marshalRun) record(kind string) {
	m.run.record(&record.Seen{Kind: kind, AtUs: time.Now().UnixMicro(), Instance: int64(m.number)})
}

func (m *marshalRun) playAll() {
	for i, l := range m.run.plan.Processes[m.number] {
		if err := m.play(i, l); err != nil {
			m.run.addFinding("marshal %d, life %d (%s): %v", m.number, i, l.End, err)
		}
	}
}
