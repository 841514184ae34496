// Command 10 spoils one line of the release API's stream, then sends a build back, and looks whether that build gets more.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	clients   = 8
	spoiltAt  = 4 * time.Second
	backAt    = 7 * time.Second
	heardBy   = 6 * time.Second // after which news counts as heard here; the page: when it is written, and 150 ms
	length    = 20 * time.Second
	window    = 2 * time.Second // the claims brief, 9.3
	allowance = 1 + 2           // the same, and PROTOCOL.md's slack of two attempts
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	var mu sync.Mutex
	var atBack time.Time       // when the build was sent back
	var attempts []time.Time   // at the build, since then
	var total, early, late int // answers in all, attempts at the build before and after it had to be heard
	node := func(name string, build int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return 20 * time.Millisecond }, OnArrival: func(a rig2.Arrival) {
			e.Record.Printf("node %s of build %d runs %s", name, build, a.ID)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case build != 42:
			case atBack.IsZero() || a.At.Before(atBack.Add(heardBy)):
				early++
			default:
				late++
				attempts = append(attempts, a.At)
			}
		}}
	}
	onTrial := rig2.Release{Build: 42, Wave: 2, State: "testing", Cap: 0.56, Since: time.Now().Add(-time.Second)}
	d, err := rig2.StartDeployment(e, onTrial, []int{41, 41, 41, 42, 42, 42}, node, rig2.Config{MemoryMB: 96, Sockets: 512, Grace: 0.5,
		Classes: []rig2.Class{{Name: "policy-check", Repeat: "free", Aim: 1, Deadline: 3}}})
	if err != nil {
		return "", err
	}
	start := time.Now()
	end := start.Add(length)
	go func() {
		time.Sleep(spoiltAt)
		if e.Trouble {
			e.Record.Printf("release API: only a part of a line comes")
			d.ReleaseAPI.TellPart(60)
		}
		time.Sleep(time.Until(start.Add(backAt)))
		mu.Lock()
		atBack = time.Now()
		mu.Unlock()
		d.ReleaseAPI.VoteStatus = 409
		d.ReleaseAPI.Tell(rig2.Release{Build: 42, Wave: 2, State: "recalling", Cap: 0, Since: time.Now()})
	}()
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c, err := rig2.Dial(d.Marshal.Address)
			for k := 0; err == nil && time.Now().Before(end); k++ {
				id, status, text := fmt.Sprintf("u%d-%d", i, k), 0, ""
				e.Record.Printf("client %d sends %s", i, id)
				status, text, _, err = c.Ask(rig2.Request{ID: id, Class: "policy-check", ExpiresMs: 2500})
				e.Record.Printf("client %d got for %s: %d %q %v", i, id, status, strings.TrimSpace(text), err)
				mu.Lock()
				if status == 200 {
					total++
				}
				mu.Unlock()
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, from := range attempts {
		n := 0
		for _, at := range attempts[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	e.Record.Printf("%d served; attempts at build 42: %d, and %d from %v after it was sent back, at most %d in %v", total, early, late,
		heardBy, most, window)
	if early == 0 || total == 0 {
		return "", fmt.Errorf("build 42 got nothing while it was on trial")
	}
	if most > allowance {
		return fmt.Sprintf("%d attempts at build 42 from %v after it was sent back, at most %d in %v, where %d pass", late, heardBy, most, window,
			allowance), nil
	}
	return "", nil
}
