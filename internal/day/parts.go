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

// node is a stand-in node, in this process or in one of its own.
type node interface {
	Address() string
	Do(line string) error
	Kill()
}

func (w *testbed) launchNode(set *settings.Standin) (node, error) {
	if w.Binary != "" {
		set.Record = filepath.Join(w.Dir, fmt.Sprintf("node-%d-%d.seen", set.Node, set.Seed))
		return w.spawnStandin(fmt.Sprintf("node-%d-%d", set.Node, set.Seed), set, "standin", "node")
	}
	n := standin.FromSettings(set)
	n.Seen = w.record
	return n, n.Start("127.0.0.1:0")
}

// process is a child process that prints its address, and dies with its standard input.
type process struct {
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	address string
	once    sync.Once
	exited  chan error
	nodeID  uint32
	w       *testbed
}

// spawnStandin starts this program again.
func (w *testbed) spawnStandin(name string, set *settings.Standin, args ...string) (*process, error) {
	file := filepath.Join(w.Dir, name+".txtpb")
	text, err := prototext.Marshal(set)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	p, err := w.spawn(name, append(args, "--config", file)...)
	if err == nil {
		p.nodeID = set.Node
	}
	return p, err
}

func (w *testbed) spawn(name string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(w.Binary, args...), exited: make(chan error, 1), w: w}
	log, err := os.OpenFile(filepath.Join(w.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", max(1, w.Scenario.Settings.Instance.Cores)))
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

func (p *process) end(word string) {
	p.once.Do(func() {
		if word != "" {
			p.w.record(&record.Seen{Kind: word, Node: p.nodeID})
		}
		p.stdin.Close() // a node ends with its input, its record written out; a marshal does not mind
		select {
		case <-p.exited:
		case <-time.After(500 * time.Millisecond):
			p.cmd.Process.Kill()
			<-p.exited
		}
	})
}

// testMarshal is a marshal of the day over its lives, each at the same address.
type testMarshal struct {
	w           *testbed
	number      int
	zone        int
	set         *settings.Settings
	reservation *loopback.Reservation
	address     string

	mu      sync.Mutex
	life    int
	running bool
	local   *serve.Marshal
	process *process

	coreStalls int // of single cores
}

// newMarshal prepares the settings of a marshal; addresses are chosen here, so that all know where all are.
func (w *testbed) newMarshal(number int) (*testMarshal, error) {
	set := w.Scenario.Settings.Copy()
	m := &testMarshal{w: w, number: number, zone: number % len(set.Zone), set: set}
	set.Instance.Number, set.Instance.Zone = uint32(number), set.Zone[m.zone]
	set.Roster.Address, set.Conveyor.Address = w.registry.Address(), w.rollout.Address()
	set.Roster.File = filepath.Join(w.Dir, fmt.Sprintf("marshal-%d.list", number))
	reservation, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	m.reservation, m.address = reservation, reservation.At(loopback.RequestPort)
	set.Listen.Invocations = m.address
	return m, nil
}

func (m *testMarshal) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.set.Seed = m.w.Seed*1000 + uint64(m.number*50+m.life)
	name := fmt.Sprintf("marshal-%d-%d", m.number, m.life)
	if m.w.RecordModules {
		m.set.Record.File = filepath.Join(m.w.Dir, name+".record")
	}
	m.w.record(&record.Seen{Kind: "up", Instance: int64(m.number)})
	var err error
	if m.w.Binary == "" {
		m.local, err = serve.Start(m.set.Copy(), m.w.Logger, m.w.hooks)
	} else {
		file := filepath.Join(m.w.Dir, name+".txtpb")
		if err = os.WriteFile(file, m.set.Text(), 0o644); err == nil {
			m.process, err = m.w.spawn(name, "serve", "--config", file)
		}
	}
	m.running = err == nil
	return err
}

// restart ends a marshal, killed or told to stop, and starts it again after a while.
func (m *testMarshal) restart(kill bool, pause time.Duration) {
	m.mu.Lock()
	if !m.running {
		m.mu.Unlock()
		return
	}
	m.running = false
	word := map[bool]string{true: "killed", false: "stopping"}[kill]
	m.w.logEvent("marshal %d %s", m.number, word)
	m.w.record(&record.Seen{Kind: word, Instance: int64(m.number)})
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
	case <-m.w.ctx.Done():
	}
	if err := m.start(); err != nil {
		m.w.logEvent("marshal %d does not come back: %v", m.number, err)
	}
}

// stall lets a marshal stand still: its loop, or its process.
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

// stallCore lets one core of a marshal stand still, another each time. It does nothing to a marshal that is a process.
func (m *testMarshal) stallCore(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running && m.local != nil {
		m.coreStalls++
		m.local.Loops[m.coreStalls%len(m.local.Loops)].Post(func() { time.Sleep(d) })
	}
}

// shutdown ends a marshal with the day.
func (m *testMarshal) shutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return
	}
	m.running = false
	m.w.record(&record.Seen{Kind: "stopping", Instance: int64(m.number)})
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
