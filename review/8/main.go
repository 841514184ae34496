// Command 8 plays bad clients that send the id of a usual client's open request, again as soon as they are turned away.
package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"arrowcleat/review/rig-2"
)

const (
	badClients = 30
	requests   = 60
	work       = 150 * time.Millisecond // the page: 120 to 210 ms
)

func main() { rig2.Main(run) }

// request is what is known of a usual client's request.
type request struct {
	answered   time.Time   // when a node began its first answer
	ran        []time.Time // when it reached a node whole
	copiesSent []time.Time // when copies that were served had been sent
}

func run(e rig2.Env) (broken string, err error) {
	var mu sync.Mutex
	known := map[string]*request{}
	open := "" // the id of the request that is open
	node := func(name string, _ int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return work }, OnArrival: func(a rig2.Arrival) {
			e.Record.Printf("node %s runs %s", a.Node, a.ID)
			mu.Lock()
			defer mu.Unlock()
			if r := known[a.ID]; r != nil {
				if len(r.ran) == 0 {
					open = a.ID // from now on bad clients know it
				}
				r.ran = append(r.ran, a.At)
			}
		}, OnAnswer: func(id string) {
			mu.Lock()
			defer mu.Unlock()
			if r := known[id]; r != nil && r.answered.IsZero() {
				r.answered = time.Now()
			}
		}}
	}
	d, err := rig2.StartDeployment(e, rig2.Serving(41), []int{41, 41, 41}, node, rig2.Config{MemoryMB: 96, Sockets: 512, Grace: 0.5,
		Classes: []rig2.Class{{Name: "policy-check", Repeat: "free", Aim: 1, Deadline: 3},
			{Name: "approver-alert", Repeat: "single_shot", Aim: 0.8, Deadline: 2}}})
	if err != nil {
		return "", err
	}
	address := d.Marshal.Address
	alert := func(id string) rig2.Request {
		return rig2.Request{ID: id, Class: "approver-alert", ExpiresMs: 1900, Post: true}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	turnedAway := 0
	if e.Trouble {
		for i := range badClients {
			wg.Go(func() {
				var c *rig2.Conn
				for {
					select {
					case <-done:
						return
					default:
					}
					mu.Lock()
					id := open
					mu.Unlock()
					if id == "" {
						time.Sleep(500 * time.Microsecond)
						continue
					}
					if c == nil {
						var err error
						if c, err = rig2.Dial(address); err != nil {
							c = nil
							continue
						}
					}
					c.SetDeadline(time.Now().Add(4 * time.Second))
					_, err := io.WriteString(c, alert(id).Text())
					sent := time.Now()
					status, text, keep := 0, "", false
					if err == nil {
						status, text, keep, err = c.Answer()
					}
					mu.Lock()
					if status == 200 {
						known[id].copiesSent = append(known[id].copiesSent, sent)
						e.Record.Printf("bad client %d got for its copy of %s: 200 %q", i, id, text)
					} else {
						turnedAway++
					}
					mu.Unlock()
					if err != nil || !keep {
						c.Close()
						c = nil
					}
				}
			})
		}
	}
	c, err := rig2.Dial(address)
	if err != nil {
		return "", err
	}
	served := 0
	for k := range requests {
		id := fmt.Sprintf("u-%d", k)
		mu.Lock()
		known[id] = &request{}
		mu.Unlock()
		e.Record.Printf("usual client sends %s", id)
		status, text, keep, err := c.Ask(alert(id))
		mu.Lock()
		open = ""
		mu.Unlock()
		e.Record.Printf("usual client got for %s: %d %q %v", id, status, text, err)
		if status == 200 {
			served++
		}
		if err != nil || !keep {
			c.Close()
			if c, err = rig2.Dial(address); err != nil {
				return "", err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(done)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice, first := 0, ""
	for k := range requests {
		id := fmt.Sprintf("u-%d", k)
		r := known[id]
		for _, sent := range r.copiesSent {
			if len(r.ran) > 1 && sent.Before(r.answered) {
				twice++
				if first == "" {
					first = fmt.Sprintf("%s ran %d times, and a bad client was served for a copy that it had sent %v before the first answer began", id, len(r.ran), r.answered.Sub(sent))
				}
				break
			}
		}
	}
	e.Record.Printf("%d of %d served, copies turned away %d times; %d requests ran twice", served, requests, turnedAway, twice)
	if served == 0 {
		return "", fmt.Errorf("the usual client got no answer")
	}
	if first != "" {
		first = fmt.Sprintf("%d of %d requests ran twice; the first: %s", twice, requests, first)
	}
	return first, nil
}
