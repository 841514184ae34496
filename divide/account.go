// Package divide decides how one marshal is divided over several instances of its decision module: how much of a build
// on trial each may expose, who votes, what the instances tell each other, and which of them takes an invocation.
//
// An Account is what the instances share; a Part is one instance's end of it, between the marshal and the module.
// Neither does I/O, and both are handed their clock. docs/cores.md weighs the ways there are.
package divide

import (
	"math"
	"sync"
	"sync/atomic"

	"arrowcleat/balance"
)

const (
	margin    = 10.0   // ms by which what is taken is counted for less long, and what is exposed for longer
	steps     = 1000   // in which a window slides
	lifePart  = 160.0  // of the window: how long a lease lasts
	mostLife  = 50.0   // ms, and at most
	mostLease = 64     // exposures of one lease
	deadAfter = 1000.0 // ms without a beat after which an instance stands still
)

// Scope is what is counted together: a build and, where each operation counts for itself, an operation, else -1.
type Scope struct{ Ver, Op int }

// Lease is what one instance may expose until a time.
type Lease struct {
	Size       int
	UntilMs   float64
	version uint64
}

// Account is what the instances of a marshal share. Its methods may be called from any goroutine; none takes long.
// The rule on exposure is the marshal's: within the window, no more may be exposed than the allowance and the cap's
// part of what all instances took. Each draws leases on it. A lease counts as exposed in full from when it is drawn
// until the instance settles it, or until nothing exposed by it can be in the window any more.
type Account struct {
	now       func() float64
	over      float64
	allowance float64
	firstCap  float64
	each      bool
	life      float64
	steps     float64 // in which windows slide
	apart     float64 // ms between the votes of two chairs
	begun     float64

	version atomic.Uint64 // of what is known of builds; leases of an earlier one are void
	beats   []atomic.Uint64
	chair   atomic.Int64

	mu        sync.Mutex
	ver       int
	cap       float64
	phase     balance.Phase
	announced bool
	taken     map[int]*window // by operation, or -1
	exposed   map[Scope]*window
	out       map[Scope][]drawn
	lives     []int // of each instance: how often it has begun
	voteOut   bool
	voter     int // who voted last
	voted     float64
	watched   bool
	refused   int64
}

// drawn is a lease that is not settled.
type drawn struct {
	instance, life, n int
	until             float64
}

// NewAccount begins the account of a marshal's instances. What the rules count comes from the module's settings.
func NewAccount(now func() float64, set balance.Settings, instances int) *Account {
	num := func(name string) float64 { v, _ := set[name].(float64); return v }
	by, given := set["rollout.cap-scope"].(string)
	a := &Account{now: now, over: num("rollout.counted-over-ms"), allowance: num("rollout.allowance"), begun: now(),
		each: by == "each_class" || !given, beats: make([]atomic.Uint64, instances),
		taken: map[int]*window{}, exposed: map[Scope]*window{}, out: map[Scope][]drawn{}, lives: make([]int, instances)}
	if caps, _ := set["rollout.most-shares"].([]float64); len(caps) > 0 {
		a.firstCap = caps[0]
	}
	a.life, a.steps = min(mostLife, a.over/lifePart), steps
	a.apart = 1000 * max(1, num("marshals")) / max(0.1, num("rollout.api-rate"))
	for i := range a.beats {
		a.beats[i].Store(math.Float64bits(a.begun))
	}
	return a
}

// Join begins an instance, anew if it has been there before: what it had drawn then counts until it can't matter.
func (a *Account) Join(instance int) (life int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lives[instance]++
	return a.lives[instance]
}

// StageUpdate tells where the newest build stands. It is to be called before any instance is told: leases drawn on
// another cap are void from then on.
func (a *Account) StageUpdate(ver int, phase balance.Phase, cap float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced && ver < a.ver || a.announced && ver == a.ver && cap == a.cap && phase == a.phase {
		return
	}
	a.ver, a.phase, a.cap, a.announced = ver, phase, cap, true
	a.version.Add(1)
}

// Scope is what an operation at a build is counted by.
func (a *Account) Scope(ver, op int) Scope {
	if a.each {
		return Scope{ver, op}
	}
	return Scope{ver, -1}
}

// RecordAccepted counts invocations of an operation that an instance took no earlier than at a time.
func (a *Account) RecordAccepted(op, n int, at float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window(op).add(at, float64(n))
	a.window(-1).add(at, float64(n))
}

func (a *Account) window(op int) *window {
	if a.taken[op] == nil {
		a.taken[op] = newWindow(a.over, a.steps)
	}
	return a.taken[op]
}

func (a *Account) exposedIn(s Scope) *window {
	if a.exposed[s] == nil {
		a.exposed[s] = newWindow(a.over, a.steps)
	}
	return a.exposed[s]
}

// Draw gives an instance a lease, or one of nothing where the rule leaves no room. While a lease lasts, what was
// taken early in the window leaves it; so only what is still in it when the lease ends counts.
func (a *Account) Draw(instance, life int, s Scope) Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	cap := a.cap
	if !a.announced || s.Ver != a.ver {
		cap = a.firstCap
	}
	l := Lease{UntilMs: now + a.life, version: a.version.Load()}
	if cap <= 0 {
		return l
	}
	free := a.allowance
	if now-a.begun < a.over { // a marshal that was here before may have used its allowance up
		free = 0
	}
	room := free + cap*a.window(s.Op).since(l.UntilMs-a.over+margin, false) - a.used(s, now)
	if room < 1 {
		a.refused++
		return l
	}
	l.Size = min(int(room), max(1, int(room)/(2*len(a.lives))), mostLease)
	a.out[s] = append(a.out[s], drawn{instance, life, l.Size, l.UntilMs})
	return l
}

