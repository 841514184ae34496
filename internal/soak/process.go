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

// processRun is a running process of a marshal, with its clients.
type processRun struct {
	Process
	m              *marshalRun
	logFile        string
	cmd            *exec.Cmd
	exited         chan struct{} // closed when the process has ended
	exitErr        error         // set before exited is closed
	clients        sync.WaitGroup
	loadEnded      chan struct{} // closed when clients send no more requests
	endLoadOnce    sync.Once
	connectUntilNs atomic.Int64 // Unix time until which clients open new connections, 0 for no end
	killed         atomic.Bool
	killedAtNs     atomic.Int64 // Unix time of a kill that came after TERM, 0 for none
	// Connections that may delay the end of the process: those on which no whole request was sent, and those that wait
	// for an answer.
	incompleteConns, openRequests atomic.Int64
}

// FaultSeedEnv is the environment variable with the seed of a process's machine faults. Without it the machine has
// none.
const FaultSeedEnv = "ARROWCLEAT_FAULT_SEED"

// start starts the process. The entries of the agent and the configuration are recorded as received at its start.
func (m *marshalRun) start(number int, plan Process) (*processRun, error) {
	file := filepath.Join(m.run.dir, fmt.Sprintf("marshal-%d-life-%d.log", m.number, number))
	log, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if number > 0 { // writes to the process before would be recorded as received by this one
		m.agent.Close()
		m.api.Close()
	}
	if err := m.renewServices(); err != nil {
		return nil, err
	}
	r := &processRun{Process: plan, m: m, logFile: file, exited: make(chan struct{}), loadEnded: make(chan struct{})}
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
	go func() { r.exitErr = r.cmd.Wait(); close(r.exited) }()
	return r, nil
}

// awaitReady waits until the marshal answers health checks.
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
			return fmt.Errorf("the process ended before it was ready: %w", r.exitErr)
		default:
		}
	}
	return fmt.Errorf("the process was not ready within %v", readyTimeout)
}

// errOtherListener is the error of a marshal whose address another process listens at.
var errOtherListener = errors.New("another process listens at the marshal's address")

// checkListener checks that this process listens at the marshal's address.
func (r *processRun) checkListener() error {
	own, err := loopback.IsListening(r.cmd.Process.Pid, r.m.address)
	if err == nil && !own {
		err = errOtherListener
	}
	return err
}

// loadOver reports whether clients send no more requests.
func (r *processRun) loadOver() bool {
	select {
	case <-r.loadEnded:
		return true
	default:
		return false
	}
}

// endLoad has clients send no more requests.
func (r *processRun) endLoad() { r.endLoadOnce.Do(func() { close(r.loadEnded) }) }

// wait waits for a time, or until the load ends.
func (r *processRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.loadEnded:
	}
}

// mayConnect reports whether clients still open new connections.
func (r *processRun) mayConnect() bool {
	until := r.connectUntilNs.Load()
	return !r.loadOver() && (until == 0 || time.Now().UnixNano() < until)
}

