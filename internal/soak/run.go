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

// maxRecordDelay is the longest time between an event and its record entry. The audit tolerates as much.
const maxRecordDelay = 100 * time.Millisecond

// Options are the options of a run.
type Options struct {
	Plan    *Plan
	Program []string // the marshal's program and its arguments
	Env     []string // added to the environment of this process
	Dir     string   // for logs and configurations
}

// Result holds what a run found.
type Result struct {
	*audit.Report
	Seed               uint64
	Findings           []string      // besides the audit's: failed starts and ends, leaks, partial requests without an error
	MaxSchedulingDelay time.Duration // of this process
}

// Clean reports whether nothing was found.
func (r *Result) Clean() bool { return r.Report.Clean() && len(r.Findings) == 0 }

// Print writes a line for the run, and one for each finding.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d accepted, %d succeeded, %d throttled, %d terminated, %d left, %d not accepted; "+
		"%d unanswered, broken %v, scheduling delay %v\n", r.Seed, r.Invocations, r.Succeeded, r.Throttled, r.Terminated,
		r.ClientsLeft, r.NotAccepted, r.Unanswered, r.RulesBroken, r.MaxSchedulingDelay.Round(time.Millisecond))
	for _, text := range append(append([]string{}, r.Findings...), r.Examples...) {
		fmt.Fprintln(out, "  "+text)
	}
}

// bounds are the bounds of the platform's protocol.
var bounds = audit.Bounds{LowerCapGraceMs: 150, ExtraAttempts: 2, ExtraAttemptsShare: 0.04, TimeLimitSlackMs: 150,
	ClientGoneGraceMs: 100, StopGraceMs: 700, ResendOnClose: true}

// run is the state of a run.
type run struct {
	plan            *Plan
	dir             string
	opts            Options
	quotedPeers     []string // the marshals' addresses for peer messages, as JSON
	unreachablePeer string   // the address for messages to all peers; nobody receives what is sent there
	testbed         *testbed

	ids      atomic.Int64
	mu       sync.Mutex
	entries  []*record.Seen // what was observed on the sockets
	findings []string
}

// record adds an observation to the record of the run.
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

// nextID returns a new id for a request to a marshal.
func (r *run) nextID(marshal int) string {
	return fmt.Sprintf("%d-%d-%d", marshal, r.plan.Seed, r.ids.Add(1))
}

// Run executes a plan and audits what was observed on the sockets.
func Run(o Options) (*Result, error) {
	p := o.Plan
	r := &run{plan: p, dir: o.Dir, opts: o}
	schedulingDelay := schedlag.Watch()
	var err error
	if r.testbed, err = newTestbed(r); err != nil {
		return nil, err
	}
	marshals, err := r.prepareMarshals()
	if err != nil {
		return nil, err
	}
	stopEvents := r.testbed.startEvents()
	var wg sync.WaitGroup
	for _, m := range marshals {
		wg.Go(m.runProcesses)
	}
	wg.Wait()
	stopEvents()
	for _, m := range marshals {
		m.close()
	}
	r.testbed.close()
	result := &Result{Report: audit.CheckWithBounds(p.settings(), bounds, r.entries), Seed: p.Seed, Findings: r.findings,
		MaxSchedulingDelay: schedulingDelay()}
	return result, r.writeEntries()
}

// writeEntries writes what was observed on the sockets to a file beside the marshals' logs, an entry per line.
func (r *run) writeEntries() error {
	var b bytes.Buffer
	for _, s := range r.entries { // the audit has sorted them
		fmt.Fprintf(&b, "%s %s\n", time.UnixMicro(s.AtUs).UTC().Format("15:04:05.000000"), s)
	}
	return os.WriteFile(filepath.Join(r.dir, "seen.txt"), b.Bytes(), 0o644)
}

// marshalRun is one marshal with its processes, which run one after the other at the same address.
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
	// The addresses at which the marshal reaches agent and api; those of proxies in some runs.
	agentAddress, apiAddress string
	retired                  []interface{ Close() } // earlier agents and release APIs
}

// prepareMarshals reserves the addresses of all marshals and then starts their services.
func (r *run) prepareMarshals() (all []*marshalRun, err error) {
	for i := range r.plan.Marshals {
		m := &marshalRun{run: r, number: i, rnd: rand.New(rand.NewPCG(r.plan.Seed, uint64(10+i))),
			configFile: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))}
		if m.reservation, err = loopback.Reserve(); err != nil {
			return nil, err
		}
		m.address, m.peerAddress = m.reservation.Address(loopback.RequestPort), m.reservation.Address(loopback.DatagramPort)
		r.unreachablePeer = m.reservation.BlackholeAddress()
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

// renewServices gives the marshal a new agent and release API, and writes the configuration with their addresses. The
// earlier ones retire.
func (m *marshalRun) renewServices() error {
	oldAgent, oldAPI := m.agent, m.api
	agent, api, err := m.run.testbed.startServices(m)
	if err != nil {
		return err
	}
	m.agent, m.api = agent, api
	if oldAgent != nil {
		oldAgent.Retire(retireAfter)
		oldAPI.Retire(retireAfter)
		m.retired = append(m.retired, oldAgent, oldAPI)
	}
	text := m.run.plan.configuration(m, m.run.testbed.release(), m.agent.List())
	return os.WriteFile(m.configFile, []byte(text), 0o644)
}

// close releases the address and stops the services.
func (m *marshalRun) close() {
	m.reservation.Release()
	m.agent.Close()
	m.api.Close()
	for _, service := range m.retired {
		service.Close()
	}
}

// record records an event of the marshal's process.
func (m *marshalRun) record(kind string) {
	m.run.record(&record.Seen{Kind: kind, AtUs: time.Now().UnixMicro(), Instance: int64(m.number)})
}

// runProcesses runs the marshal's processes one after the other.
func (m *marshalRun) runProcesses() {
	for i, p := range m.run.plan.Processes[m.number] {
		if err := m.runProcess(i, p); err != nil {
			m.run.addFinding("marshal %d, process %d (%s): %v", m.number, i, p.End, err)
		}
	}
}
