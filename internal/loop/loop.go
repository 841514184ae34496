// Package loop runs everything that happens to one marshal instance on one goroutine, in an order in which what
// ends never waits behind what arrives.
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

// Clock is where a loop gets its time from; milliseconds that only grow.
type Clock interface {
	Now() float64
	// Timer calls wake, once, on any goroutine, no sooner than ms from now. Stop ends it.
	Timer(ms float64, wake func()) (stop func())
}

// epoch keeps clock times well above zero: a node that started before the marshal has a time too.
const epoch = 30 * 24 * 3600 * 1000.0

type monotonic struct{ start time.Time }

// Monotonic is the machine's clock.
func Monotonic() Clock { return monotonic{time.Now()} }

func (m monotonic) Now() float64 {
	return epoch + float64(time.Since(m.start))/float64(time.Millisecond)
}

func (m monotonic) Timer(ms float64, wake func()) func() {
	t := time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), wake)
	return func() { t.Stop() }
}

// WallClock gives a clock's time as times of day, for what is kept or forgotten by them.
func WallClock(clock Clock) func() time.Time {
	begun, at := time.Now(), clock.Now()
	return func() time.Time {
		return begun.Add(time.Duration((clock.Now() - at) * float64(time.Millisecond)))
	}
}

// Loop is a queue of calls, and the timers, of one instance. Only the goroutine of Run runs calls: whoever posts one never
// waits for it, so that a call which blocks holds up nobody who owes a client an answer.
type Loop struct {
	clock       Clock
	maxArrivals int // that may wait
	wake        chan struct{}

	mu       sync.Mutex
	news     []func()
	endings  []func()
	arrivals []func()
	stopped  bool

	// Restartable, set before Run, lets it be called again after a panic: what waits is kept, timers are not.
	Restartable bool

	// All from here to order belongs to the goroutine of Run. What is being run: endings, those that came meanwhile, arrivals.
	ended, meanwhile, arrived []func()

	now     float64 // of the call that runs
	timers  timers
	alarm   alarm
	order   uint64
	refused atomic.Int64 // arrivals
	ran     atomic.Int64
	hasNews atomic.Bool
	queued  atomic.Int64 // arrivals that wait
	busy    atomic.Int64 // microseconds spent in calls
	since   atomic.Int64 // microseconds of the clock at which the call that runs began, 0 for none
}

// New makes a loop in which at most so many arrivals wait.
func New(clock Clock, maxArrivals int) *Loop {
	return &Loop{clock: clock, maxArrivals: maxArrivals, wake: make(chan struct{}, 1), now: clock.Now()}
}

// Post queues a call that must not be lost: an ending, news, a timer. After the loop has stopped it does nothing.
func (l *Loop) Post(f func()) {
	l.put(&l.endings, f)
	l.poke()
}

// put queues a call; false says that the loop has stopped.
func (l *Loop) put(queue *[]func(), f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	*queue = append(*queue, f)
	if queue == &l.news {
		l.hasNews.Store(true)
	}
	return true
}

// PostUrgent queues a call that goes before everything that waits: word of nodes and builds, which what waits must not be
// decided without.
func (l *Loop) PostUrgent(f func()) {
	l.put(&l.news, f)
	l.poke()
}

// Offer queues an arrival; false says that the queue is full and nothing was taken.
func (l *Loop) Offer(f func()) bool {
	l.mu.Lock()
	ok := !l.stopped && len(l.arrivals) < l.maxArrivals
	if ok {
		l.arrivals = append(l.arrivals, f)
		l.queued.Add(1)
	}
	l.mu.Unlock()
	if !ok {
		l.refused.Add(1)
		return false
	}
	l.poke()
	return true
}

func (l *Loop) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Refused counts the arrivals that were refused, Ran the calls that have run.
func (l *Loop) Refused() int64 { return l.refused.Load() }
func (l *Loop) Completed() int64    { return l.ran.Load() }

// Waiting is how many arrivals wait, Busy the ms spent in calls so far, and Standing the ms that the call which runs
// has run for.
func (l *Loop) Waiting() int  { return int(l.queued.Load()) }
func (l *Loop) BusyMs() float64 { return float64(l.busy.Load()) / 1000 }
func (l *Loop) CurrentCallMs() float64 {
	since := l.since.Load()
	if since == 0 {
		return 0
	}
	return max(0, l.clock.Now()-float64(since)/1000)
}

// Now is the time of the call that runs: the same throughout it.
func (l *Loop) Now() float64 { return l.now }

// After runs a call some time from now; only to be called on the loop.
func (l *Loop) After(ms float64, f func()) {
	l.order++
	heap.Push(&l.timers, timer{l.now + max(ms, 0), l.order, f})
}

// Panic is what a call that panicked leaves behind.
type Panic struct {
	Value any
	Stack []byte
}

func (p *Panic) Error() string { return fmt.Sprintf("the decision module panicked: %v", p.Value) }

