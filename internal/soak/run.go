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
		o.Seed, o.Invocations, o.Succeeded, o.Throttled, o.Terminated, o.ClientsLeft, o.NotAccepted, o.Unanswered, o.RulesBroken, o.HeldUp.Round(time.Millisecond))
	for _, text := range append(append([]string{}, o.Faults...), o.Examples...) {
		fmt.Fprintln(out, "  "+text)
	}
}

// bounds are the platform's, from its protocol page.
var bounds = audit.Bounds{LowerCapGraceMs: 150, ExtraAttempts: 2, ExtraAttemptsShare: 0.04, TimeLimitSlackMs: 150, ClientGoneGraceMs: 100, StopGraceMs: 700, ResendOnClose: true}

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
	outcome := &Outcome{Report: audit.CheckWithBounds(p.settings(), bounds, r.seen), Seed: p.Seed, Faults: r.faults, HeldUp: heldUp()}
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
	own       *loopback.Reservation
	address   string
	datagrams string
	config    string // file
	agent     *standin.Agent
	api       *standin.ReleaseAPI
	// Where the marshal reaches them: at a proxy, in some runs.
	agentAddress, apiAddress string
	old                      []interface{ Close() }
}

func (r *run) newMarshals() (all []*marshalRun, err error) {
	for i := range r.plan.Marshals {
		m := &marshalRun{run: r, number: i, rnd: rand.New(rand.NewPCG(r.plan.Seed, uint64(10+i))),
			config: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))}
		if m.own, err = loopback.Reserve(); err != nil {
			return nil, err
		}
		m.address, m.datagrams = m.own.Address(loopback.RequestPort), m.own.Address(loopback.DatagramPort)
		r.all = m.own.BlackholeAddress()
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
	m.own.Release()
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
