package loop

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// hand is a clock set by hand.
type hand struct {
	mu    sync.Mutex
	now   float64
	wakes []func()
}

func (h *hand) Now() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hand) Timer(_ float64, wake func()) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakes = append(h.wakes, wake)
	return func() {}
}

func (h *hand) set(now float64) {
	h.mu.Lock()
	h.now = now
	wakes := h.wakes
	h.wakes = nil
	h.mu.Unlock()
	for _, w := range wakes {
		w()
	}
}

// Endings go before arrivals, however many of these wait; what is over the bound is refused.
func TestOrder(t *testing.T) {
	l := New(&hand{now: 5}, 20)
	var ran []string
	note := func(s string) func() { return func() { ran = append(ran, s) } }
	taken := 0
	for i := range 30 {
		if l.Offer(note("a")) {
			taken++
		}
		if i == 10 {
			l.Post(func() { ran = append(ran, "e"); l.Post(note("E")) })
		}
	}
	l.Offer(note("refused"))
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
	if taken != 20 || l.Refused() != 11 || !strings.HasPrefix(got, "e") || strings.Index(got, "E") > 9 || len(got) != 22 {
		t.Errorf("%d taken, %d refused, ran %s", taken, l.Refused(), got)
	}
	if l.Offer(func() {}) {
		t.Error("a loop that has ended took an arrival")
	}
}

// Timers run in their order at their time by the injected clock, and a call sees one time throughout.
func TestTimers(t *testing.T) {
	h := &hand{now: 100}
	l := New(h, 1)
	var mu sync.Mutex
	var ran []string
	note := func(s string) func() {
		return func() {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, fmt.Sprint(s, l.Now()))
		}
	}
	done := make(chan error)
	go func() { done <- l.Run() }()
	l.Do(func() {
		l.After(20, note("b"))
		l.After(10, note("a"))
		l.After(20, note("c"))
		l.After(-5, note("now"))
		at := l.Now()
		h.set(104)
		if l.Now() != at {
			t.Error("the time changed within a call")
		}
	})
	for _, now := range []float64{109, 115, 130} {
		h.set(now)
		l.Do(func() {})
		time.Sleep(2 * time.Millisecond)
	}
	l.Do(func() {})
	l.Stop()
	<-done
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(ran, " "); got != "now104 a115 b130 c130" {
		t.Errorf("ran %s", got)
	}
}

// News goes before all that waits, in its own order; a loop that may run again after a panic keeps what waits, runs
// what is to be first, and lets go of timers.
func TestNewsAndAgain(t *testing.T) {
	l := New(Monotonic(), 10)
	l.Restartable = true
	var got []string
	say := func(s string) func() { return func() { got = append(got, s) } }
	l.Post(say("ending 1"))
	l.Offer(say("arrival"))
	l.Post(func() { l.After(0, say("timer")); panic("planted") })
	l.Post(say("ending 2"))
	l.PostUrgent(say("news 1"))
	l.PostUrgent(say("news 2"))
	var p *Panic
	if err := l.Run(); !errors.As(err, &p) || p.Value != "planted" {
		t.Fatalf("it ended with %v", err)
	}
	got = append(got, "again")
	l.Offer(func() { got = append(got, "later"); l.Stop() })
	l.RunFirst(say("first"))
	l.PostUrgent(say("news 3"))
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	want := "news 1, news 2, ending 1, again, first, news 3, ending 2, arrival, later"
	if s := strings.Join(got, ", "); s != want {
		t.Errorf("it ran %s", s)
	}
	if l.Waiting() != 0 || l.CurrentCallMs() != 0 {
		t.Errorf("%d wait, and it stands for %v ms", l.Waiting(), l.CurrentCallMs())
	}
}

// Whoever posts with Do or Offer may run the loop; calls still run one at a time, none is lost, a panic on a poster's
// goroutine is the loop's, and who posts from within a call does not run it again within.
func TestPostersRunIt(t *testing.T) {
	l := New(Monotonic(), 1<<20)
	end := make(chan error)
	go func() { end <- l.Run() }()
	running, ran, more, inside := 0, 0, 0, 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 2000 {
				f := func() {
					running++
					if running != 1 {
						inside++
					}
					ran++
					if ran%100 == 0 {
						l.Post(func() { more++ })
						l.After(0.1, func() { more++ })
					}
					running--
				}
				if i%3 == 0 {
					l.Post(f)
				} else if !l.Offer(f) {
					t.Error("refused")
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
		if ran != 16000 || more != 2*160 || inside != 0 {
			t.Errorf("%d and %d ran, %d within another", ran, more, inside)
		}
	})
	l.Post(func() { panic("planted") })
	var p *Panic
	if err := <-end; !errors.As(err, &p) || p.Value != "planted" {
		t.Errorf("it ended with %v", err)
	}
	l.Post(func() { t.Error("a loop that has ended runs a call") })
}

// A call that blocked took whoever had posted one with it: TestLoopStandsStill's second client got "no answer: i/o timeout" after
// 3.03 s, since the goroutine that owed the answer was inside the blocked call (help, run on the poster's goroutine). Nobody but
// the loop's own goroutine runs calls now, and posting one returns whatever the loop does.
func TestPostersNeverWait(t *testing.T) {
	for name, post := range map[string]func(*Loop, func()){
		"Post":  (*Loop).Post,
		"News":  (*Loop).PostUrgent,
		"Offer": func(l *Loop, f func()) { l.Offer(f) },
	} {
		t.Run(name, func(t *testing.T) {
			l := New(Monotonic(), 9)
			end := make(chan error)
			go func() { end <- l.Run() }()
			l.Do(func() {})
			time.Sleep(10 * time.Millisecond) // it sleeps
			blocked, posted, ran := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				post(l, func() { <-blocked })
				post(l, func() { close(ran) })
				close(posted)
			}()
			select {
			case <-posted:
			case <-time.After(5 * time.Second):
				t.Error("the poster waits for a call that blocks")
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