// runProcess runs one process from its start to its end.
func (m *marshalRun) runProcess(number int, plan Process) error {
	r, err := m.start(number, plan)
	if err != nil {
		return err
	}
	defer func() {
		r.endLoad()
		r.clients.Wait()
		r.checkLog()
	}()
	if plan.End == EndBeforeReady {
		return r.endBeforeReady()
	}
	if err := r.awaitReady(); err != nil {
		r.kill()
		return err
	}
	var atRest resources
	if plan.End == EndIdle {
		if atRest, err = r.resourcesAtRest(); err != nil {
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
	if err := r.runLoad(ready); err != nil {
		return err
	}
	switch plan.End {
	case EndKill:
		r.kill()
		return nil
	case EndIdle:
		r.endLoad()
		r.clients.Wait()
		if err := r.checkLeak(atRest); err != nil {
			m.run.addFinding("marshal %d, process %d: %v", m.number, number, err)
		}
		return r.terminate()
	}
	return r.terminate()
}

// osSignals maps names of signals to what is sent.
var osSignals = map[string]syscall.Signal{HUP: syscall.SIGHUP, Reload: syscall.SIGHUP, USR1: syscall.SIGUSR1,
	USR2: syscall.SIGUSR2}

// runLoad sends the signals of the plan while clients send requests, and waits for the end of the load.
func (r *processRun) runLoad(ready time.Time) error {
	if err := r.sendSignals(r.Signals, ready); err != nil {
		return err
	}
	time.Sleep(time.Until(ready.Add(r.LoadTime)))
	select {
	case <-r.exited:
		return fmt.Errorf("it crashed: %w", errors.Join(r.exitErr, errors.New("before the end of its load")))
	default:
		return nil
	}
}

// sendSignals sends signals, each at its time after a moment.
func (r *processRun) sendSignals(signals []Signal, since time.Time) error {
	for _, s := range signals {
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

// kill kills the process, and then ends the load.
func (r *processRun) kill() {
	r.killed.Store(true)
	r.m.record("killed")
	r.cmd.Process.Kill()
	<-r.exited
	r.endLoad()
}

// terminate ends the process with TERM, and with KILL at the earliest time that the protocol allows. Until then clients
// go on.
func (r *processRun) terminate() error {
	r.m.record("stopping")
	termAt := time.Now()
	r.connectUntilNs.Store(termAt.Add(r.ConnectAfterTerm).UnixNano())
	r.cmd.Process.Signal(syscall.SIGTERM)
	if r.HangNodes {
		r.m.run.testbed.hangingProcesses.Add(1)
		defer r.m.run.testbed.hangingProcesses.Add(-1)
	}
	if r.End == EndTermTwice {
		time.Sleep(r.TermDelay)
		r.cmd.Process.Signal(syscall.SIGTERM)
	}
	var signals sync.WaitGroup
	defer signals.Wait()
	signals.Go(func() { r.sendSignals(r.SignalsAfterTerm, termAt) }) // signals to a process that has ended are lost
	select {
	case <-r.exited:
		if r.exitErr != nil {
			return fmt.Errorf("it ended with %w after TERM", r.exitErr)
		}
	case <-time.After(time.Until(termAt.Add(r.m.run.plan.killAfter()))):
		openConns := r.incompleteConns.Load() + r.openRequests.Load()
		r.killedAtNs.Store(time.Now().UnixNano())
		r.kill()
		if openConns == 0 {
			return errors.New("it did not end by itself, though no connection waited for an answer")
		}
	}
	return nil
}

// endBeforeReady ends a process with TERM that may not be ready yet. Until it handles signals, TERM itself ends it.
func (r *processRun) endBeforeReady() error {
	time.Sleep(r.TermDelay)
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(r.m.run.plan.killAfter()):
		r.kill()
		return errors.New("it did not end after TERM")
	}
	if status, ok := r.cmd.ProcessState.Sys().(syscall.WaitStatus); r.exitErr != nil && !(ok && status.Signal() == syscall.SIGTERM) {
		return fmt.Errorf("it ended with %w after TERM", r.exitErr)
	}
	return nil
}

// resources counts what a process holds.
type resources struct{ descriptors, goroutines int }

// violationLines matches log lines of a broken invariant or of a goroutine that panicked.
var violationLines = regexp.MustCompile(`(?m)^.*level=ERROR msg="(a |the decision).*$`)

// checkLog adds the violation lines in the log of a process that has ended to the findings.
func (r *processRun) checkLog() {
	text, err := os.ReadFile(r.logFile)
	if err != nil {
		r.m.run.addFinding("reading the log: %v", err)
	}
	for i, line := range violationLines.FindAll(text, -1) {
		if i == maxViolations {
			break
		}
		r.m.run.addFinding("marshal %d logged %s", r.m.number, line)
	}
}

// maxViolations is the number of violation lines of one process that are reported.
const maxViolations = 5

// viewGoroutines matches the number of goroutines in a view, a line with the marshal's state.
var viewGoroutines = regexp.MustCompile(`msg=view .*goroutines=(\d+)`)

// measureResources returns the resources of the process and the number of views in its log. The goroutines are those of
// the last view, if there are more than viewsBefore.
func (r *processRun) measureResources(viewsBefore int) (held resources, views int, err error) {
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil {
		return held, 0, err
	}
	text, err := os.ReadFile(r.logFile)
	if err != nil {
		return held, 0, err
	}
	goroutines := viewGoroutines.FindAllSubmatch(text, -1)
	held.descriptors = len(descriptors)
	if len(goroutines) > viewsBefore {
		held.goroutines, err = strconv.Atoi(string(goroutines[len(goroutines)-1][1]))
	}
	return held, len(goroutines), err
}

// viewInterval is the time between two views that a marshal logs.
const viewInterval = time.Second

// steadyTime is the time for which the resources of a process have to stay the same to count as those at rest. It is
// longer than a broken stream takes to be reopened.
const steadyTime = 100 * time.Millisecond

// resourcesAtRest returns the resources of the process before it has received any request.
func (r *processRun) resourcesAtRest() (last resources, err error) {
	for end := time.Now().Add(3 * viewInterval); time.Now().Before(end); time.Sleep(steadyTime) {
		now, views, err := r.measureResources(0)
		if err != nil || views > 0 && now == last {
			return now, err
		}
		last = now
	}
	return resources{}, errors.New("it logged no view, or its descriptors and goroutines did not stay the same")
}

// checkLeak checks that the process holds no more than at rest, once idle connections to nodes have timed out.
func (r *processRun) checkLeak(atRest resources) error {
	idleTimeout := r.m.run.plan.NodeIdleTimeout
	if idleTimeout > maxCountedLimit { // the connections may stay open
		return nil
	}
	_, viewsBefore, err := r.measureResources(0)
	if err != nil {
		return err
	}
	var now resources
	for end := time.Now().Add(idleTimeout + 4*viewInterval); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r.cmd.Process.Signal(syscall.SIGUSR1) // raises the log level, which an earlier signal may have lowered
		var views int
		if now, views, err = r.measureResources(viewsBefore); err != nil {
			return err
		}
		if views > viewsBefore && now.descriptors <= atRest.descriptors && now.goroutines <= atRest.goroutines {
			return nil
		}
	}
	return fmt.Errorf("the process holds %+v, and held %+v at rest", now, atRest)
}