// used is what was exposed in the window, with what may be by leases that are out.
func (a *Account) used(s Scope, now float64) (sum float64) {
	sum = a.exposedIn(s).since(now-a.over-margin, true)
	kept := a.out[s][:0]
	for _, d := range a.out[s] {
		if now < d.until+a.over+margin {
			kept = append(kept, d)
			sum += float64(d.n)
		}
	}
	a.out[s] = kept
	return sum
}

// Settle gives back what an instance has drawn for a scope and says how much of it was exposed. That counts from now
// on, which is no earlier than it was.
func (a *Account) Settle(instance, life int, s Scope, exposed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	kept, found := a.out[s][:0], false
	for _, d := range a.out[s] {
		if d.instance == instance && d.life == life {
			found = true
			exposed = min(exposed, d.n)
		} else {
			kept = append(kept, d)
		}
	}
	a.out[s] = kept
	if found && exposed > 0 {
		a.exposedIn(s).add(now, float64(exposed))
	}
}

// Invalid says that a lease is not to be used any more: its time is up, or the cap is another.
func (a *Account) Invalid(l Lease) bool { return l.version != a.version.Load() || a.now() >= l.UntilMs }

// Heartbeat says that an instance does its work, and gives back whether it is the one that votes. The chair passes on when
// the one that has it stands still, to the first that does not.
func (a *Account) Heartbeat(instance int) (chair bool) {
	now := a.now()
	a.beats[instance].Store(math.Float64bits(now))
	if at := int(a.chair.Load()); at != instance && !a.Alive(at) {
		for i := range a.beats {
			if a.Alive(i) {
				a.chair.CompareAndSwap(int64(at), int64(i))
				break
			}
		}
	}
	return a.chair.Load() == int64(instance)
}

// Alive says that an instance has not stood still for long.
func (a *Account) Alive(instance int) bool {
	return a.now()-math.Float64frombits(a.beats[instance].Load()) < deadAfter
}

// Coordinator is the instance that votes.
func (a *Account) Coordinator() int { return int(a.chair.Load()) }

// StartVote says whether an instance may vote now: it has the chair, no vote is out, and the votes of two chairs are as
// far apart as the platform allows a marshal's.
func (a *Account) StartVote(instance int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.Coordinator() != instance || a.voteOut || a.voter != instance && a.voted > 0 && now-a.voted < a.apart {
		return false
	}
	a.voteOut, a.voter, a.voted = true, instance, now
	return true
}

// FinishVote says that the last vote was answered or has failed, and gives the instance whose it was.
func (a *Account) FinishVote() (instance int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.voteOut = false
	return a.voter
}

// SetWatching says whether the list is to be asked for: once, though each instance wants it.
func (a *Account) SetWatching(on bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.watched != on
	a.watched = on
	return changed
}

// NodeListFailed says that the list has to be asked for again.
func (a *Account) NodeListFailed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watched = false
}

// State is an account as people look at it.
type State struct {
	Coordinator   int
	Ver     int
	Cap     float64
	RefusedDraws int64 // draws that the rule left no room for
	Scopes  []ScopeState
}

// ScopeState is one scope of it.
type ScopeState struct {
	Scope
	Accepted, Exposed float64 // in the window
	Leased         int     // of Exposed, out
}

// Snapshot gives the account's state.
func (a *Account) Snapshot() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	st := State{Coordinator: a.Coordinator(), Ver: a.ver, Cap: a.cap, RefusedDraws: a.refused}
	for s := range a.exposed {
		c := ScopeState{Scope: s, Accepted: a.window(s.Op).since(now+a.life-a.over+margin, false), Exposed: a.used(s, now)}
		for _, d := range a.out[s] {
			c.Leased += d.n
		}
		st.Scopes = append(st.Scopes, c)
	}
	return st
}

// window adds up what happened within a time that slides, in steps. What comes may be older than what came before.
type window struct {
	width float64
	of    []float64
	first int64 // the oldest step that is kept
	sum   float64
}

func newWindow(over, steps float64) *window {
	return &window{width: max(over/steps, 0.001), of: make([]float64, 2*int(steps))}
}

func (w *window) slot(k int64) *float64 { return &w.of[k%int64(len(w.of))] }

func (w *window) add(at, what float64) {
	k := int64(at / w.width)
	if k < w.first {
		return // out of the window already
	}
	if last := w.first + int64(len(w.of)); k >= last { // never asked for this long
		w.drop(k - int64(len(w.of)) + 1)
	}
	*w.slot(k) += what
	w.sum += what
}

func (w *window) drop(to int64) {
	if to-w.first >= int64(len(w.of)) {
		clear(w.of)
		w.first, w.sum = to, 0
		return
	}
	for ; w.first < to; w.first++ {
		s := w.slot(w.first)
		w.sum -= *s
		*s = 0
	}
}

// since drops what is older and gives the sum of the rest. Of the step that is in part older it keeps all, or nothing.
func (w *window) since(from float64, all bool) float64 {
	k := int64(math.Floor(from / w.width))
	if !all && from > float64(k)*w.width {
		k++
	}
	w.drop(max(k, w.first))
	return w.sum
}
