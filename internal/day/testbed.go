package day

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/audit"
	"arrowcleat/internal/control"
	"arrowcleat/internal/plant"
	"arrowcleat/internal/record"
	"arrowcleat/internal/schedlag"
	"arrowcleat/internal/serve"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// Options are the options of a run.
type Options struct {
	Scenario      *settings.Day
	Seed          uint64
	Dir           string // for the records
	InjectFault   string // to inject into the marshals, one of plant.Faults; empty for none
	Binary        string // this program, to run marshals and nodes as processes of their own; empty: in this process
	RecordModules bool   // the marshals record the events and calls of their modules
	Logger        *slog.Logger
	Progressf     func(format string, a ...any) // called with each event of the run; may be nil
}

// Result is the result of a run with its audit.
type Result struct {
	Seed uint64 `json:"seed"`
	*audit.Report
	Builds []string `json:"builds"`
	Events []string `json:"events"`
	Dir    string   `json:"dir,omitempty"`
	// MaxSchedulingDelayMs is the longest time for which this process was not scheduled. Checks of times are unreliable
	// where it is large.
	MaxSchedulingDelayMs float64 `json:"held_up_ms"`
}

// testbed holds everything that takes part in a run.
type testbed struct {
	Options
	rules     *settings.Rules
	seen      *record.Writer
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     tasks
	startTime time.Time
	registry  *standin.Registry
	rollout   *standin.RolloutService
	marshals  []*testMarshal
	clients   *clients
	hooks     serve.Hooks

	extraRegistryDelay, extraRolloutDelay atomic.Int64

	mu              sync.Mutex
	slots           []*slot
	nodes           []node                  // all that were ever started, also those that drain
	builds          map[int]*settings.Build // by build number
	lastNodeID      uint32
	lastIncarnation uint64
	events          []string
	closed          bool

	delayMu   sync.Mutex
	delayRand *rand.Rand
}

// slot is a machine of the fleet, which runs one node after the other.
type slot struct {
	number, zone int
	speed        float64
	node         node
	entry        control.NodeEntry
	ver, wantVer int
	replacing    bool // its node is being replaced
	down         bool // its node was killed by a fault
}

// tasks are background goroutines. No task starts once closeAndWait has been called, since nothing would wait for it.
// Without this the race detector found the stand-in rollout service starting tasks shortly after the end of a run.
type tasks struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

func (t *tasks) closeAndWait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

// goTask starts a background task, unless the run has ended.
func (tb *testbed) goTask(f func()) { tb.tasks.start(f) }

// after calls f after a delay, unless the run has ended by then.
func (tb *testbed) after(d time.Duration, f func()) {
	tb.goTask(func() {
		select {
		case <-time.After(d):
			f()
		case <-tb.ctx.Done():
		}
	})
}

// logEvent adds a line to the events of the run.
func (tb *testbed) logEvent(format string, a ...any) {
	line := fmt.Sprintf("%5.1f s  ", time.Since(tb.startTime).Seconds()) + fmt.Sprintf(format, a...)
	tb.mu.Lock()
	tb.events = append(tb.events, line)
	tb.mu.Unlock()
	if tb.Progressf != nil {
		tb.Progressf("%s", line)
	}
}

// record writes an observation to the record of the run.
func (tb *testbed) record(s *record.Seen) {
	if s.AtUs == 0 {
		s.AtUs = time.Now().UnixMicro()
	}
	tb.seen.Write(s)
}

