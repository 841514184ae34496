// Package divide shares one marshal among several instances of its decision module: how much of a trial build each
// instance may expose, which instance votes, what the instances report to each other, and which one accepts an invocation.
//
// An Account is the state that the instances share. A Shard belongs to one instance and sits between the marshal and
// the module. Neither does I/O, and both are given their clock. docs/cores.md compares this design with others.
package divide

import (
	"math"
	"sync"
	"sync/atomic"

	"arrowcleat/balance"
)

const (
	windowMarginMs   = 10.0   // accepted invocations leave the window this much earlier, exposures this much later
	windowSteps      = 1000   // in which a window slides
	leasesPerWindow  = 160.0  // a lease lasts the window's length divided by this
	maxLeaseMs       = 50.0   // the longest that a lease lasts
	maxLeaseSize     = 64     // exposures
	heartbeatLimitMs = 1000.0 // without a heartbeat, after which an instance counts as stalled
)

// Scope is what exposures are counted by: a build and, where each operation is counted on its own, an operation.
// Otherwise Op is -1.
type Scope struct{ Ver, Op int }

// Lease is the number of exposures that one instance may make until a time.
type Lease struct {
	Size         int
	UntilMs      float64
	stageChanges uint64 // that of the account when the lease was drawn
}

// Account is the state that the instances of a marshal share. Its methods may be called from any goroutine; none
// blocks for long. The rule on exposure applies to the marshal as a whole: within the window, no more may be exposed
// than the allowance plus the cap's share of the invocations that all instances accepted. The instances draw leases on
// that amount. A lease counts as exposed in full from when it is drawn until the instance settles it, or until nothing
// exposed under it can be in the window any more.
type Account struct {
	now            func() float64
	windowMs       float64
	allowance      float64
	firstCap       float64 // of the first stage
	perOperation   bool    // each operation is counted on its own
	leaseMs        float64
	windowSteps    float64 // in which windows slide
	voteIntervalMs float64 // between the votes of two coordinators
	startMs        float64

	stageChanges atomic.Uint64   // counts changes of the newest build's stage; leases drawn before the last one are invalid
	heartbeats   []atomic.Uint64 // bits of the time in ms of each instance's last one
	coordinator  atomic.Int64

	mu           sync.Mutex
	ver          int
	cap          float64
	phase        balance.Phase
	announced    bool            // ver, cap and phase have been reported
	accepted     map[int]*window // by operation; -1 holds all
	exposed      map[Scope]*window
	unsettled    map[Scope][]unsettledLease
	incarnations []int // of each instance: how often it has started
	voteInFlight bool
	lastVoter    int
	lastVoteMs   float64
	watching     bool
	refusedDraws int64
}

// unsettledLease is a lease that has been drawn and not settled.
type unsettledLease struct {
	instance, incarnation, size int
	untilMs                     float64
}

// NewAccount makes the account of a marshal's instances. The window, the allowance and the caps come from the module's
// settings.
func NewAccount(now func() float64, set balance.Settings, instances int) *Account {
	num := func(name string) float64 { v, _ := set[name].(float64); return v }
	capScope, given := set["rollout.cap-scope"].(string)
	a := &Account{now: now, windowMs: num("rollout.counted-over-ms"), allowance: num("rollout.allowance"), startMs: now(),
		perOperation: capScope == "each_class" || !given, heartbeats: make([]atomic.Uint64, instances),
		accepted: map[int]*window{}, exposed: map[Scope]*window{}, unsettled: map[Scope][]unsettledLease{},
		incarnations: make([]int, instances)}
	if caps, _ := set["rollout.most-shares"].([]float64); len(caps) > 0 {
		a.firstCap = caps[0]
	}
	a.leaseMs, a.windowSteps = min(maxLeaseMs, a.windowMs/leasesPerWindow), windowSteps
	a.voteIntervalMs = 1000 * max(1, num("marshals")) / max(0.1, num("rollout.api-rate"))
	for i := range a.heartbeats {
		a.heartbeats[i].Store(math.Float64bits(a.startMs))
	}
	return a
}

// Join registers an instance that starts or restarts, and returns the number of its incarnation. Leases of its earlier
// incarnations count until nothing exposed under them can be in the window.
func (a *Account) Join(instance int) (incarnation int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnations[instance]++
	return a.incarnations[instance]
}

