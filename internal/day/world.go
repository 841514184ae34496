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

// Options is how a day is played.
type Options struct {
	Scenario      *settings.Day
	Seed          uint64
	Dir           string // of the records
	InjectFault   string // the rule that the marshals are made to break
	Binary        string // plays marshals and nodes as processes of this program; empty: in this process
	RecordModules bool   // the marshals record what their modules are told and ask for
	Logger        *slog.Logger
	Progressf     func(format string, a ...any) // what happens, as it happens; nil for nothing
}

// Result is a day, audited.
type Result struct {
	Seed uint64 `json:"seed"`
	*audit.Report
	Builds []string `json:"builds"`
	Events []string `json:"events"`
	Dir    string   `json:"dir,omitempty"`
	// MaxSchedulingDelayMs is the longest that this process was held up: rules bound to times say little beyond it.
	MaxSchedulingDelayMs float64 `json:"held_up_ms"`
}

// testbed is what a day is played with.
type testbed struct {
	Options
	rules     *settings.Rules
	seen      *record.Writer
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     tasks
	startTime time.Time
	registry  *standin.Roster
	rollout   *standin.Conveyor
	marshals  []*testMarshal
	clients   *clients
	hooks     serve.Hooks

	extraRegistryDelay, extraRolloutDelay atomic.Int64

	mu              sync.Mutex
	slots           []*slot
	nodes           []node                  // all that ever ran, those that drain among them
	builds          map[int]*settings.Build // by build
	lastNodeID      uint32
	lastIncarnation uint64
	events          []string
	closed          bool

	delayMu   sync.Mutex
	delayRand *rand.Rand // of lags
}

// slot is a place in the fleet: a machine that runs one node after the other.
type slot struct {
	number, zone int
	speed        float64
	node         node
	entry        control.Line
	ver, wantVer int
	replacing    bool // being replaced
	down         bool // killed by a trouble
}

// tasks are what goes on in the background. Once they are waited for, none begins any more: what would begin then has nobody left to
// wait for it (the race detector found that of the stand-in conveyor, which goes on for a moment after the end).
type tasks struct {
	mu    sync.Mutex
	ended bool
	wg    sync.WaitGroup
}

func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.wg.Go(f)
	}
}

func (t *tasks) closeAndWait() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.wg.Wait()
}

func (w *testbed) goTask(f func()) { w.tasks.start(f) }

// after does something later, unless the day is over by then.
func (w *testbed) after(d time.Duration, f func()) {
	w.goTask(func() {
		select {
		case <-time.After(d):
			f()
		case <-w.ctx.Done():
		}
	})
}

func (w *testbed) logEvent(format string, a ...any) {
	line := fmt.Sprintf("%5.1f s  ", time.Since(w.startTime).Seconds()) + fmt.Sprintf(format, a...)
	w.mu.Lock()
	w.events = append(w.events, line)
	w.mu.Unlock()
	if w.Progressf != nil {
		w.Progressf("%s", line)
	}
}

func (w *testbed) record(s *record.Seen) {
	if s.AtUs == 0 {
		s.AtUs = time.Now().UnixMicro()
	}
	w.seen.Write(s)
}

// Run plays a day and audits it.
func Run(ctx context.Context, o Options) (*Result, error) {
	hooks, err := plant.Hooks(o.InjectFault)
	if err != nil {
		return nil, err
	}
	if o.InjectFault != "" && o.Binary != "" {
		return nil, fmt.Errorf("a fault can be planted only where marshals run in this process")
	}
	switch o.InjectFault { // what the fault needs to show; a marshal without it keeps the rules on such a day too
	case audit.RuleForwardOnly:
		o.Scenario.Settings.Rollout.ForwardOnly = true
	case audit.RuleColdNodes:
		o.Scenario.Settings.Rules.FallMultiple = 1
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	w := &testbed{Options: o, rules: o.Scenario.Settings.Rules, hooks: hooks, startTime: time.Now(), builds: map[int]*settings.Build{},
		lastNodeID: 100, delayRand: rand.New(rand.NewPCG(o.Seed, 1))}
	w.ctx, w.cancel = context.WithCancel(ctx)
	defer w.cancel()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "settings.txtpb"), o.Scenario.Settings.Text(), 0o644); err != nil {
		return nil, err
	}
	if w.seen, err = record.Create(filepath.Join(o.Dir, "day.seen"), 0); err != nil {
		return nil, err
	}
	heldUp := schedlag.Watch()
	err = w.run()
	w.shutdown()
	lag := heldUp()
	if err != nil {
		return nil, err
	}
	report, err := audit.CheckDir(o.Dir)
	if err != nil {
		return nil, err
	}
	out := &Result{Seed: o.Seed, Report: report, Events: w.events, Dir: o.Dir, MaxSchedulingDelayMs: float64(lag.Microseconds()) / 1000}
	_, _, _, out.Builds = w.rollout.State()
	return out, nil
}

