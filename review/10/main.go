// Command 10 replaces all nodes by others at the same addresses, in one message of discovery, and looks whether the marshal
// goes on.
package main

import (
	"fmt"
	"sync"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	length     = 16 * time.Second
	replacedAt = 4 * time.Second
	bound      = 4 * time.Second // the page's
	least      = 15              // the page's
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	var mu sync.Mutex
	lastAttempt, refused, first := time.Now(), 0, ""
	node := func(name string, _ int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return 20 * time.Millisecond }, OnArrival: func(a rig2.Arrival) {
			e.Record.Printf("node %s runs %s", a.Node, a.ID)
			mu.Lock()
			defer mu.Unlock()
			lastAttempt, refused = time.Now(), 0
		}}
	}
	d, err := rig2.StartDeployment(e, rig2.Serving(41), []int{41, 41, 41}, node, rig2.Config{MemoryMB: 96, Sockets: 512, Grace: 1,
		Classes: []rig2.Class{{Name: "slot-lookup", Repeat: "free", Aim: 1.5, Deadline: 5}}})
	if err != nil {
		return "", err
	}
	start := time.Now()
	end := start.Add(length)
	go func() {
		time.Sleep(replacedAt)
		var gone, come []rig2.Host
		for _, h := range d.Hosts {
			next := h
			next.Name, next.BornMs = "r"+h.Name, time.Now().Add(-6*time.Second).UnixMilli()
			h.Health = "terminated"
			gone, come = append(gone, h), append(come, next)
		}
		if e.Trouble {
			d.Discovery.Change(append(come, gone...)...) // by the names of the hosts
		} else {
			d.Discovery.Change(append(gone, come...)...)
		}
	}()
	served := 0
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			c, err := rig2.Dial(d.Marshal.Address)
			for k := 0; err == nil && time.Now().Before(end); k++ {
				time.Sleep(100 * time.Millisecond)
				id, status, text := fmt.Sprintf("u%d-%d", i, k), 0, ""
				e.Record.Printf("client %d sends %s", i, id)
				status, text, _, err = c.Ask(rig2.Request{ID: id, Class: "slot-lookup", ExpiresMs: 4000})
				e.Record.Printf("client %d got for %s: %d %q %v", i, id, status, text, err)
				mu.Lock()
				if status == 200 {
					served++
				} else {
					refused++
				}
				if since := time.Since(lastAttempt); since > bound && refused >= least && first == "" {
					first = fmt.Sprintf("%d requests in a row were rejected, and none was sent to a node for %v", refused, since.Round(time.Millisecond))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.Record.Printf("%d served; at the end %d were rejected in a row, with no attempt for %v", served, refused, time.Since(lastAttempt))
	if served == 0 {
		return "", fmt.Errorf("clients got no answer")
	}
	return first, nil
}
