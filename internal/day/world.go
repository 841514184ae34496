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
	Plan   *settings.Day
	Seed   uint64
	Dir    string // of the records
	Plant  string // the rule that the marshals are made to break
	Binary string // plays marshals and nodes as processes of this program; empty: in this process
	Record bool   // the marshals record what their modules are told and ask for
	Log    *slog.Logger
	Say    func(format string, a ...any) // what happens, as it happens; nil for nothing
}

// Outcome is a day, audited.
type Outcome struct {
	Seed uint64 `json:"seed"`
	*audit.Report
	Builds []string `json:"builds"`
	Events []string `json:"events"`
	Dir    string   `json:"dir,omitempty"`
	// HeldUpMs is the longest that this process was held up: rules bound to times say little beyond it.
	HeldUpMs float64 `json:"held_up_ms"`
}

// world is what a day is played with.
type world struct {
	Options
	rules    *settings.Rules
	w        *record.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    tasks
	begun    time.Time
	roster   *standin.Registry
	conveyor *standin.RolloutService
	marshals []*aMarshal
	clients  *clients
	hooks    serve.Hooks

	rosterLag, conveyorLag atomic.Int64

	mu     sync.Mutex
	slots  []*slot
	nodes  []node                  // all that ever ran, those that drain among them
	faults map[int]*settings.Build // by build
	nextID uint32
	inc    uint64
	events []string
	closed bool

	lagMu sync.Mutex
	rnd   *rand.Rand // of lags
}

// slot is a place in the fleet: a machine that runs one node after the other.
type slot struct {
	number, zone int
	speed        float64
	node         node
	line         control.NodeEntry
	ver, want    int
	busy         bool // being replaced
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

func (t *tasks) end() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.wg.Wait()
}

func (w *world) background(f func()) { w.tasks.start(f) }

// after does something later, unless the day is over by then.
func (w *world) after(d time.Duration, f func()) {
	w.background(func() {
		select {
		case <-time.After(d):
			f()
		case <-w.ctx.Done():
		}
	})
}

func (w *world) say(format string, a ...any) {
	line := fmt.Sprintf("%5.1f s  ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, a...)
	w.mu.Lock()
	w.events = append(w.events, line)
	w.mu.Unlock()
	if w.Say != nil {
		w.Say("%s", line)
	}
}

func (w *world) see(s *record.Seen) {
	if s.AtUs == 0 {
		s.AtUs = time.Now().UnixMicro()
	}
	w.w.Write(s)
}

// Run plays a day and audits it.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	hooks, err := plant.Hooks(o.Plant)
	if err != nil {
		return nil, err
	}
	if o.Plant != "" && o.Binary != "" {
		return nil, fmt.Errorf("a fault can be planted only where marshals run in this process")
	}
	switch o.Plant { // what the fault needs to show; a marshal without it keeps the rules on such a day too
	case audit.Forward:
		o.Plan.Settings.Rollout.ForwardOnly = true
	case audit.Cold:
		o.Plan.Settings.Rules.FallMultiple = 1
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	w := &world{Options: o, rules: o.Plan.Settings.Rules, hooks: hooks, begun: time.Now(), faults: map[int]*settings.Build{},
		nextID: 100, rnd: rand.New(rand.NewPCG(o.Seed, 1))}
	w.ctx, w.cancel = context.WithCancel(ctx)
	defer w.cancel()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "settings.txtpb"), o.Plan.Settings.Text(), 0o644); err != nil {
		return nil, err
	}
	if w.w, err = record.Create(filepath.Join(o.Dir, "day.seen"), 0); err != nil {
		return nil, err
	}
	heldUp := schedlag.Watch()
	err = w.play()
	w.stop()
	lag := heldUp()
	if err != nil {
		return nil, err
	}
	report, err := audit.Dir(o.Dir)
	if err != nil {
		return nil, err
	}
	out := &Outcome{Seed: o.Seed, Report: report, Events: w.events, Dir: o.Dir, HeldUpMs: float64(lag.Microseconds()) / 1000}
	_, _, _, out.Builds = w.conveyor.State()
	return out, nil
}

func (w *world) lag(plan float64, extra *atomic.Int64) func() time.Duration {
	return func() time.Duration {
		w.lagMu.Lock()
		defer w.lagMu.Unlock()
		return time.Duration(plan*(0.5+w.rnd.Float64())*float64(time.Millisecond)) + time.Duration(extra.Load())
	}
}

