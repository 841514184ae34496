// Command 7 plays bad clients that begin heads of many short lines, stop in the middle and stay, beside usual clients.
package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowcleat/review/rig-2"
)

// The pages: 32 to 192 MB, 256 to 1,024 descriptors, clients by hundreds.
const (
	memoryMB   = 64
	sockets    = 384
	badClients = 300
	headBytes  = 20400
	length     = 20 * time.Second
)

func main() { rig2.Main(run) }

func run(e rig2.Env) (broken string, err error) {
	node := func(name string, _ int) *rig2.Node {
		return &rig2.Node{Name: name, Work: func() time.Duration { return 5 * time.Millisecond },
			OnArrival: func(a rig2.Arrival) { e.Record.Printf("node %s runs %s", a.Node, a.ID) }}
	}
	d, err := rig2.StartDeployment(e, rig2.Serving(41), []int{41, 41, 41}, node, rig2.Config{MemoryMB: memoryMB, Sockets: sockets,
		Grace: 1, Classes: []rig2.Class{{Name: "slot-lookup", Repeat: "free", Aim: 1, Deadline: 3}}})
	if err != nil {
		return "", err
	}
	m, end := d.Marshal, time.Now().Add(length)
	var clients sync.WaitGroup
	var served, failed, begun, turnedAway atomic.Int64
	for i := range 4 {
		clients.Go(func() { usualClient(e, m.Address, i, end, &served, &failed) })
	}
	if e.Trouble {
		time.Sleep(time.Second)
		head := endlessHead()
		e.Record.Printf("%d clients begin heads of %d bytes and stop in the middle", badClients, len(head))
		for range badClients {
			clients.Go(func() { badClient(m.Address, head, end, &begun, &turnedAway) })
		}
	}
	most := 0.0
	for tick := 0; time.Now().Before(end); tick++ {
		time.Sleep(20 * time.Millisecond)
		mb := m.MemoryMB()
		most = max(most, mb)
		if tick%10 == 0 {
			e.Record.Printf("memory %.1f MB of %d; bad clients: %d heads begun, %d turned away", mb, memoryMB, begun.Load(), turnedAway.Load())
		}
		select {
		case <-m.Exited:
			return fmt.Sprintf("the marshal ended: %v", m.Err), nil
		default:
		}
		if mb > memoryMB {
			m.Signal(syscall.SIGKILL) // the platform's part
			<-m.Exited
			return fmt.Sprintf("memory %.1f MB is over memory_mb %d, for which the platform kills the marshal; %d requests were served before",
				mb, memoryMB, served.Load()), nil
		}
	}
	clients.Wait()
	e.Record.Printf("most memory %.1f MB of %d; usual clients: %d served, %d not; bad clients: %d heads begun, %d turned away", most, memoryMB,
		served.Load(), failed.Load(), begun.Load(), turnedAway.Load())
	if served.Load() == 0 {
		return "", fmt.Errorf("usual clients got no answer")
	}
	return "", nil
}

// usualClient asks 20 times a second on one connection.
func usualClient(e rig2.Env, address string, number int, end time.Time, served, failed *atomic.Int64) {
	var c *rig2.Conn
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(50 * time.Millisecond)
		if c == nil {
			var err error
			if c, err = rig2.Dial(address); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("u%d-%d", number, k)
		e.Record.Printf("client %d sends %s", number, id)
		status, _, keep, err := c.Ask(rig2.Request{ID: id, Class: "slot-lookup", ExpiresMs: 2500})
		e.Record.Printf("client %d got for %s: %d %v", number, id, status, err)
		if status == 200 {
			served.Add(1)
		} else {
			failed.Add(1)
		}
		if err != nil || !keep {
			c.Close()
			c = nil
		}
	}
}

// badClient begins a head, stays until it is turned away, and does the same again.
func badClient(address, head string, end time.Time, begun, turnedAway *atomic.Int64) {
	for time.Now().Before(end) {
		c, err := rig2.Dial(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		io.WriteString(c, head)
		begun.Add(1)
		c.SetReadDeadline(time.Now().Add(4 * time.Second))
		if n, _ := c.Read(make([]byte, 512)); n > 0 {
			turnedAway.Add(1)
		}
		c.Close()
	}
}

// endlessHead returns a head of many short lines without its end.
func endlessHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789_.~!#$%&'*+^`|"
	var b strings.Builder
	b.WriteString("GET /slot-lookup HTTP/1.1\n")
	for i := 0; b.Len() < headBytes; i++ {
		name := string([]byte{letters[i%len(letters)], letters[i/len(letters)%len(letters)]})
		if more := i / len(letters) / len(letters); more > 0 {
			name += letters[more-1 : more]
		}
		b.WriteString(name + ":\n")
	}
	return b.String()
}