// StageUpdate sets the phase and cap of the newest build. It must be called before any instance receives the update:
// from then on, leases drawn under another cap or phase are invalid.
func (a *Account) StageUpdate(ver int, phase balance.Phase, cap float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced && ver < a.ver || a.announced && ver == a.ver && cap == a.cap && phase == a.phase {
		return
	}
	a.ver, a.phase, a.cap, a.announced = ver, phase, cap, true
	a.stageChanges.Add(1)
}

// Scope returns the scope that an operation at a build is counted by.
func (a *Account) Scope(ver, op int) Scope {
	if a.perOperation {
		return Scope{ver, op}
	}
	return Scope{ver, -1}
}

// RecordAccepted counts n invocations of an operation, which an instance accepted at atMs or later.
func (a *Account) RecordAccepted(op, n int, atMs float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptedWindow(op).add(atMs, float64(n))
	a.acceptedWindow(-1).add(atMs, float64(n))
}

func (a *Account) acceptedWindow(op int) *window {
	if a.accepted[op] == nil {
		a.accepted[op] = newWindow(a.windowMs, a.windowSteps)
	}
	return a.accepted[op]
}

func (a *Account) exposedWindow(s Scope) *window {
	if a.exposed[s] == nil {
		a.exposed[s] = newWindow(a.windowMs, a.windowSteps)
	}
	return a.exposed[s]
}

// Draw gives an instance a lease, of size 0 where the rule leaves no room. While the lease lasts, invocations accepted
// early in the window leave it, so only those that are still in it when the lease ends count.
func (a *Account) Draw(instance, incarnation int, s Scope) Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	cap := a.cap
	if !a.announced || s.Ver != a.ver {
		cap = a.firstCap
	}
	l := Lease{UntilMs: now + a.leaseMs, stageChanges: a.stageChanges.Load()}
	if cap <= 0 {
		return l
	}
	allowance := a.allowance
	if now-a.startMs < a.windowMs { // the previous run of this marshal may have used up the allowance
		allowance = 0
	}
	room := allowance + cap*a.acceptedWindow(s.Op).sumSince(l.UntilMs-a.windowMs+windowMarginMs, false) - a.used(s, now)
	if room < 1 {
		a.refusedDraws++
		return l
	}
	l.Size = min(int(room), max(1, int(room)/(2*len(a.incarnations))), maxLeaseSize)
	a.unsettled[s] = append(a.unsettled[s], unsettledLease{instance, incarnation, l.Size, l.UntilMs})
	return l
}

// used returns the number of exposures in the window, with every unsettled lease counted in full.
func (a *Account) used(s Scope, now float64) (sum float64) {
	sum = a.exposedWindow(s).sumSince(now-a.windowMs-windowMarginMs, true)
	kept := a.unsettled[s][:0]
	for _, l := range a.unsettled[s] {
		if now < l.untilMs+a.windowMs+windowMarginMs {
			kept = append(kept, l)
			sum += float64(l.size)
		}
	}
	a.unsettled[s] = kept
	return sum
}

// Settle returns an instance's lease on a scope and reports how much of it was exposed. The exposures count from now
// on, which is no earlier than they were made.
func (a *Account) Settle(instance, incarnation int, s Scope, exposed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	kept, found := a.unsettled[s][:0], false
	for _, l := range a.unsettled[s] {
		if l.instance == instance && l.incarnation == incarnation {
			found = true
			exposed = min(exposed, l.size)
		} else {
			kept = append(kept, l)
		}
	}
	a.unsettled[s] = kept
	if found && exposed > 0 {
		a.exposedWindow(s).add(now, float64(exposed))
	}
}

// Invalid reports whether a lease must not be used any more: it has expired, or the build's state has changed.
func (a *Account) Invalid(l Lease) bool {
	return l.stageChanges != a.stageChanges.Load() || a.now() >= l.UntilMs
}

// Heartbeat records that an instance is running and reports whether it is the coordinator, which votes for the
// marshal. When the coordinator stalls, the first instance that is alive replaces it.
func (a *Account) Heartbeat(instance int) (coordinator bool) {
	now := a.now()
	a.heartbeats[instance].Store(math.Float64bits(now))
	if current := int(a.coordinator.Load()); current != instance && !a.Alive(current) {
		for i := range a.heartbeats {
			if a.Alive(i) {
				a.coordinator.CompareAndSwap(int64(current), int64(i))
				break
			}
		}
	}
	return a.coordinator.Load() == int64(instance)
}

