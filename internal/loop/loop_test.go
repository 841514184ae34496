package loop

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// manualClock is a clock that is set by hand. Setting it fires all timers.
type manualClock struct {
	mu    sync.Mutex
	now   float64
	wakes []func()
}

func (c *manualClock) Now() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Timer(_ float64, wake func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes = append(c.wakes, wake)
	return func() {}
}

func (c *manualClock) set(now float64) {
	c.mu.Lock()
	c.now = now
	wakes := c.wakes
	c.wakes = nil
	c.mu.Unlock()
	for _, w := range wakes {
		w()
	}
}

// Posted calls run before arrivals, however many of these wait. Arrivals beyond the bound are refused.
func TestOrder(t *testing.T) {
	l := New(&manualClock{now: 5}, 20)
	var ran []string
	record := func(s string) func() { return func() { ran = append(ran, s) } }
	accepted := 0
	for i := range 30 {
		if l.Offer(record("a")) {
			accepted++
		}
		if i == 10 {
			l.Post(func() { ran = append(ran, "e"); l.Post(record("E")) })
		}
	}
	l.Offer(record("refused"))
	go func() {
		for l.Completed() < 22 {
			time.Sleep(time.Millisecond)
		}
		l.Stop()
	}()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(ran, "")
	if accepted != 20 || l.Refused() != 11 || !strings.HasPrefix(got, "e") || strings.Index(got, "E") > 9 || len(got) != 22 {
		t.Errorf("accepted %d, refused %d, ran %s; want 20, 11, and 22 calls with e first and E among the first ten",
			accepted, l.Refused(), got)
	}
	if l.Offer(func() {}) {
		t.Error("a stopped loop accepted an arrival")
	}
}

// Timers run in the order of their times on the injected clock, and the time does not change during a call.
func TestTimers(t *testing.T) {
	clock := &manualClock{now: 100}
	l := New(clock, 1)
	var mu sync.Mutex
	var ran []string
	record := func(s string) func() {
		return func() {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, fmt.Sprint(s, l.Now()))
		}
	}
	done := make(chan error)
	go func() { done <- l.Run() }()
	l.Do(func() {
		l.After(20, record("b"))
		l.After(10, record("a"))
		l.After(20, record("c"))
		l.After(-5, record("now"))
		before := l.Now()
		clock.set(104)
		if l.Now() != before {
			t.Error("the time changed during a call")
		}
	})
	for _, now := range []float64{109, 115, 130} {
		clock.set(now)
		l.Do(func() {})
		time.Sleep(2 * time.Millisecond)
	}
	l.Do(func() {})
	l.Stop()
	<-done
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(ran, " "); got != "now104 a115 b130 c130" {
		t.Errorf("ran %s, want now104 a115 b130 c130", got)
	}
}

// Urgent calls run before all that wait, in their own order. A loop that is run again after a panic keeps the queued
// calls, starts with the call given to RunFirst, and drops timers.
func TestUrgentAndRestart(t *testing.T) {
	l := New(Monotonic(), 10)
	l.Restartable = true
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	l.Post(record("posted 1"))
	l.Offer(record("arrival"))
	l.Post(func() { l.After(0, record("timer")); panic("injected") })
	l.Post(record("posted 2"))
	l.PostUrgent(record("urgent 1"))
	l.PostUrgent(record("urgent 2"))
	var p *Panic
	if err := l.Run(); !errors.As(err, &p) || p.Value != "injected" {
		t.Fatalf("Run returned %v, want the injected panic", err)
	}
	got = append(got, "restart")
	l.Offer(func() { got = append(got, "later"); l.Stop() })
	l.RunFirst(record("first"))
	l.PostUrgent(record("urgent 3"))
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	want := "urgent 1, urgent 2, posted 1, restart, first, urgent 3, posted 2, arrival, later"
	if s := strings.Join(got, ", "); s != want {
		t.Errorf("ran %s, want %s", s, want)
	}
	if l.Waiting() != 0 || l.CurrentCallMs() != 0 {
		t.Errorf("%d arrivals wait and a call has run for %v ms, want 0 and 0", l.Waiting(), l.CurrentCallMs())
	}
}