// Run runs a scenario and audits its records.
func Run(ctx context.Context, o Options) (*Result, error) {
	hooks, err := plant.Hooks(o.InjectFault)
	if err != nil {
		return nil, err
	}
	if o.InjectFault != "" && o.Binary != "" {
		return nil, fmt.Errorf("faults can be injected only into marshals that run in this process")
	}
	switch o.InjectFault { // the settings that make the fault visible; correct marshals keep the rules with them too
	case audit.RuleForwardOnly:
		o.Scenario.Settings.Rollout.ForwardOnly = true
	case audit.RuleColdNodes:
		o.Scenario.Settings.Rules.FallMultiple = 1
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	tb := &testbed{Options: o, rules: o.Scenario.Settings.Rules, hooks: hooks, startTime: time.Now(),
		builds: map[int]*settings.Build{}, lastNodeID: 100, delayRand: rand.New(rand.NewPCG(o.Seed, 1))}
	tb.ctx, tb.cancel = context.WithCancel(ctx)
	defer tb.cancel()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "settings.txtpb"), o.Scenario.Settings.Text(), 0o644); err != nil {
		return nil, err
	}
	if tb.seen, err = record.Create(filepath.Join(o.Dir, "day.seen"), 0); err != nil {
		return nil, err
	}
	longestDelay := schedlag.Watch()
	err = tb.run()
	tb.shutdown()
	schedulingDelay := longestDelay()
	if err != nil {
		return nil, err
	}
	report, err := audit.CheckDir(o.Dir)
	if err != nil {
		return nil, err
	}
	out := &Result{Seed: o.Seed, Report: report, Events: tb.events, Dir: o.Dir,
		MaxSchedulingDelayMs: float64(schedulingDelay.Microseconds()) / 1000}
	_, _, _, out.Builds = tb.rollout.State()
	return out, nil
}

// delay returns a function that draws the delay of a stand-in's update: around a mean in ms, plus an extra delay.
func (tb *testbed) delay(meanMs float64, extra *atomic.Int64) func() time.Duration {
	return func() time.Duration {
		tb.delayMu.Lock()
		defer tb.delayMu.Unlock()
		return time.Duration(meanMs*(0.5+tb.delayRand.Float64())*float64(time.Millisecond)) + time.Duration(extra.Load())
	}
}

func (tb *testbed) setExtraDelay(extra *atomic.Int64, d time.Duration) { extra.Store(int64(d)) }

// run starts everything and runs the scenario to its end.
func (tb *testbed) run() error {
	p := tb.Scenario
	tb.registry = &standin.Registry{Delay: tb.delay(p.RosterLagMs, &tb.extraRegistryDelay), Record: tb.record}
	if err := tb.registry.Start("127.0.0.1:0"); err != nil {
		return err
	}
	tb.rollout = &standin.RolloutService{Rollout: p.Settings.Rollout, Delay: tb.delay(p.ConveyorLagMs, &tb.extraRolloutDelay),
		ResendInterval: 2 * time.Second, Record: tb.record, Deploy: tb.deployBuild, Undeploy: tb.rollBackBuild}
	if err := tb.rollout.Start("127.0.0.1:0", 1); err != nil {
		return err
	}
	var starts sync.WaitGroup
	errs := make(chan error, int(p.Nodes)+int(p.Marshals))
	for i := range int(p.Nodes) {
		s := &slot{number: i, zone: i % len(p.Settings.Zone), speed: p.Speed[i%len(p.Speed)], ver: 1, wantVer: 1}
		tb.slots = append(tb.slots, s)
		starts.Go(func() {
			if err := tb.startNode(s, true); err != nil {
				errs <- err
			}
		})
	}
	starts.Wait()
	for i := range int(p.Marshals) {
		m, err := tb.newMarshal(i)
		if err != nil {
			return err
		}
		tb.marshals = append(tb.marshals, m)
		starts.Go(func() {
			if err := m.start(); err != nil {
				errs <- err
			}
		})
	}
	starts.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	time.Sleep(2 * time.Duration(p.RosterLagMs+p.ConveyorLagMs) * time.Millisecond)
	tb.startTime = time.Now()
	tb.clients = newClients(tb)
	tb.scheduleScript()
	tb.clients.run(tb.ctx, time.Duration(p.Seconds*float64(time.Second)))
	return tb.ctx.Err()
}

