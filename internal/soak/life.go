package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

	"arrowcleat/internal/loopback"
)

// lifeRun is one process of a marshal, and the clients of its life.
type processRun struct {
	Process
	m              *marshalRun
	logFile        string
	cmd            *exec.Cmd
	exited         chan struct{}
	err            error // that it exited with
	clients        sync.WaitGroup
	loadEnded      chan struct{} // clients send no more requests
	once           sync.Once
	connectUntilNs atomic.Int64 // Unix time until which clients open new connections, 0 for no end
	killed         atomic.Bool
	killedAtNs     atomic.Int64 // UnixNano of a kill that comes after TERM, 0 for none
	// Connections that may hold up the end of the process: those that say nothing, or half, and those with a request out.
	incompleteConns, openRequests atomic.Int64
}

// FaultSeedEnv is the variable that tells a process the seed of its machine's faults; without it the machine has none.
const FaultSeedEnv = "ARROWCLEAT_FAULT_SEED"

// start starts the process. What the agent and the configuration have counts as told from its first moment.
func (m *marshalRun) start(number int, l Process) (*processRun, error) {
	file := filepath.Join(m.run.dir, fmt.Sprintf("marshal-%d-life-%d.log", m.number, number))
	log, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if number > 0 { // what they still wrote to the process before would count as told to this one
		m.agent.Close()
		m.api.Close()
	}
	if err := m.renewServices(); err != nil {
		return nil, err
	}
	r := &processRun{Process: l, m: m, logFile: file, exited: make(chan struct{}), loadEnded: make(chan struct{})}
	args := append(append([]string{}, m.run.opts.Program[1:]...), "--log", "debug")
	r.cmd = exec.Command(m.run.opts.Program[0], args...)
	r.cmd.Env = append(append(os.Environ(), m.run.opts.Env...), "GW_CONFIG="+m.configFile)
	if m.run.plan.MachineFaults {
		r.cmd.Env = append(r.cmd.Env, fmt.Sprintf("%s=%d", FaultSeedEnv, m.run.plan.Seed<<16|uint64(m.number)<<8|uint64(number)))
	}
	r.cmd.Stderr = log
	m.record("up")
	for _, h := range m.agent.List() {
		m.run.record(h.Seen(m.number))
	}
	m.run.record(m.run.testbed.release().Seen(m.number))
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { r.err = r.cmd.Wait(); close(r.exited) }()
	return r, nil
}

// ready waits until the marshal says that it serves.
func (r *processRun) awaitReady() error {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); r.wait(2 * time.Millisecond) {
		q, err := c.Get("http://" + r.m.address + "/healthz")
		if err == nil {
			q.Body.Close()
			if q.StatusCode == http.StatusOK {
				return r.checkListener()
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf("it ended before it was ready: %w", r.err)
		default:
		}
	}
	return fmt.Errorf("not ready within %v", readyTimeout)
}

// errOther says that somebody else answers at a marshal's address.
var errOtherListener = errors.New("another process listens at its address")

// itself checks that it is this process that answers.
func (r *processRun) checkListener() error {
	own, err := loopback.Listens(r.cmd.Process.Pid, r.m.address)
	if err == nil && !own {
		err = errOtherListener
	}
	return err
}

func (r *processRun) loadOver() bool {
	select {
	case <-r.loadEnded:
		return true
	default:
		return false
	}
}

func (r *processRun) endLoad() { r.once.Do(func() { close(r.loadEnded) }) }

// wait lets time pass, or the load end.
func (r *processRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.loadEnded:
	}
}

func (r *processRun) mayConnect() bool {
	until := r.connectUntilNs.Load()
	return !r.loadOver() && (until == 0 || time.Now().UnixNano() < until)
}

// play plays one life.
func (m *marshalRun) play(number int, l Process) error {
	r, err := m.start(number, l)
	if err != nil {
		return err
	}
	defer func() {
		r.endLoad()
		r.clients.Wait()
		r.checkLog()
	}()
	if l.End == EndBeforeReady {
		return r.endBeforeReady()
	}
	if err := r.awaitReady(); err != nil {
		r.kill()
		return err
	}
	var rest resources
	if l.End == EndIdle {
		if rest, err = r.resourcesAtRest(); err != nil {
			return err
		}
	}
	ready := time.Now()
	for range m.run.plan.Clients {
		c := &client{m: m, process: r, rnd: rand.New(rand.NewPCG(m.rnd.Uint64(), 2))}
		r.clients.Go(c.run)
	}
	if m.run.plan.BurstConns > 0 && number == 0 {
		r.burst(m.rnd)
	}
	if err := r.playSignals(ready); err != nil {
		return err
	}
	switch l.End {
	case EndKill:
		r.kill()
		return nil
	case EndIdle:
		r.endLoad()
		r.clients.Wait()
		if err := r.checkLeak(rest); err != nil {
			m.run.addFinding("marshal %d, life %d: %v", m.number, number, err)
		}
		return r.terminate()
	}
	return r.terminate()
}

var osSignals = map[string]syscall.Signal{HUP: syscall.SIGHUP, Reload: syscall.SIGHUP, USR1: syscall.SIGUSR1, USR2: syscall.SIGUSR2}

