// Command 9 plays bad clients that send hundreds of requests at once on a connection and leave, beside usual clients.
package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	badClients = 10
	atOnce     = 200
	bound      = 100 * time.Millisecond // the page's
	work       = 200 * time.Millisecond // the page: 120 to 210 ms
	length     = 6 * time.Second
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	var mu sync.Mutex
	left := map[string]time.Time{} // when the client closed its connection
	late, first := 0, ""
	arrived := func(a rig2.Arrival) {
		client, _, _ := strings.Cut(a.ID, "-")
		mu.Lock()
		defer mu.Unlock()
		at, gone := left[client]
		if !gone || a.At.Sub(at) <= bound {
			e.Record.Printf("node %s runs %s", a.Node, a.ID)
			return
		}
		late++
		text := fmt.Sprintf("%s began at node %s %v after its client had closed the connection", a.ID, a.Node, a.At.Sub(at).Round(time.Millisecond))
		e.Record.Printf("LATE: %s", text)
		if first == "" {
			first = text
		}
	}
	node := func(name string, _ int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return work }, OnArrival: arrived}
	}
	d, err := rig2.StartDeployment(e, rig2.Serving(41), []int{41, 41, 41}, node, rig2.Config{MemoryMB: 96, Sockets: 512, Grace: 0.5,
		Classes: []rig2.Class{{Name: "policy-check", Repeat: "free", Aim: 1, Deadline: 3},
			{Name: "approver-alert", Repeat: "single_shot", Aim: 0.8, Deadline: 2}}})
	if err != nil {
		return "", err
	}
	address, end := d.Marshal.Address, time.Now().Add(length)
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range 3 {
		wg.Go(func() { // a usual client
			c, err := rig2.Dial(address)
			for k := 0; err == nil && time.Now().Before(end); k++ {
				id, status := fmt.Sprintf("u%d-%d", i, k), 0
				e.Record.Printf("client u%d sends %s", i, id)
				status, _, _, err = c.Ask(rig2.Request{ID: id, Class: "policy-check", ExpiresMs: 2500})
				e.Record.Printf("client u%d got for %s: %d %v", i, id, status, err)
				if status == 200 {
					served.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for i := range badClients {
		wg.Go(func() {
			time.Sleep(time.Duration(500+200*i) * time.Millisecond)
			c, err := rig2.Dial(address)
			if err != nil {
				return
			}
			defer c.Close()
			name := fmt.Sprintf("b%d", i)
			var all strings.Builder
			for k := range atOnce {
				all.WriteString(rig2.Request{ID: fmt.Sprintf("%s-%d", name, k), Class: "approver-alert", Mark: "m" + name, ExpiresMs: 1900}.Text())
			}
			io.WriteString(c, all.String())
			e.Record.Printf("client %s has sent %d requests at once", name, atOnce)
			time.Sleep(50 * time.Millisecond)
			if !e.Trouble { // it stays and reads what it gets
				c.SetReadDeadline(end)
				io.Copy(io.Discard, c)
				return
			}
			mu.Lock()
			left[name] = time.Now()
			mu.Unlock()
			c.Close()
			e.Record.Printf("client %s has closed its connection", name)
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	e.Record.Printf("%d served to usual clients; %d attempts began late", served.Load(), late)
	if served.Load() == 0 {
		return "", fmt.Errorf("usual clients got no answer")
	}
	if first != "" {
		first = fmt.Sprintf("%d attempts for clients that had gone; the first: %s", late, first)
	}
	return first, nil
}
