// Command 10 holds the marshal up for less than 0.15 s while clients send a request and die.
package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	rounds  = 40
	leaving = 4                      // clients that die in a round
	bound   = 100 * time.Millisecond // the page's
	heldUp  = 140 * time.Millisecond // the page: up to 0.15 s
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	var mu sync.Mutex
	ended := map[string]time.Time{} // when the client of a request died
	late, first := 0, ""
	arrived := func(a rig2.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		at, gone := ended[a.ID]
		e.Record.Printf("node %s runs %s", a.Node, a.ID)
		if gone && a.At.Sub(at) > bound {
			late++
			text := fmt.Sprintf("%s began at node %s %v after the end of its client", a.ID, a.Node, a.At.Sub(at).Round(time.Millisecond))
			e.Record.Printf("LATE: %s", text)
			if first == "" {
				first = text
			}
		}
	}
	node := func(name string, _ int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return 10 * time.Millisecond }, OnArrival: arrived}
	}
	d, err := rig2.StartDeployment(e, rig2.Serving(41), []int{41, 41, 41}, node, rig2.Config{MemoryMB: 96, Sockets: 512, Grace: 1,
		Classes: []rig2.Class{{Name: "slot-lookup", Repeat: "free", Aim: 1.5, Deadline: 5},
			{Name: "slot-book", Repeat: "guarded", Group: "zone", Window: 8, Aim: 1.5, Deadline: 4}}})
	if err != nil {
		return "", err
	}
	m, served := d.Marshal, 0
	for round := range rounds {
		var conns []*rig2.Conn
		for i := range leaving { // each has a connection that has served a request
			c, err := rig2.Dial(m.Address)
			if err != nil {
				return "", err
			}
			id := fmt.Sprintf("w%d-%d", round, i)
			e.Record.Printf("client %d sends %s", i, id)
			status, text, _, err := c.Ask(rig2.Request{ID: id, Class: "slot-book", Mark: "m" + id, Body: "{}", ExpiresMs: 3500})
			e.Record.Printf("client %d got for %s: %d %q %v", i, id, status, text, err)
			if status == 200 {
				served++
			}
			conns = append(conns, c)
		}
		time.Sleep(30 * time.Millisecond)
		if e.Trouble {
			m.Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Millisecond)
		}
		stopped := time.Now()
		for i, c := range conns {
			id := fmt.Sprintf("d%d-%d", round, i)
			io.WriteString(c, rig2.Request{ID: id, Class: "slot-book", Mark: "m" + id, Body: `{"place": 1}`, ExpiresMs: 3500}.Text())
			e.Record.Printf("client %d has sent %s", i, id)
		}
		time.Sleep(2 * time.Millisecond)
		for i, c := range conns {
			id := fmt.Sprintf("d%d-%d", round, i)
			mu.Lock()
			ended[id] = time.Now()
			mu.Unlock()
			c.SetLinger(0) // a process that dies resets its connections
			c.Close()
			e.Record.Printf("client %d has died", i)
		}
		time.Sleep(time.Until(stopped.Add(heldUp)))
		if e.Trouble {
			m.Signal(syscall.SIGCONT)
		}
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	e.Record.Printf("%d served; %d of %d attempts began late", served, late, rounds*leaving)
	if served == 0 {
		return "", fmt.Errorf("clients got no answer")
	}
	if first != "" {
		first = fmt.Sprintf("%d of %d requests were sent to nodes for clients that had gone; the first: %s", late, rounds*leaving, first)
	}
	return first, nil
}