// Calls posted from several goroutines run one at a time, and none is lost. A panic in a call ends Run and not the
// goroutine that posted it.
func TestConcurrentPosters(t *testing.T) {
	l := New(Monotonic(), 1<<20)
	end := make(chan error)
	go func() { end <- l.Run() }()
	running, ran, nested, overlapping := 0, 0, 0, 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 2000 {
				f := func() {
					running++
					if running != 1 {
						overlapping++
					}
					ran++
					if ran%100 == 0 {
						l.Post(func() { nested++ })
						l.After(0.1, func() { nested++ })
					}
					running--
				}
				if i%3 == 0 {
					l.Post(f)
				} else if !l.Offer(f) {
					t.Error("an arrival was refused")
				}
			}
		})
	}
	wg.Wait()
	for l.Waiting() > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	l.Do(func() {
		if ran != 16000 || nested != 2*160 || overlapping != 0 {
			t.Errorf("ran %d calls and %d calls set within them, %d overlapping; want 16000, 320, 0", ran, nested, overlapping)
		}
	})
	l.Post(func() { panic("injected") })
	var p *Panic
	if err := <-end; !errors.As(err, &p) || p.Value != "injected" {
		t.Errorf("Run returned %v, want the injected panic", err)
	}
	l.Post(func() { t.Error("a stopped loop runs a call") })
}

// Posting a call returns at once, also while the loop is blocked in another call. When posters ran the calls themselves,
// the goroutine that had to answer a client was caught in the blocked call, and the client got "no answer: i/o timeout"
// after 3.03 s.
func TestPostersNeverWait(t *testing.T) {
	for name, post := range map[string]func(*Loop, func()){
		"Post":       (*Loop).Post,
		"PostUrgent": (*Loop).PostUrgent,
		"Offer":      func(l *Loop, f func()) { l.Offer(f) },
	} {
		t.Run(name, func(t *testing.T) {
			l := New(Monotonic(), 9)
			end := make(chan error)
			go func() { end <- l.Run() }()
			l.Do(func() {})
			time.Sleep(10 * time.Millisecond) // lets the loop sleep
			blocked, posted, ran := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				post(l, func() { <-blocked })
				post(l, func() { close(ran) })
				close(posted)
			}()
			select {
			case <-posted:
			case <-time.After(5 * time.Second):
				t.Error("posting waits for a call that blocks")
			}
			close(blocked)
			<-ran
			l.Stop()
			if err := <-end; err != nil {
				t.Error(err)
			}
		})
	}
}

// Arrivals that are held wait, while all other calls run. Once they are released they run in their order, and the loop
// sleeps while it holds some.
func TestHoldArrivals(t *testing.T) {
	l := New(&manualClock{now: 5}, 20)
	l.HoldArrivals()
	var ran []string
	record := func(s string) func() { return func() { ran = append(ran, s) } }
	for i := range 3 {
		l.Offer(record(fmt.Sprint("a", i)))
	}
	l.Post(record("e"))
	l.PostUrgent(record("u"))
	ended := make(chan error)
	go func() { ended <- l.Run() }()
	l.Do(func() {})
	if got := strings.Join(ran, " "); got != "u e" || l.Waiting() != 3 || l.hasCalls() {
		t.Errorf("while arrivals are held: ran %q, %d wait, calls that may run: %v; want \"u e\", 3, false", got, l.Waiting(), l.hasCalls())
	}
	l.ReleaseArrivals()
	for l.Waiting() > 0 {
		time.Sleep(time.Millisecond)
	}
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := strings.Join(ran, " "); got != "u e a0 a1 a2" {
		t.Errorf("after the release: ran %q", got)
	}
}
