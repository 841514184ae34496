package pace

import (
	"fmt"
	"testing"
	"time"
)

// ExamplePacer shows that the first turn is free at once, that those asked for together come one after another, that no
// wait exceeds the bound, and that unused turns are not saved up.
func ExamplePacer() {
	var p Pacer
	now := time.Unix(1000, 0)
	fmt.Println(p.reserve(now), p.reserve(now), p.reserve(now))
	for range 2000 {
		p.reserve(now)
	}
	fmt.Println(p.reserve(now), p.reserve(now.Add(400*time.Millisecond)))
	later := now.Add(time.Minute)
	fmt.Println(p.reserve(later), p.reserve(later))
	// Output:
	// 0s 1ms 2ms
	// 1s 600ms
	// 0s 1ms
}

// End ends waits that have begun and those that begin later.
func TestEnd(t *testing.T) {
	var p Pacer
	for range 2 * int(maxWait/turnInterval) {
		p.reserve(time.Now())
	}
	start := time.Now()
	done := make(chan struct{})
	go func() { p.Wait(); close(done) }()
	time.Sleep(10 * time.Millisecond)
	p.End()
	p.End()
	<-done
	p.Wait()
	if took := time.Since(start); took >= maxWait/2 {
		t.Errorf("two waits ended after %v", took)
	}
}