func (w *world) lagBy(extra *atomic.Int64, d time.Duration) { extra.Store(int64(d)) }

func (w *world) play() error {
	p := w.Plan
	w.roster = &standin.Registry{Delay: w.lag(p.RosterLagMs, &w.rosterLag), Record: w.see}
	if err := w.roster.Start("127.0.0.1:0"); err != nil {
		return err
	}
	w.conveyor = &standin.RolloutService{Rollout: p.Settings.Rollout, Delay: w.lag(p.ConveyorLagMs, &w.conveyorLag),
		ResendInterval: 2 * time.Second, Record: w.see, Deploy: w.fleet, Undeploy: w.takeBack}
	if err := w.conveyor.Start("127.0.0.1:0", 1); err != nil {
		return err
	}
	var starts sync.WaitGroup
	errs := make(chan error, int(p.Nodes)+int(p.Marshals))
	for i := range int(p.Nodes) {
		s := &slot{number: i, zone: i % len(p.Settings.Zone), speed: p.Speed[i%len(p.Speed)], ver: 1, want: 1}
		w.slots = append(w.slots, s)
		starts.Go(func() {
			if err := w.start(s, true); err != nil {
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
	w.begun = time.Now()
	w.clients = newClients(w)
	w.script()
	w.clients.run(w.ctx, time.Duration(p.Seconds*float64(time.Second)))
	return w.ctx.Err()
}

// script sets the troubles and builds of the plan on their times.
func (w *world) script() {
	for i, t := range w.Plan.Trouble {
		rnd := rand.New(rand.NewPCG(w.Seed, uint64(i)+100))
		w.after(seconds(t.AtS), func() {
			w.say("%s %s begins", t.Kind, t.How)
			end := kinds[t.Kind].begin(w, t, rnd)
			select {
			case <-time.After(seconds(t.ForS)):
			case <-w.ctx.Done():
			}
			end()
			w.say("%s ends", t.Kind)
		})
	}
	for i, b := range w.Plan.Build {
		ver := i + 2
		w.faults[ver] = b
		w.after(seconds(b.AtS), func() {
			w.say("build %d is offered (%s)", ver, faultText(b))
			w.conveyor.StartRollout(ver)
		})
		if b.Shared > 0 {
			w.background(func() { w.shared(ver, b.Shared) })
		}
	}
	w.background(w.tallies)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func faultText(b *settings.Build) string {
	if b.Fault == nil && b.Shared == 0 {
		return "good"
	}
	return "bad: " + strings.TrimSpace(fmt.Sprint(b.Fault, " shared ", b.Shared))
}

// shared slows all nodes in step with the traffic that a build gets.
func (w *world) shared(ver int, times float64) {
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
			w.do(s, fmt.Sprintf("slow %g", 1+(times-1)*with/all))
		}
	}
}

// tallies has the conveyor tell what a part of all dispatches came to.
func (w *world) tallies() {
	period := w.Plan.Settings.Rollout.TallyMs
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
		sums := map[of]standin.OperationStats{}
		w.mu.Lock()
		for _, s := range w.slots {
			if n, ok := s.node.(*standin.Node); ok {
				for op, c := range n.TakeStats() {
					k := of{n.Ver, op}
					sum := sums[k]
					sum.Samples, sum.Errors, sum.TotalMs = sum.Samples+c.Samples, sum.Errors+c.Errors, sum.TotalMs+c.TotalMs
					sums[k] = sum
				}
			}
		}
		w.mu.Unlock()
		for k, c := range sums {
			w.conveyor.SendBuildStats(k.ver, k.op, c, 0)
		}
	}
}

// start runs a node on a slot and puts it on the roster; old nodes have run for a long time.
func (w *world) start(s *slot, old bool) error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	if old || s.line.ID == 0 {
		w.nextID++
		s.line.ID = w.nextID
	}
	w.inc++
	set := &settings.Standin{Node: s.line.ID, Ver: int32(s.ver), Zone: int32(s.zone), Cores: w.Plan.Cores, Speed: s.speed,
		Queue: 200, Seed: w.Seed + w.inc}
	up := time.Hour
	s.line.UptimeMs = 0
	if !old {
		set.Rules, up, s.line.UptimeMs = w.rules, 0, 1
	}
	if b := w.faults[s.ver]; b != nil {
		set.Build = b.Fault
	}
	inc := w.inc
	w.mu.Unlock()
	n, err := w.newNode(set)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.node = n
	w.nodes = append(w.nodes, n)
	s.line = control.NodeEntry{Node: balance.Node{ID: set.Node, Ver: s.ver, Zone: s.zone, Size: s.speed * float64(w.Plan.Cores)},
		Address: n.Address(), Incarnation: inc, UptimeMs: s.line.UptimeMs}
	w.roster.Set(s.line, up)
	return nil
}

// fleet brings a part of the slots to a build.
func (w *world) fleet(ver int, part float64) (ready func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := int(math.Ceil(part * float64(len(w.slots))))
	order := rand.New(rand.NewPCG(w.Seed, 7)).Perm(len(w.slots))
	for _, i := range order[:most] {
		w.slots[i].want = ver
		w.replace(w.slots[i])
	}
	some := order[:most]
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(some, func(i int) bool { return w.slots[i].ver != ver || w.slots[i].busy })
	}
}

