package pace

import (
	"fmt"
	"time"
)

// ExamplePacer shows that the first turn is free at once, that those asked for together come one after another, that no
// wait exceeds the bound, and that unused turns are not saved up.
func ExamplePacer() {
	var p Pacer
	now := time.Unix(1000, 0)
	fmt.Println(p.Reserve(now), p.Reserve(now), p.Reserve(now))
	for range 2000 {
		p.Reserve(now)
	}
	fmt.Println(p.Reserve(now), p.Reserve(now.Add(400*time.Millisecond)))
	later := now.Add(time.Minute)
	fmt.Println(p.Reserve(later), p.Reserve(later))
	// Output:
	// 0s 1ms 2ms
	// 1s 600ms
	// 0s 1ms
}
