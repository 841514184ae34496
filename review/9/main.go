// Command 9 offers a build whose news comes late while the build before it is still on trial, and looks where the keys go
// that the newer build has answered.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	clients       = 12
	keysPerClient = 3
	length        = 14 * time.Second
	offeredAfter  = 5 * time.Second
	listedAfter   = 1500 * time.Millisecond // since it was offered: the node has started and is listed
	newsLate      = 5 * time.Second         // the page: 2.5 to 7.4 s
	newsUsual     = 300 * time.Millisecond  // the page: 0.1 to 0.85 s
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	node := func(name string, build int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return 20 * time.Millisecond },
			Body:      func(id string) []byte { return fmt.Appendf(nil, "%d made for %s", build, id) },
			OnArrival: func(a rig2.Arrival) { e.Record.Printf("node %s of build %d runs %s of %s", name, build, a.ID, a.Key) }}
	}
	next, err := rig2.StartNode(node("s-6", 43), 43)
	if err != nil {
		return "", err
	}
	onTrial := rig2.Release{Build: 42, Wave: 2, State: "testing", Cap: 0.56, Since: time.Now().Add(-time.Second)}
	d, err := rig2.StartDeployment(e, onTrial, []int{41, 41, 41, 42, 42, 42}, node, rig2.Config{MemoryMB: 96, Sockets: 512,
		Grace: 0.5, ForwardOnly: true, Classes: []rig2.Class{{Name: "policy-check", Repeat: "free", Aim: 1, Deadline: 3}}})
	if err != nil {
		return "", err
	}
	start := time.Now()
	end := start.Add(length)
	go func() {
		time.Sleep(offeredAfter)
		offered := rig2.Release{Build: 43, State: "testing", Cap: 0.042, Since: time.Now()}
		e.Record.Printf("build 43 is offered")
		late := newsUsual
		if e.Trouble {
			late = newsLate
		}
		go func() {
			time.Sleep(late)
			d.ReleaseAPI.Tell(offered)
		}()
		time.Sleep(listedAfter)
		next.BornMs = time.Now().Add(-900 * time.Millisecond).UnixMilli()
		d.Discovery.Change(next)
	}()

	var mu sync.Mutex
	back, newer, answers, first := 0, 0, 0, ""
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { // each client has keys of its own and asks one thing at a time
			newest := map[string]int{} // the newest build that has answered a key
			var c *rig2.Conn
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				if c == nil {
					var err error
					if c, err = rig2.Dial(d.Marshal.Address); err != nil {
						c = nil
						continue
					}
				}
				key, id := fmt.Sprintf("key-%d-%d", i, k%keysPerClient), fmt.Sprintf("r%d-%d", i, k)
				e.Record.Printf("client %d sends %s of %s", i, id, key)
				status, body, keep, err := c.Ask(rig2.Request{ID: id, Class: "policy-check", Key: key, ExpiresMs: 2500})
				e.Record.Printf("client %d got for %s of %s: %d %q %v", i, id, key, status, body, err)
				build := 0
				if status == 200 && strings.HasSuffix(body, " made for "+id) {
					fmt.Sscanf(body, "%d", &build)
				}
				mu.Lock()
				if build > 0 {
					answers++
				}
				if build == 43 {
					newer++
				}
				// Build 43 is never sent back here. Build 42 is not on trial any more once 43 is offered: what it answered
				// does not count.
				if build > 0 && build < 43 && newest[key] == 43 {
					back++
					text := fmt.Sprintf("%s of %s went to build %d after build 43 had answered that key", id, key, build)
					e.Record.Printf("BACK: %s", text)
					if first == "" {
						first = text
					}
				}
				mu.Unlock()
				newest[key] = max(newest[key], build)
				if err != nil || !keep {
					c.Close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	e.Record.Printf("%d answers, %d of build 43; %d times a key went back", answers, newer, back)
	if newer == 0 {
		return "", fmt.Errorf("build 43 answered nothing")
	}
	if first != "" {
		first = fmt.Sprintf("%d times a key went back; the first time %s", back, first)
	}
	return first, nil
}
