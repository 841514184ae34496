// Package loop runs the calls of one marshal instance on one goroutine. Urgent calls run before all others, and posted
// calls, such as the ends of dispatches, do not wait behind new arrivals.
package loop

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Clock is the source of a loop's time, in milliseconds. The time never decreases.
type Clock interface {
	Now() float64
	// Timer calls wake once, on any goroutine, no sooner than ms from now. stop cancels it.
	Timer(ms float64, wake func()) (stop func())
}

// monotonicOffsetMs keeps clock times well above zero, so that a node that started before the marshal has a positive
// start time too.
const monotonicOffsetMs = 30 * 24 * 3600 * 1000.0

type monotonic struct{ start time.Time }

// Monotonic returns the machine's monotonic clock.
func Monotonic() Clock { return monotonic{time.Now()} }

// Now implements Clock.
func (m monotonic) Now() float64 {
	return monotonicOffsetMs + float64(time.Since(m.start))/float64(time.Millisecond)
}

// Timer implements Clock.
func (m monotonic) Timer(ms float64, wake func()) func() {
	t := time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), wake)
	return func() { t.Stop() }
}

// WallClock returns a function that converts a clock's current time to the time of day.
func WallClock(clock Clock) func() time.Time {
	start, startMs := time.Now(), clock.Now()
	return func() time.Time {
		return start.Add(time.Duration((clock.Now() - startMs) * float64(time.Millisecond)))
	}
}

// Loop is an event loop: queues of calls, and timers. Only the goroutine of Run runs calls. Posting a call never waits,
// so that a call which blocks does not delay a goroutine that has to answer a client.
type Loop struct {
	clock       Clock
	maxArrivals int // that may wait
	wake        chan struct{}

	mu       sync.Mutex
	urgent   []func()
	posted   []func()
	arrivals []func()
	stopped  bool
	holding  bool // arrivals wait until ReleaseArrivals

	// Restartable, set before Run, allows Run to be called again after a panic: queued calls are kept, timers are not.
	Restartable bool

	// The fields from here to timerSeq belong to the goroutine of Run. The first three are what is being run: posted calls,
	// those that were posted meanwhile, arrivals.
	runningPosted, postedMeanwhile, runningArrivals []func()

	nowMs           float64 // of the call that is running
	timers          timers
	alarm           alarm
	timerSeq        uint64
	refused         atomic.Int64 // arrivals
	completed       atomic.Int64 // calls
	hasUrgent       atomic.Bool
	waitingArrivals atomic.Int64
	busyUs          atomic.Int64 // spent in calls
	callStartUs     atomic.Int64 // clock time at which the running call began, 0 for none
}

// New makes a loop in which at most maxArrivals arrivals wait.
func New(clock Clock, maxArrivals int) *Loop {
	return &Loop{clock: clock, maxArrivals: maxArrivals, wake: make(chan struct{}, 1), nowMs: clock.Now()}
}

// Post queues a call that must not be lost, for example the end of a dispatch. After the loop has stopped it does
// nothing.
func (l *Loop) Post(f func()) {
	l.enqueue(&l.posted, f)
	l.signal()
}

// enqueue adds a call to a queue; it returns false where the loop has stopped.
func (l *Loop) enqueue(queue *[]func(), f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	*queue = append(*queue, f)
	if queue == &l.urgent {
		l.hasUrgent.Store(true)
	}
	return true
}

// PostUrgent queues a call that runs before all waiting ones: an update on nodes or builds, which their decisions must
// take into account.
func (l *Loop) PostUrgent(f func()) {
	l.enqueue(&l.urgent, f)
	l.signal()
}

// Offer queues an arrival. It returns false, without queuing the arrival, where the queue is full or the loop has
// stopped.
func (l *Loop) Offer(f func()) bool {
	l.mu.Lock()
	ok := !l.stopped && len(l.arrivals) < l.maxArrivals
	if ok {
		l.arrivals = append(l.arrivals, f)
		l.waitingArrivals.Add(1)
	}
	l.mu.Unlock()
	if !ok {
		l.refused.Add(1)
		return false
	}
	l.signal()
	return true
}