// Run runs calls until Stop; a panic in one ends it with a *Panic.
func (l *Loop) Run() error {
	defer l.alarm.clear()
	var panicked *Panic
	for panicked == nil && !l.ending() {
		var ran bool
		if ran, panicked = l.step(); !ran && panicked == nil {
			l.sleep()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if panicked != nil && l.Restartable && !l.stopped { // what waits is for whoever runs it next
		l.requeue()
		return panicked
	}
	l.stopped, l.news, l.endings, l.arrivals = true, nil, nil, nil
	if panicked != nil { // a nil *Panic would be an error
		return panicked
	}
	return nil
}

func (l *Loop) ending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// requeue puts back what a panic left undone; timers are not kept.
func (l *Loop) requeue() {
	undone := func(calls []func()) []func() {
		return slices.DeleteFunc(calls, func(f func()) bool { return f == nil })
	}
	l.endings = append(append(undone(l.ended), undone(l.meanwhile)...), l.endings...)
	l.arrivals = append(undone(l.arrived), l.arrivals...)
	l.ended, l.meanwhile, l.arrived, l.timers = nil, nil, nil, nil
}

func (l *Loop) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.endings)+len(l.arrivals)+len(l.news) > 0
}

// step runs what waits now, and says whether there was anything.
func (l *Loop) step() (ran bool, panicked *Panic) {
	defer func() {
		if p := recover(); p != nil {
			l.since.Store(0)
			ran, panicked = false, &Panic{p, debug.Stack()}
		}
	}()
	l.mu.Lock()
	l.ended, l.endings = l.endings, l.ended[:0]
	l.arrived, l.arrivals = l.arrivals, l.arrived[:0]
	l.mu.Unlock()
	l.read()
	l.runAll(l.ended)
	l.due()
	for i := range l.arrived {
		l.queued.Add(-1)
		l.runAll(l.arrived[i : i+1])
		if i%8 == 7 { // what has ended meanwhile goes first
			l.meanwhile = l.takeEndings()
			l.runAll(l.meanwhile)
			l.due()
		}
	}
	return len(l.ended)+len(l.arrived) > 0, nil
}

func (l *Loop) takeEndings() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.endings) == 0 {
		return nil
	}
	taken := l.endings
	l.endings = nil
	return taken
}

func (l *Loop) runAll(calls []func()) {
	for i, f := range calls {
		if l.hasNews.Load() {
			l.read()
		}
		calls[i] = nil
		l.run(f)
	}
}

// read runs the news.
func (l *Loop) read() {
	for l.hasNews.Load() {
		l.mu.Lock()
		news := l.news
		l.news = nil
		l.hasNews.Store(false)
		l.mu.Unlock()
		for _, f := range news {
			l.run(f)
		}
	}
}

func (l *Loop) run(f func()) {
	l.now = max(l.now, l.clock.Now())
	from := int64(l.now * 1000)
	l.since.Store(from)
	f()
	l.since.Store(0)
	l.busy.Add(int64(l.clock.Now()*1000) - from)
	l.ran.Add(1)
}

// due runs the timers that have come due.
func (l *Loop) due() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(timer)
		if l.hasNews.Load() {
			l.read()
		}
		l.run(t.f)
	}
}

// sleep waits until there is something to do.
func (l *Loop) sleep() {
	if l.waits() {
		return
	}
	l.alarm.set(l.clock, l.timers, l.poke)
	<-l.wake
}

// Clock is the loop's clock.
func (l *Loop) Clock() Clock { return l.clock }

// RunFirst has a call run before all else; for a loop that is about to be run again.
func (l *Loop) RunFirst(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.news = append([]func(){f}, l.news...)
	l.hasNews.Store(true)
}

// Stop ends Run after the call that runs now.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.poke()
}

// ErrStopped says that a loop has ended and runs no further call.
var ErrStopped = errors.New("the loop has ended")

// Query runs a call on the loop and gives its result. It waits until the context ends, and then for nothing more: a call before
// it may block. The error is the context's or ErrStopped.
func Query[T any](ctx context.Context, l *Loop, call func() T) (result T, err error) {
	results := make(chan T, 1)
	if !l.put(&l.endings, func() { results <- call() }) {
		return result, ErrStopped
	}
	l.poke()
	for {
		select {
		case result = <-results:
			return result, nil
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(50 * time.Millisecond):
			if l.ending() {
				return result, ErrStopped
			}
		}
	}
}

// Do runs a call on the loop and waits for it, however long; false says that the loop has stopped.
func (l *Loop) Do(f func()) bool {
	_, err := Query(context.Background(), l, func() struct{} { f(); return struct{}{} })
	return err == nil
}

// alarm wakes a sleeping loop for its first timer. It goes on from one sleep to the next: most calls come long before the
// first timer is due, and a new one for each would cost more than they do.
type alarm struct {
	armed bool
	at    float64
	stop  func()
	rang  atomic.Bool
}

func (a *alarm) set(clock Clock, t timers, wake func()) {
	if a.rang.Swap(false) {
		a.armed = false
	}
	if len(t) == 0 || a.armed && a.at <= t[0].at {
		return
	}
	a.clear()
	a.armed, a.at = true, t[0].at
	a.stop = clock.Timer(max(0, a.at-clock.Now()), func() {
		a.rang.Store(true)
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
	at    float64
	order uint64
	f     func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
