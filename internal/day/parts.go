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

func (w *world) newNode(set *settings.Standin) (node, error) {
	if w.Binary != "" {
		set.Record = filepath.Join(w.Dir, fmt.Sprintf("node-%d-%d.seen", set.Node, set.Seed))
		return w.spawn(fmt.Sprintf("node-%d-%d", set.Node, set.Seed), set, "standin", "node")
	}
	n := standin.NewNode(set)
	n.Record = w.see
	return n, n.Start("127.0.0.1:0")
}

// process is a child process that prints its address, and dies with its standard input.
type process struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	address string
	once    sync.Once
	done    chan error
	node    uint32
	w       *world
}

// spawn starts this program again.
func (w *world) spawn(name string, set *settings.Standin, args ...string) (*process, error) {
	file := filepath.Join(w.Dir, name+".txtpb")
	text, err := prototext.Marshal(set)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	p, err := w.run(name, append(args, "--config", file)...)
	if err == nil {
		p.node = set.Node
	}
	return p, err
}

func (w *world) run(name string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(w.Binary, args...), done: make(chan error, 1), w: w}
	log, err := os.OpenFile(filepath.Join(w.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", max(1, w.Plan.Settings.Instance.Cores)))
	if p.in, err = p.cmd.StdinPipe(); err != nil {
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
	go func() { p.done <- p.cmd.Wait() }()
	return p, nil
}

func (p *process) Address() string { return p.address }

func (p *process) Do(line string) error {
	_, err := io.WriteString(p.in, line+"\n")
	return err
}

func (p *process) Kill() { p.kill("dies") }

func (p *process) kill(word string) {
	p.once.Do(func() {
		if word != "" {
			p.w.see(&record.Seen{Kind: word, Node: p.node})
		}
		p.in.Close() // a node ends with its input, its record written out; a marshal does not mind
		select {
		case <-p.done:
		case <-time.After(500 * time.Millisecond):
			p.cmd.Process.Kill()
			<-p.done
		}
	})
}

// aMarshal is a marshal of the day over its lives, each at the same address.
type aMarshal struct {
	w       *world
	number  int
	zone    int
	set     *settings.Settings
	own     *loopback.Reservation
	address string

	mu   sync.Mutex
	life int
	up   bool
	in   *serve.Marshal
	out  *process

	stalls int // of single cores
}

// newMarshal prepares the settings of a marshal; addresses are chosen here, so that all know where all are.
func (w *world) newMarshal(number int) (*aMarshal, error) {
	set := w.Plan.Settings.Copy()
	m := &aMarshal{w: w, number: number, zone: number % len(set.Zone), set: set}
	set.Instance.Number, set.Instance.Zone = uint32(number), set.Zone[m.zone]
	set.Roster.Address, set.Conveyor.Address = w.roster.Address(), w.conveyor.Address()
	set.Roster.File = filepath.Join(w.Dir, fmt.Sprintf("marshal-%d.list", number))
	own, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	m.own, m.address = own, own.At(loopback.RequestPort)
	set.Listen.Invocations = m.address
	return m, nil
}

func (m *aMarshal) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.set.Seed = m.w.Seed*1000 + uint64(m.number*50+m.life)
	name := fmt.Sprintf("marshal-%d-%d", m.number, m.life)
	if m.w.Record {
		m.set.Record.File = filepath.Join(m.w.Dir, name+".record")
	}
	m.w.see(&record.Seen{Kind: "up", Instance: int64(m.number)})
	var err error
	if m.w.Binary == "" {
		m.in, err = serve.Start(m.set.Copy(), m.w.Log, m.w.hooks)
	} else {
		file := filepath.Join(m.w.Dir, name+".txtpb")
		if err = os.WriteFile(file, m.set.Text(), 0o644); err == nil {
			m.out, err = m.w.run(name, "serve", "--config", file)
		}
	}
	m.up = err == nil
	return err
}

// restart ends a marshal, killed or told to stop, and starts it again after a while.
func (m *aMarshal) restart(kill bool, down time.Duration) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	word := map[bool]string{true: "killed", false: "stopping"}[kill]
	m.w.say("marshal %d %s", m.number, word)
	m.w.see(&record.Seen{Kind: word, Instance: int64(m.number)})
	switch {
	case m.in != nil && kill:
		m.in.Kill()
	case m.in != nil:
		m.in.Stop()
	case kill:
		m.out.cmd.Process.Kill()
		<-m.out.done
	default:
		m.out.cmd.Process.Signal(syscall.SIGTERM)
		<-m.out.done
	}
	m.mu.Unlock()
	select {
	case <-time.After(down):
	case <-m.w.ctx.Done():
	}
	if err := m.start(); err != nil {
		m.w.say("marshal %d does not come back: %v", m.number, err)
	}
}

// stall lets a marshal stand still: its loop, or its process.
func (m *aMarshal) stall(d time.Duration) {
	m.mu.Lock()
	in, out, up := m.in, m.out, m.up
	m.mu.Unlock()
	switch {
	case !up:
	case in != nil:
		for _, l := range in.Loops {
			l.Post(func() { time.Sleep(d) })
		}
	default:
		out.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		out.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// stallCore lets one core of a marshal stand still, another each time. It does nothing to a marshal that is a process.
func (m *aMarshal) stallCore(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up && m.in != nil {
		m.stalls++
		m.in.Loops[m.stalls%len(m.in.Loops)].Post(func() { time.Sleep(d) })
	}
}

// end ends a marshal with the day.
func (m *aMarshal) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.w.see(&record.Seen{Kind: "stopping", Instance: int64(m.number)})
	if m.in != nil {
		m.in.Stop()
		return
	}
	m.out.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.out.done:
	case <-time.After(5 * time.Second):
		m.out.cmd.Process.Kill()
		<-m.out.done
	}
}