// HoldArrivals lets arrivals wait until ReleaseArrivals; all other calls run. It is called before Run.
func (l *Loop) HoldArrivals() { l.setHolding(true) }

// ReleaseArrivals runs the arrivals that wait because of HoldArrivals, and from now on those that come.
func (l *Loop) ReleaseArrivals() {
	l.setHolding(false)
	l.signal()
}

func (l *Loop) setHolding(holding bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = holding
}

// signal wakes the loop.
func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Refused returns the number of arrivals that were refused.
func (l *Loop) Refused() int64 { return l.refused.Load() }

// Completed returns the number of calls that have run.
func (l *Loop) Completed() int64 { return l.completed.Load() }

// Waiting returns the number of arrivals that wait.
func (l *Loop) Waiting() int { return int(l.waitingArrivals.Load()) }

// BusyMs returns the time spent in calls so far.
func (l *Loop) BusyMs() float64 { return float64(l.busyUs.Load()) / 1000 }

// CurrentCallMs returns for how long the running call has run, 0 where none runs.
func (l *Loop) CurrentCallMs() float64 {
	startUs := l.callStartUs.Load()
	if startUs == 0 {
		return 0
	}
	return max(0, l.clock.Now()-float64(startUs)/1000)
}

// Now returns the time at which the running call began. It does not change during a call.
func (l *Loop) Now() float64 { return l.nowMs }

// After runs a call some time from now. It must be called on the loop.
func (l *Loop) After(ms float64, f func()) {
	l.timerSeq++
	heap.Push(&l.timers, timer{l.nowMs + max(ms, 0), l.timerSeq, f})
}

// Panic is the error that Run returns after a call panicked.
type Panic struct {
	Value any
	Stack []byte
}

// Error returns the text of the error.
func (p *Panic) Error() string { return fmt.Sprintf("the decision module panicked: %v", p.Value) }

// Run runs calls until Stop. A panic in a call ends it with a *Panic.
func (l *Loop) Run() error {
	defer l.alarm.clear()
	var panicked *Panic
	for panicked == nil && !l.isStopped() {
		var ran bool
		if ran, panicked = l.step(); !ran && panicked == nil {
			l.sleep()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if panicked != nil && l.Restartable && !l.stopped { // the queued calls are for the next Run
		l.requeue()
		return panicked
	}
	l.stopped, l.urgent, l.posted, l.arrivals = true, nil, nil, nil
	if panicked != nil { // returned as an error, a nil *Panic would not be nil
		return panicked
	}
	return nil
}

func (l *Loop) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// requeue puts the calls that a panic left undone back into their queues. Timers are dropped.
func (l *Loop) requeue() {
	undone := func(calls []func()) []func() {
		return slices.DeleteFunc(calls, func(f func()) bool { return f == nil })
	}
	l.posted = append(append(undone(l.runningPosted), undone(l.postedMeanwhile)...), l.posted...)
	l.arrivals = append(undone(l.runningArrivals), l.arrivals...)
	l.runningPosted, l.postedMeanwhile, l.runningArrivals, l.timers = nil, nil, nil, nil
}

// hasCalls reports whether any queue holds a call that may run.
func (l *Loop) hasCalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.posted)+len(l.urgent) > 0 || len(l.arrivals) > 0 && !l.holding
}

// step runs the calls that wait now and the timers that are due, and reports whether any call waited.
func (l *Loop) step() (ran bool, panicked *Panic) {
	defer func() {
		if p := recover(); p != nil {
			l.callStartUs.Store(0)
			ran, panicked = false, &Panic{p, debug.Stack()}
		}
	}()
	l.mu.Lock()
	l.runningPosted, l.posted = l.posted, l.runningPosted[:0]
	if l.holding {
		l.runningArrivals = l.runningArrivals[:0]
	} else {
		l.runningArrivals, l.arrivals = l.arrivals, l.runningArrivals[:0]
	}
	l.mu.Unlock()
	l.runUrgent()
	l.runAll(l.runningPosted)
	l.runTimers()
	for i := range l.runningArrivals {
		l.waitingArrivals.Add(-1)
		l.runAll(l.runningArrivals[i : i+1])
		if i%8 == 7 { // calls posted meanwhile and due timers run before further arrivals
			l.postedMeanwhile = l.takePosted()
			l.runAll(l.postedMeanwhile)
			l.runTimers()
		}
	}
	return len(l.runningPosted)+len(l.runningArrivals) > 0, nil
}