// Alive reports whether an instance has sent a heartbeat recently.
func (a *Account) Alive(instance int) bool {
	return a.now()-math.Float64frombits(a.heartbeats[instance].Load()) < heartbeatLimitMs
}

// Coordinator returns the instance that votes.
func (a *Account) Coordinator() int { return int(a.coordinator.Load()) }

// StartVote reports whether an instance may vote now, and if so notes its vote as in flight. It may where it is the
// coordinator, no vote is in flight, and another coordinator's last vote is as long ago as the platform demands
// between votes of a marshal.
func (a *Account) StartVote(instance int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.Coordinator() != instance || a.voteInFlight ||
		a.lastVoter != instance && a.lastVoteMs > 0 && now-a.lastVoteMs < a.voteIntervalMs {
		return false
	}
	a.voteInFlight, a.lastVoter, a.lastVoteMs = true, instance, now
	return true
}

// FinishVote notes that the last vote was answered or has failed, and returns the instance that sent it.
func (a *Account) FinishVote() (instance int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.voteInFlight = false
	return a.lastVoter
}

// SetWatching notes whether changes to the node list are requested. It reports whether that is a change, so that
// one request is made for all instances.
func (a *Account) SetWatching(on bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.watching != on
	a.watching = on
	return changed
}

// NodeListFailed notes that the node list has to be requested again.
func (a *Account) NodeListFailed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching = false
}

// State is a copy of an account's state, for metrics.
type State struct {
	Coordinator  int
	Ver          int
	Cap          float64
	RefusedDraws int64 // draws that the rule left no room for
	Scopes       []ScopeState
}

// ScopeState is the state of one scope. The counts are those within the window.
type ScopeState struct {
	Scope
	Accepted, Exposed float64 // Exposed includes Leased
	Leased            int     // the sizes of unsettled leases
}

// Snapshot returns a copy of the account's state.
func (a *Account) Snapshot() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	st := State{Coordinator: a.Coordinator(), Ver: a.ver, Cap: a.cap, RefusedDraws: a.refusedDraws}
	for s := range a.exposed {
		c := ScopeState{Scope: s, Accepted: a.acceptedWindow(s.Op).sumSince(now+a.leaseMs-a.windowMs+windowMarginMs, false),
			Exposed: a.used(s, now)}
		for _, l := range a.unsettled[s] {
			c.Leased += l.size
		}
		st.Scopes = append(st.Scopes, c)
	}
	return st
}

// window is a sum over a sliding window of time, kept in steps. Values need not be added in the order of their times.
type window struct {
	stepMs    float64
	steps     []float64 // a ring of the sums of each step
	firstStep int64     // the oldest one that is kept
	sum       float64
}

// newWindow makes a window of so many steps. Its ring holds twice as many.
func newWindow(lengthMs, steps float64) *window {
	return &window{stepMs: max(lengthMs/steps, 0.001), steps: make([]float64, 2*int(steps))}
}

func (w *window) at(step int64) *float64 { return &w.steps[step%int64(len(w.steps))] }

func (w *window) add(atMs, value float64) {
	step := int64(atMs / w.stepMs)
	if step < w.firstStep {
		return // older than the window
	}
	if end := w.firstStep + int64(len(w.steps)); step >= end { // the sum was not requested for long
		w.dropBefore(step - int64(len(w.steps)) + 1)
	}
	*w.at(step) += value
	w.sum += value
}

func (w *window) dropBefore(step int64) {
	if step-w.firstStep >= int64(len(w.steps)) {
		clear(w.steps)
		w.firstStep, w.sum = step, 0
		return
	}
	for ; w.firstStep < step; w.firstStep++ {
		s := w.at(w.firstStep)
		w.sum -= *s
		*s = 0
	}
}

// sumSince drops the steps before a time and returns the sum of the rest. A step that begins before the
// time and ends after it is kept in full if partial is set, and dropped otherwise.
func (w *window) sumSince(fromMs float64, partial bool) float64 {
	step := int64(math.Floor(fromMs / w.stepMs))
	if !partial && fromMs > float64(step)*w.stepMs {
		step++
	}
	w.dropBefore(max(step, w.firstStep))
	return w.sum
}