// signals sends what the life has, until its load is over.
func (r *processRun) playSignals(ready time.Time) error {
	if err := r.sendSignals(r.Signals, ready); err != nil {
		return err
	}
	time.Sleep(time.Until(ready.Add(r.LoadTime)))
	select {
	case <-r.exited:
		return fmt.Errorf("it crashed: %w", errors.Join(r.err, errors.New("before it was told to end")))
	default:
		return nil
	}
}

// send sends signals, each at its time since a moment.
func (r *processRun) sendSignals(all []Signal, since time.Time) error {
	for _, s := range all {
		time.Sleep(time.Until(since.Add(s.After)))
		switch s.Name {
		case Pause:
			r.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(between(r.m.rnd, 10*time.Millisecond, maxPause))
			r.cmd.Process.Signal(syscall.SIGCONT)
			continue
		case Reload:
			if err := r.m.renewServices(); err != nil {
				return err
			}
		}
		r.cmd.Process.Signal(osSignals[s.Name])
	}
	return nil
}

// kill ends the process at once, and then the load.
func (r *processRun) kill() {
	r.killed.Store(true)
	r.m.record("killed")
	r.cmd.Process.Kill()
	<-r.exited
	r.endLoad()
}

// terminate tells the process to end. Clients use their connections until the kill, which comes as early as it may.
func (r *processRun) terminate() error {
	r.m.record("stopping")
	told := time.Now()
	r.connectUntilNs.Store(told.Add(r.ConnectAfterTerm).UnixNano())
	r.cmd.Process.Signal(syscall.SIGTERM)
	if r.HangNodes {
		r.m.run.testbed.hangingProcesses.Add(1)
		defer r.m.run.testbed.hangingProcesses.Add(-1)
	}
	if r.End == EndTermTwice {
		time.Sleep(r.TermDelay)
		r.cmd.Process.Signal(syscall.SIGTERM)
	}
	var last sync.WaitGroup
	defer last.Wait()
	last.Go(func() { r.sendSignals(r.SignalsAfterTerm, told) }) // what can't be sent has nobody to get it any more
	select {
	case <-r.exited:
		if r.err != nil {
			return fmt.Errorf("it ended with %w after TERM", r.err)
		}
	case <-time.After(time.Until(told.Add(r.m.run.plan.killAfter()))):
		held := r.incompleteConns.Load() + r.openRequests.Load()
		r.killedAtNs.Store(time.Now().UnixNano())
		r.kill()
		if held == 0 {
			return errors.New("it did not end by itself, though nobody had a request out")
		}
	}
	return nil
}

// endBeforeReady tells a process to end that may not be ready yet. Before it can take signals, one ends it.
func (r *processRun) endBeforeReady() error {
	time.Sleep(r.TermDelay)
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
type resources struct{ descriptors, goroutines int }

// violations are the lines in which a process says that it broke an invariant, or that a goroutine of its panicked.
var violationLines = regexp.MustCompile(`(?m)^.*level=ERROR msg="(a |the decision).*$`)

// ownWord looks for them in the log of a process that has ended.
func (r *processRun) checkLog() {
	text, err := os.ReadFile(r.logFile)
	if err != nil {
		r.m.run.addFinding("the log: %v", err)
	}
	for i, line := range violationLines.FindAll(text, -1) {
		if i == maxViolations {
			break
		}
		r.m.run.addFinding("marshal %d said %s", r.m.number, line)
	}
}

const maxViolations = 5 // that are printed of one process

var viewGoroutines = regexp.MustCompile(`msg=view .*goroutines=(\d+)`)

// holding looks what the process holds; its goroutines by what it has logged after so many views.
func (r *processRun) measureResources(views int) (h resources, more int, err error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil {
		return h, 0, err
	}
	text, err := os.ReadFile(r.logFile)
	if err != nil {
		return h, 0, err
	}
	said := viewGoroutines.FindAllSubmatch(text, -1)
	h.descriptors = len(all)
	if len(said) > views {
		h.goroutines, err = strconv.Atoi(string(said[len(said)-1][1]))
	}
	return h, len(said), err
}

// viewEvery is how often a marshal logs its view.
const viewInterval = time.Second

// steadyFor is for how long what a process holds has to stay the same to be what it holds at rest: longer than a stream that broke takes to
// be open again.
const steadyTime = 100 * time.Millisecond

// atRest is what the process holds before anybody has asked it.
func (r *processRun) resourcesAtRest() (rest resources, err error) {
	for end := time.Now().Add(3 * viewInterval); time.Now().Before(end); time.Sleep(steadyTime) {
		h, views, err := r.measureResources(0)
		if err != nil || views > 0 && h == rest {
			return h, err
		}
		rest = h
	}
	return resources{}, errors.New("it logs no view, or what it holds does not stay the same")
}

// leftOver looks whether the process holds more than at rest, once connections to nodes have had their time.
func (r *processRun) checkLeak(rest resources) error {
	idle := r.m.run.plan.NodeIdleTimeout
	if idle > maxCountedLimit { // they may stay
		return nil
	}
	_, before, err := r.measureResources(0)
	if err != nil {
		return err
	}
	var now resources
	for end := time.Now().Add(idle + 4*viewInterval); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r.cmd.Process.Signal(syscall.SIGUSR1) // the log may have been told to say less
		var views int
		if now, views, err = r.measureResources(before); err != nil {
			return err
		}
		if views > before && now.descriptors <= rest.descriptors && now.goroutines <= rest.goroutines {
			return nil
		}
	}
	return fmt.Errorf("it holds %+v, and held %+v at rest", now, rest)
}