func (l *Loop) takePosted() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.posted) == 0 {
		return nil
	}
	posted := l.posted
	l.posted = nil
	return posted
}

// runAll runs calls in order, urgent ones in between. A call that was begun is cleared, so that requeue leaves it out.
func (l *Loop) runAll(calls []func()) {
	for i, f := range calls {
		if l.hasUrgent.Load() {
			l.runUrgent()
		}
		calls[i] = nil
		l.run(f)
	}
}

// runUrgent runs the urgent calls.
func (l *Loop) runUrgent() {
	for l.hasUrgent.Load() {
		l.mu.Lock()
		urgent := l.urgent
		l.urgent = nil
		l.hasUrgent.Store(false)
		l.mu.Unlock()
		for _, f := range urgent {
			l.run(f)
		}
	}
}

func (l *Loop) run(f func()) {
	l.nowMs = max(l.nowMs, l.clock.Now())
	startUs := int64(l.nowMs * 1000)
	l.callStartUs.Store(startUs)
	f()
	l.callStartUs.Store(0)
	l.busyUs.Add(int64(l.clock.Now()*1000) - startUs)
	l.completed.Add(1)
}

// runTimers runs the timers that are due.
func (l *Loop) runTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].atMs <= now {
		t := heap.Pop(&l.timers).(timer)
		if l.hasUrgent.Load() {
			l.runUrgent()
		}
		l.run(t.f)
	}
}

// sleep waits for the next call or timer.
func (l *Loop) sleep() {
	if l.hasCalls() {
		return
	}
	l.alarm.set(l.clock, l.timers, l.signal)
	<-l.wake
}

// Clock returns the loop's clock.
func (l *Loop) Clock() Clock { return l.clock }

// RunFirst queues a call ahead of all others, for a loop that is about to be run again.
func (l *Loop) RunFirst(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.urgent = append([]func(){f}, l.urgent...)
	l.hasUrgent.Store(true)
}

// Stop ends Run after the running call.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.signal()
}

// ErrStopped is returned for a call on a loop that has stopped.
var ErrStopped = errors.New("the event loop has stopped")

// Query runs a call on the loop and returns its result. It waits until the context ends and no longer, since an earlier
// call may block. The error is the context's or ErrStopped.
func Query[T any](ctx context.Context, l *Loop, call func() T) (result T, err error) {
	results := make(chan T, 1)
	if !l.enqueue(&l.posted, func() { results <- call() }) {
		return result, ErrStopped
	}
	l.signal()
	for {
		select {
		case result = <-results:
			return result, nil
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(50 * time.Millisecond):
			if l.isStopped() {
				return result, ErrStopped
			}
		}
	}
}

// Do runs a call on the loop and waits for it without a time limit; it returns false where the loop has stopped.
func (l *Loop) Do(f func()) bool {
	_, err := Query(context.Background(), l, func() struct{} { f(); return struct{}{} })
	return err == nil
}

// alarm wakes a sleeping loop for its first timer. It stays set from one sleep to the next: most calls come long before
// the first timer is due, and a new alarm for each would cost more than the calls.
type alarm struct {
	armed bool
	atMs  float64
	stop  func()
	fired atomic.Bool
}

func (a *alarm) set(clock Clock, t timers, wake func()) {
	if a.fired.Swap(false) {
		a.armed = false
	}
	if len(t) == 0 || a.armed && a.atMs <= t[0].atMs {
		return
	}
	a.clear()
	a.armed, a.atMs = true, t[0].atMs
	a.stop = clock.Timer(max(0, a.atMs-clock.Now()), func() {
		a.fired.Store(true)
		wake()
	})
}

func (a *alarm) clear() {
	if a.stop != nil {
		a.stop()
	}
	a.armed, a.stop = false, nil
}

type timer struct {
	atMs float64
	seq  uint64 // timers of the same time run in the order in which they were set
	f    func()
}

// timers is a heap of timers, the next one first.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].atMs < t[j].atMs || t[i].atMs == t[j].atMs && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