// scheduleScript schedules the faults and builds of the scenario.
func (tb *testbed) scheduleScript() {
	for i, t := range tb.Scenario.Trouble {
		rnd := rand.New(rand.NewPCG(tb.Seed, uint64(i)+100))
		tb.after(seconds(t.AtS), func() {
			tb.logEvent("%s %s begins", t.Kind, t.How)
			end := faultKinds[t.Kind].start(tb, t, rnd)
			select {
			case <-time.After(seconds(t.ForS)):
			case <-tb.ctx.Done():
			}
			end()
			tb.logEvent("%s ends", t.Kind)
		})
	}
	for i, b := range tb.Scenario.Build {
		ver := i + 2
		tb.builds[ver] = b
		tb.after(seconds(b.AtS), func() {
			tb.logEvent("build %d is offered (%s)", ver, describeBuild(b))
			tb.rollout.StartRollout(ver)
		})
		if b.Shared > 0 {
			tb.goTask(func() { tb.slowAllNodes(ver, b.Shared) })
		}
	}
	tb.goTask(tb.reportBuildStats)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func describeBuild(b *settings.Build) string {
	if b.Fault == nil && b.Shared == 0 {
		return "good"
	}
	return "bad: " + strings.TrimSpace(fmt.Sprint(b.Fault, " shared ", b.Shared))
}

// slowAllNodes slows all nodes in proportion to the share of slots that run a build, up to a factor.
func (tb *testbed) slowAllNodes(ver int, factor float64) {
	for {
		select {
		case <-tb.ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
		tb.mu.Lock()
		var with, all float64
		for _, s := range tb.slots {
			all++
			if s.ver == ver && !s.down {
				with++
			}
		}
		slots := slices.Clone(tb.slots)
		tb.mu.Unlock()
		for _, s := range slots {
			tb.command(s, fmt.Sprintf("slow %g", 1+(factor-1)*with/all))
		}
	}
}

// reportBuildStats has the rollout service report statistics of the dispatches to each build.
func (tb *testbed) reportBuildStats() {
	period := tb.Scenario.Settings.Rollout.TallyMs
	if period <= 0 || tb.Binary != "" {
		return
	}
	for {
		select {
		case <-tb.ctx.Done():
			return
		case <-time.After(time.Duration(period * float64(time.Millisecond))):
		}
		type scope struct{ ver, op int }
		sums := map[scope]standin.OperationStats{}
		tb.mu.Lock()
		for _, s := range tb.slots {
			if n, ok := s.node.(*standin.Node); ok {
				for op, c := range n.TakeStats() {
					k := scope{n.Ver, op}
					sum := sums[k]
					sum.Samples, sum.Errors, sum.TotalMs = sum.Samples+c.Samples, sum.Errors+c.Errors, sum.TotalMs+c.TotalMs
					sums[k] = sum
				}
			}
		}
		tb.mu.Unlock()
		for k, c := range sums {
			tb.rollout.SendBuildStats(k.ver, k.op, c, 0)
		}
	}
}

// startNode starts a node on a slot and registers it. A warm node is registered as started long ago.
func (tb *testbed) startNode(s *slot, warm bool) error {
	tb.mu.Lock()
	if tb.closed {
		tb.mu.Unlock()
		return nil
	}
	if warm || s.entry.ID == 0 {
		tb.lastNodeID++
		s.entry.ID = tb.lastNodeID
	}
	tb.lastIncarnation++
	set := &settings.Standin{Node: s.entry.ID, Ver: int32(s.ver), Zone: int32(s.zone), Cores: tb.Scenario.Cores, Speed: s.speed,
		Queue: 200, Seed: tb.Seed + tb.lastIncarnation}
	up := time.Hour
	s.entry.UptimeMs = 0
	if !warm {
		set.Rules, up, s.entry.UptimeMs = tb.rules, 0, 1
	}
	if b := tb.builds[s.ver]; b != nil {
		set.Build = b.Fault
	}
	inc := tb.lastIncarnation
	tb.mu.Unlock()
	n, err := tb.launchNode(set)
	if err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	s.node = n
	tb.nodes = append(tb.nodes, n)
	s.entry = control.NodeEntry{
		Node:    balance.Node{ID: set.Node, Ver: s.ver, Zone: s.zone, Size: s.speed * float64(tb.Scenario.Cores)},
		Address: n.Address(), Incarnation: inc, UptimeMs: s.entry.UptimeMs}
	tb.registry.Set(s.entry, up)
	return nil
}

// deployBuild brings a share of the slots to a build; ready reports whether all of them run it.
func (tb *testbed) deployBuild(ver int, share float64) (ready func() bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	count := int(math.Ceil(share * float64(len(tb.slots))))
	order := rand.New(rand.NewPCG(tb.Seed, 7)).Perm(len(tb.slots))
	for _, i := range order[:count] {
		tb.slots[i].wantVer = ver
		tb.replaceNode(tb.slots[i])
	}
	some := order[:count]
	return func() bool {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		return !slices.ContainsFunc(some, func(i int) bool { return tb.slots[i].ver != ver || tb.slots[i].replacing })
	}
}

// rollBackBuild brings all slots that run a build, or are to run it, back to the last released build.
func (tb *testbed) rollBackBuild(ver int) {
	to := 0
	for v := range tb.rollout.Released {
		if v != ver && !tb.rollout.RolledBack[v] {
			to = max(to, v)
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.slots {
		if s.wantVer == ver {
			s.wantVer = to
			tb.replaceNode(s)
		}
	}
}

// replaceNode starts the next node of a slot and then drains the current one; tb.mu is held.
func (tb *testbed) replaceNode(s *slot) {
	if s.replacing || s.wantVer == s.ver {
		return
	}
	s.replacing = true
	tb.after(time.Duration(tb.Scenario.StartMs)*time.Millisecond, func() {
		tb.mu.Lock()
		if s.down {
			s.replacing = false // restartNode will start the wanted build
			tb.mu.Unlock()
			return
		}
		previous, entry := s.node, s.entry
		s.ver, s.entry.ID = s.wantVer, 0
		tb.mu.Unlock()
		if err := tb.startNode(s, false); err != nil {
			tb.logEvent("%v", err)
			return
		}
		entry.Health = balance.Draining
		tb.registry.Set(entry, 0)
		tb.after(time.Duration(tb.Scenario.DrainMs)*time.Millisecond, func() {
			entry.Health = balance.Gone
			tb.registry.Set(entry, 0)
			previous.Kill()
		})
		tb.mu.Lock()
		s.replacing = false
		tb.replaceNode(s) // the wanted build may have changed meanwhile
		tb.mu.Unlock()
	})
}

func (tb *testbed) allSlots() []*slot {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.Clone(tb.slots)
}

// pickSlots picks a random share of the slots, at least one.
func (tb *testbed) pickSlots(share float64, rnd *rand.Rand) (some []*slot) {
	all := tb.allSlots()
	for _, i := range rnd.Perm(len(all))[:min(len(all), max(1, int(share*float64(len(all))+0.5)))] {
		some = append(some, all[i])
	}
	return some
}

// command has the node of a slot run a command.
func (tb *testbed) command(s *slot, line string) {
	tb.mu.Lock()
	n := s.node
	tb.mu.Unlock()
	if err := n.Do(line); err != nil {
		tb.logEvent("%v", err)
	}
}

// killNode kills the node of a slot and reports to the registry that it is gone.
func (tb *testbed) killNode(s *slot) {
	tb.mu.Lock()
	n, entry := s.node, s.entry
	s.down = true
	tb.mu.Unlock()
	n.Kill()
	entry.Health = balance.Gone
	tb.registry.Set(entry, 0)
}

// restartNode starts a node of the wanted build, which has to warm up, on the slot of a killed one.
func (tb *testbed) restartNode(s *slot) {
	tb.mu.Lock()
	s.down = false
	s.ver = s.wantVer
	tb.mu.Unlock()
	if err := tb.startNode(s, false); err != nil {
		tb.logEvent("%v", err)
	}
}

// shutdown stops everything, in an order in which nothing waits for what has been stopped already.
func (tb *testbed) shutdown() {
	tb.cancel()
	tb.tasks.closeAndWait()
	for _, m := range tb.marshals {
		m.shutdown()
		m.reservation.Release()
	}
	if tb.clients != nil {
		tb.clients.closeIdle()
	}
	tb.mu.Lock()
	tb.closed = true
	all := slices.Clone(tb.nodes)
	tb.mu.Unlock()
	for _, n := range all {
		n.Kill()
	}
	if tb.rollout != nil {
		tb.rollout.Close()
	}
	if tb.registry != nil {
		tb.registry.Close()
	}
	tb.seen.Close()
}