func (w *testbed) delay(plan float64, extra *atomic.Int64) func() time.Duration {
	return func() time.Duration {
		w.delayMu.Lock()
		defer w.delayMu.Unlock()
		return time.Duration(plan*(0.5+w.delayRand.Float64())*float64(time.Millisecond)) + time.Duration(extra.Load())
	}
}

func (w *testbed) setExtraDelay(extra *atomic.Int64, d time.Duration) { extra.Store(int64(d)) }

func (w *testbed) run() error {
	p := w.Scenario
	w.registry = &standin.Roster{Lag: w.delay(p.RosterLagMs, &w.extraRegistryDelay), Seen: w.record}
	if err := w.registry.Start("127.0.0.1:0"); err != nil {
		return err
	}
	w.rollout = &standin.Conveyor{Rollout: p.Settings.Rollout, Lag: w.delay(p.ConveyorLagMs, &w.extraRolloutDelay),
		Every: 2 * time.Second, Seen: w.record, Fleet: w.deployBuild, Back: w.rollBackBuild}
	if err := w.rollout.Start("127.0.0.1:0", 1); err != nil {
		return err
	}
	var starts sync.WaitGroup
	errs := make(chan error, int(p.Nodes)+int(p.Marshals))
	for i := range int(p.Nodes) {
		s := &slot{number: i, zone: i % len(p.Settings.Zone), speed: p.Speed[i%len(p.Speed)], ver: 1, wantVer: 1}
		w.slots = append(w.slots, s)
		starts.Go(func() {
			if err := w.startNode(s, true); err != nil {
				errs <- err
			}
		})
	}
	starts.Wait()
	for i := range int(p.Marshals) {
		m, err := w.newMarshal(i)
		if err != nil {
			return err
		}
		w.marshals = append(w.marshals, m)
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
	w.startTime = time.Now()
	w.clients = newClients(w)
	w.scheduleScript()
	w.clients.run(w.ctx, time.Duration(p.Seconds*float64(time.Second)))
	return w.ctx.Err()
}

// scheduleScript sets the troubles and builds of the plan on their times.
func (w *testbed) scheduleScript() {
	for i, t := range w.Scenario.Trouble {
		rnd := rand.New(rand.NewPCG(w.Seed, uint64(i)+100))
		w.after(seconds(t.AtS), func() {
			w.logEvent("%s %s begins", t.Kind, t.How)
			end := faultKinds[t.Kind].start(w, t, rnd)
			select {
			case <-time.After(seconds(t.ForS)):
			case <-w.ctx.Done():
			}
			end()
			w.logEvent("%s ends", t.Kind)
		})
	}
	for i, b := range w.Scenario.Build {
		ver := i + 2
		w.builds[ver] = b
		w.after(seconds(b.AtS), func() {
			w.logEvent("build %d is offered (%s)", ver, describeBuild(b))
			w.rollout.Offer(ver)
		})
		if b.Shared > 0 {
			w.goTask(func() { w.slowAllNodes(ver, b.Shared) })
		}
	}
	w.goTask(w.reportBuildStats)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func describeBuild(b *settings.Build) string {
	if b.Fault == nil && b.Shared == 0 {
		return "good"
	}
	return "bad: " + strings.TrimSpace(fmt.Sprint(b.Fault, " shared ", b.Shared))
}

// slowAllNodes slows all nodes in step with the traffic that a build gets.
func (w *testbed) slowAllNodes(ver int, times float64) {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
		w.mu.Lock()
		var with, all float64
		for _, s := range w.slots {
			all++
			if s.ver == ver && !s.down {
				with++
			}
		}
		slots := slices.Clone(w.slots)
		w.mu.Unlock()
		for _, s := range slots {
			w.command(s, fmt.Sprintf("slow %g", 1+(times-1)*with/all))
		}
	}
}

// reportBuildStats has the conveyor tell what a part of all dispatches came to.
func (w *testbed) reportBuildStats() {
	period := w.Scenario.Settings.Rollout.TallyMs
	if period <= 0 || w.Binary != "" {
		return
	}
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(time.Duration(period * float64(time.Millisecond))):
		}
		type of struct{ ver, op int }
		sums := map[of]standin.Count{}
		w.mu.Lock()
		for _, s := range w.slots {
			if n, ok := s.node.(*standin.Node); ok {
				for op, c := range n.Counts() {
					k := of{n.Ver, op}
					sum := sums[k]
					sum.Samples, sum.Errors, sum.Time = sum.Samples+c.Samples, sum.Errors+c.Errors, sum.Time+c.Time
					sums[k] = sum
				}
			}
		}
		w.mu.Unlock()
		for k, c := range sums {
			w.rollout.Tally(k.ver, k.op, c, 0)
		}
	}
}