// takeBack brings every slot that runs a build, or is to, back to the build released last.
func (w *world) takeBack(ver int) {
	to := 0
	for v := range w.conveyor.Released {
		if v != ver && !w.conveyor.RolledBack[v] {
			to = max(to, v)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.slots {
		if s.want == ver {
			s.want = to
			w.replace(s)
		}
	}
}

// replace starts a slot's next node and then drains the one before; w.mu is held.
func (w *world) replace(s *slot) {
	if s.busy || s.want == s.ver {
		return
	}
	s.busy = true
	w.after(time.Duration(w.Plan.StartMs)*time.Millisecond, func() {
		w.mu.Lock()
		if s.down {
			s.busy = false // it comes up as what is wanted
			w.mu.Unlock()
			return
		}
		before, line := s.node, s.line
		s.ver, s.line.ID = s.want, 0
		w.mu.Unlock()
		if err := w.start(s, false); err != nil {
			w.say("%v", err)
			return
		}
		line.Health = balance.Draining
		w.roster.Set(line, 0)
		w.after(time.Duration(w.Plan.DrainMs)*time.Millisecond, func() {
			line.Health = balance.Gone
			w.roster.Set(line, 0)
			before.Kill()
		})
		w.mu.Lock()
		s.busy = false
		w.replace(s) // the wish may have changed meanwhile
		w.mu.Unlock()
	})
}

func (w *world) all() []*slot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.slots)
}

// some picks a part of the slots, one at least.
func (w *world) some(part float64, rnd *rand.Rand) (some []*slot) {
	all := w.all()
	for _, i := range rnd.Perm(len(all))[:min(len(all), max(1, int(part*float64(len(all))+0.5)))] {
		some = append(some, all[i])
	}
	return some
}

func (w *world) do(s *slot, line string) {
	w.mu.Lock()
	n := s.node
	w.mu.Unlock()
	if err := n.Do(line); err != nil {
		w.say("%v", err)
	}
}

// kill ends a slot's node; the roster hears that its process is gone.
func (w *world) kill(s *slot) {
	w.mu.Lock()
	n, line := s.node, s.line
	s.down = true
	w.mu.Unlock()
	n.Kill()
	line.Health = balance.Gone
	w.roster.Set(line, 0)
}

// revive starts a killed slot's node again, cold, as the build that is wanted by now.
func (w *world) revive(s *slot) {
	w.mu.Lock()
	s.down = false
	s.ver = s.want
	w.mu.Unlock()
	if err := w.start(s, false); err != nil {
		w.say("%v", err)
	}
}

// stop ends everything, in the order in which nothing hangs.
func (w *world) stop() {
	w.cancel()
	w.tasks.end()
	for _, m := range w.marshals {
		m.end()
		m.own.Release()
	}
	if w.clients != nil {
		w.clients.close()
	}
	w.mu.Lock()
	w.closed = true
	all := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range all {
		n.Kill()
	}
	if w.conveyor != nil {
		w.conveyor.Close()
	}
	if w.roster != nil {
		w.roster.Close()
	}
	w.w.Close()
}
