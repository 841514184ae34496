package day

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"arrowcleat/internal/loopback"
	"arrowcleat/internal/record"
	"arrowcleat/internal/serve"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// node is a stand-in node, in this process or in a process of its own. Do runs a command that changes its behaviour.
type node interface {
	Address() string
	Do(line string) error
	Kill()
}

// launchNode starts a node in this process, or in a process of its own if there is a binary.
func (tb *testbed) launchNode(set *settings.Standin) (node, error) {
	if tb.Binary != "" {
		set.Record = filepath.Join(tb.Dir, fmt.Sprintf("node-%d-%d.seen", set.Node, set.Seed))
		return tb.spawnStandin(fmt.Sprintf("node-%d-%d", set.Node, set.Seed), set, "standin", "node")
	}
	n := standin.NewNode(set)
	n.Record = tb.record
	return n, n.Start("127.0.0.1:0")
}

// process is a child process that prints its address. A node's process exits when its standard input is closed.
type process struct {
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	address string
	once    sync.Once
	exited  chan error
	nodeID  uint32
	tb      *testbed
}

// spawnStandin starts a stand-in as a process of its own.
func (tb *testbed) spawnStandin(name string, set *settings.Standin, args ...string) (*process, error) {
	file := filepath.Join(tb.Dir, name+".txtpb")
	text, err := prototext.Marshal(set)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	p, err := tb.spawn(name, append(args, "--config", file)...)
	if err == nil {
		p.nodeID = set.Node
	}
	return p, err
}

// spawn starts this program with the given arguments and waits until it prints its address.
func (tb *testbed) spawn(name string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(tb.Binary, args...), exited: make(chan error, 1), tb: tb}
	log, err := os.OpenFile(filepath.Join(tb.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", max(1, tb.Scenario.Settings.Instance.Cores)))
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		return nil, fmt.Errorf("%s printed no address: see %s.log", name, name)
	}
	p.address = strings.TrimSpace(line)
	go func() { p.exited <- p.cmd.Wait() }()
	return p, nil
}

func (p *process) Address() string { return p.address }

func (p *process) Do(line string) error {
	_, err := io.WriteString(p.stdin, line+"\n")
	return err
}

func (p *process) Kill() { p.end("dies") }

// end records an observation of the given kind, closes the input of the process, and kills it if it does not exit.
func (p *process) end(kind string) {
	p.once.Do(func() {
		if kind != "" {
			p.tb.record(&record.Seen{Kind: kind, Node: p.nodeID})
		}
		p.stdin.Close() // a node writes out its record and exits; a marshal ignores it
		select {
		case <-p.exited:
		case <-time.After(500 * time.Millisecond):
			p.cmd.Process.Kill()
			<-p.exited
		}
	})
}

// testMarshal is a marshal over all its restarts, each at the same address.
type testMarshal struct {
	tb          *testbed
	number      int
	zone        int
	set         *settings.Settings
	reservation *loopback.Reservation
	address     string

	mu          sync.Mutex
	incarnation int
	running     bool
	local       *serve.Marshal // in this process
	process     *process       // in a process of its own

	coreStalls int // of single cores, so far
}

// newMarshal prepares the settings of a marshal. Its address is reserved here, before any marshal starts, so that all
// participants know all addresses.
func (tb *testbed) newMarshal(number int) (*testMarshal, error) {
	set := tb.Scenario.Settings.Copy()
	m := &testMarshal{tb: tb, number: number, zone: number % len(set.Zone), set: set}
	set.Instance.Number, set.Instance.Zone = uint32(number), set.Zone[m.zone]
	set.Roster.Address, set.Conveyor.Address = tb.registry.Address(), tb.rollout.Address()
	set.Roster.File = filepath.Join(tb.Dir, fmt.Sprintf("marshal-%d.list", number))
	reservation, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	m.reservation, m.address = reservation, reservation.Address(loopback.RequestPort)
	set.Listen.Invocations = m.address
	return m, nil
}

// start starts the marshal's next incarnation.
func (m *testMarshal) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation++
	m.set.Seed = m.tb.Seed*1000 + uint64(m.number*50+m.incarnation)
	name := fmt.Sprintf("marshal-%d-%d", m.number, m.incarnation)
	if m.tb.RecordModules {
		m.set.Record.File = filepath.Join(m.tb.Dir, name+".record")
	}
	m.tb.record(&record.Seen{Kind: "up", Instance: int64(m.number)})
	var err error
	if m.tb.Binary == "" {
		m.local, err = serve.Start(m.set.Copy(), m.tb.Logger, m.tb.hooks)
	} else {
		file := filepath.Join(m.tb.Dir, name+".txtpb")
		if err = os.WriteFile(file, m.set.Text(), 0o644); err == nil {
			m.process, err = m.tb.spawn(name, "serve", "--config", file)
		}
	}
	m.running = err == nil
	return err
}

// restart kills or stops a marshal and starts it again after a pause.
func (m *testMarshal) restart(kill bool, pause time.Duration) {
	m.mu.Lock()
	if !m.running {
		m.mu.Unlock()
		return
	}
	m.running = false
	kind := map[bool]string{true: "killed", false: "stopping"}[kill]
	m.tb.logEvent("marshal %d %s", m.number, kind)
	m.tb.record(&record.Seen{Kind: kind, Instance: int64(m.number)})
	switch {
	case m.local != nil && kill:
		m.local.Kill()
	case m.local != nil:
		m.local.Stop()
	case kill:
		m.process.cmd.Process.Kill()
		<-m.process.exited
	default:
		m.process.cmd.Process.Signal(syscall.SIGTERM)
		<-m.process.exited
	}
	m.mu.Unlock()
	select {
	case <-time.After(pause):
	case <-m.tb.ctx.Done():
	}
	if err := m.start(); err != nil {
		m.tb.logEvent("marshal %d did not restart: %v", m.number, err)
	}
}

// stall stalls a marshal: its event loops, or its process.
func (m *testMarshal) stall(d time.Duration) {
	m.mu.Lock()
	local, process, running := m.local, m.process, m.running
	m.mu.Unlock()
	switch {
	case !running:
	case local != nil:
		for _, l := range local.Loops {
			l.Post(func() { time.Sleep(d) })
		}
	default:
		process.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		process.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// stallCore stalls one core of a marshal, another one each time. It does nothing if the marshal is a process.
func (m *testMarshal) stallCore(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running && m.local != nil {
		m.coreStalls++
		m.local.Loops[m.coreStalls%len(m.local.Loops)].Post(func() { time.Sleep(d) })
	}
}

// shutdown stops a marshal at the end of the run.
func (m *testMarshal) shutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return
	}
	m.running = false
	m.tb.record(&record.Seen{Kind: "stopping", Instance: int64(m.number)})
	if m.local != nil {
		m.local.Stop()
		return
	}
	m.process.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.process.exited:
	case <-time.After(5 * time.Second):
		m.process.cmd.Process.Kill()
		<-m.process.exited
	}
}