// startNode runs a node on a slot and puts it on the roster; old nodes have run for a long time.
func (w *testbed) startNode(s *slot, old bool) error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	if old || s.entry.ID == 0 {
		w.lastNodeID++
		s.entry.ID = w.lastNodeID
	}
	w.lastIncarnation++
	set := &settings.Standin{Node: s.entry.ID, Ver: int32(s.ver), Zone: int32(s.zone), Cores: w.Scenario.Cores, Speed: s.speed,
		Queue: 200, Seed: w.Seed + w.lastIncarnation}
	up := time.Hour
	s.entry.Up = 0
	if !old {
		set.Rules, up, s.entry.Up = w.rules, 0, 1
	}
	if b := w.builds[s.ver]; b != nil {
		set.Build = b.Fault
	}
	inc := w.lastIncarnation
	w.mu.Unlock()
	n, err := w.launchNode(set)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.node = n
	w.nodes = append(w.nodes, n)
	s.entry = control.Line{Node: balance.Node{ID: set.Node, Ver: s.ver, Zone: s.zone, Size: s.speed * float64(w.Scenario.Cores)},
		Address: n.Address(), Incarnation: inc, Up: s.entry.Up}
	w.registry.Set(s.entry, up)
	return nil
}

// deployBuild brings a part of the slots to a build.
func (w *testbed) deployBuild(ver int, part float64) (ready func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := int(math.Ceil(part * float64(len(w.slots))))
	order := rand.New(rand.NewPCG(w.Seed, 7)).Perm(len(w.slots))
	for _, i := range order[:most] {
		w.slots[i].wantVer = ver
		w.replaceNode(w.slots[i])
	}
	some := order[:most]
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(some, func(i int) bool { return w.slots[i].ver != ver || w.slots[i].replacing })
	}
}

// rollBackBuild brings every slot that runs a build, or is to, back to the build released last.
func (w *testbed) rollBackBuild(ver int) {
	to := 0
	for v := range w.rollout.Released {
		if v != ver && !w.rollout.Taken[v] {
			to = max(to, v)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.slots {
		if s.wantVer == ver {
			s.wantVer = to
			w.replaceNode(s)
		}
	}
}

// replaceNode starts a slot's next node and then drains the one before; w.mu is held.
func (w *testbed) replaceNode(s *slot) {
	if s.replacing || s.wantVer == s.ver {
		return
	}
	s.replacing = true
	w.after(time.Duration(w.Scenario.StartMs)*time.Millisecond, func() {
		w.mu.Lock()
		if s.down {
			s.replacing = false // it comes up as what is wanted
			w.mu.Unlock()
			return
		}
		before, line := s.node, s.entry
		s.ver, s.entry.ID = s.wantVer, 0
		w.mu.Unlock()
		if err := w.startNode(s, false); err != nil {
			w.logEvent("%v", err)
			return
		}
		line.Health = balance.Draining
		w.registry.Set(line, 0)
		w.after(time.Duration(w.Scenario.DrainMs)*time.Millisecond, func() {
			line.Health = balance.Gone
			w.registry.Set(line, 0)
			before.Kill()
		})
		w.mu.Lock()
		s.replacing = false
		w.replaceNode(s) // the wish may have changed meanwhile
		w.mu.Unlock()
	})
}

func (w *testbed) allSlots() []*slot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.slots)
}

// pickSlots picks a part of the slots, one at least.
func (w *testbed) pickSlots(part float64, rnd *rand.Rand) (some []*slot) {
	all := w.allSlots()
	for _, i := range rnd.Perm(len(all))[:min(len(all), max(1, int(part*float64(len(all))+0.5)))] {
		some = append(some, all[i])
	}
	return some
}

func (w *testbed) command(s *slot, line string) {
	w.mu.Lock()
	n := s.node
	w.mu.Unlock()
	if err := n.Do(line); err != nil {
		w.logEvent("%v", err)
	}
}

// killNode ends a slot's node; the roster hears that its process is gone.
func (w *testbed) killNode(s *slot) {
	w.mu.Lock()
	n, line := s.node, s.entry
	s.down = true
	w.mu.Unlock()
	n.Kill()
	line.Health = balance.Gone
	w.registry.Set(line, 0)
}

// restartNode starts a killed slot's node again, cold, as the build that is wanted by now.
func (w *testbed) restartNode(s *slot) {
	w.mu.Lock()
	s.down = false
	s.ver = s.wantVer
	w.mu.Unlock()
	if err := w.startNode(s, false); err != nil {
		w.logEvent("%v", err)
	}
}

// shutdown ends everything, in the order in which nothing hangs.
func (w *testbed) shutdown() {
	w.cancel()
	w.tasks.closeAndWait()
	for _, m := range w.marshals {
		m.shutdown()
		m.reservation.Release()
	}
	if w.clients != nil {
		w.clients.closeIdle()
	}
	w.mu.Lock()
	w.closed = true
	all := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range all {
		n.Kill()
	}
	if w.rollout != nil {
		w.rollout.Close()
	}
	if w.registry != nil {
		w.registry.Close()
	}
	w.seen.Close()
}
