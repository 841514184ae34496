// Command 2 plays a marshal that is killed and started again while discovery is down, and checks that each request that
// the marshal's machine took after the start gets its final answer in time.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"arrowcleat/review/rig"
)

const (
	outage      = 8 * time.Second        // of discovery: "discovery is down for 8 s"
	down        = 350 * time.Millisecond // from the kill to the new process
	frontNotice = 1200 * time.Millisecond
	// A request that is answered later than its time and this is lost: half a second, and 50 ms that the protocol adds.
	slack  = 550 * time.Millisecond
	rounds = 3
)

// class is a class of quay-permits.
type class struct {
	name     string
	marked   bool
	deadline time.Duration
}

var classes = []class{{"permit", false, 800 * time.Millisecond}, {"permit-issue", true, 650 * time.Millisecond}}

// run is the state of the case.
type run struct {
	record  *rig.Record
	marshal *rig.Marshal
	clients sync.WaitGroup

	mu           sync.Mutex
	n            int
	taken, after int // requests taken by a running marshal; of them those between a new start and ready
	lost         []string
}

// send opens a connection, sends one request on it and judges the answer. A refused connection has taken nothing.
func (r *run) send(restarting bool) {
	c := classes[0]
	if rand.Float64() < 0.37 {
		c = classes[1]
	}
	expires := time.Duration((0.4 + 0.6*rand.Float64()) * float64(c.deadline)).Truncate(time.Millisecond)
	r.mu.Lock()
	r.n++
	id := fmt.Sprintf("%016x", r.n)
	r.mu.Unlock()
	nc, err := net.DialTimeout("tcp", r.marshal.Listen, time.Second)
	if err != nil {
		r.record.Line(time.Now(), "client %s: not connected: %v", id, err)
		return
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, rig.Request(c.name, id, c.marked, expires)); err != nil {
		r.record.Line(time.Now(), "client %s: not sent: %v", id, err)
		return
	}
	sent := time.Now()
	r.record.Line(sent, "client sent %s, %s, waits %v", id, c.name, expires)
	a := rig.ReadAnswer(nc, bufio.NewReader(nc), sent.Add(4*time.Second))
	took := a.At.Sub(sent)
	r.record.Line(a.At, "client got for %s: %d, error %v, after %v", id, a.Status, a.Err, took.Round(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken++
	if restarting {
		r.after++
	}
	switch {
	case a.Err != nil:
		r.lost = append(r.lost, fmt.Sprintf("%s (%s, %v): no answer: %v after %v", id, c.name, expires, a.Err, took))
	case took > expires+slack:
		r.lost = append(r.lost, fmt.Sprintf("%s (%s): answered %d after %v, which is %v after its time of %v", id, c.name,
			a.Status, took.Round(time.Millisecond), (took-expires).Round(time.Millisecond), expires))
	case a.Status == 200 && a.Body != rig.Body(id):
		r.lost = append(r.lost, fmt.Sprintf("%s: a body that was not made for it: %q", id, a.Body))
	}
}

// load sends requests, 200 a second at most, for a time.
func (r *run) load(d time.Duration, restarting bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.clients.Go(func() { r.send(restarting) })
	}
}

func play(root, dir string) (code int, err error) {
	record, err := rig.OpenRecord(dir)
	if err != nil {
		return rig.NotRun, err
	}
	defer record.Close()
	discovery, api := &rig.Discovery{}, &rig.ReleaseAPI{}
	for i := range 8 {
		n := &rig.Node{Name: fmt.Sprintf("s-%d", i), Record: record,
			Work: func() time.Duration { return time.Duration(18+rand.IntN(14)) * time.Millisecond }}
		if err := n.Start("127.0.0.1:0"); err != nil {
			return rig.NotRun, err
		}
		discovery.Hosts = append(discovery.Hosts, rig.Host{Name: n.Name, Dial: n.Address(),
			Site: []string{"east-quay", "west"}[i%2], Build: 41})
	}
	if err := discovery.Start(); err != nil {
		return rig.NotRun, err
	}
	if err := api.Start(); err != nil {
		return rig.NotRun, err
	}
	r := &run{record: record}
	if r.marshal, err = rig.NewMarshal(root, record, discovery.Address(), api.Address(), discovery.List(),
		rig.QuayPermits); err != nil {
		return rig.NotRun, err
	}
	defer r.marshal.Close()
	if err := r.marshal.Start(); err != nil {
		return rig.NotRun, err
	}
	if err := r.marshal.Ready(10 * time.Second); err != nil {
		return rig.NotRun, err
	}
	for range rounds {
		r.load(2*time.Second, false)
		r.clients.Wait()
		down0 := time.Now()
		if rig.Trouble() {
			record.Line(down0, "discovery is down")
			discovery.SetSilent(true)
		}
		time.Sleep(time.Second)
		r.marshal.Kill()
		killed := time.Now()
		time.Sleep(down)
		if err := r.marshal.Start(); err != nil {
			return rig.NotRun, err
		}
		// The front has not noticed yet that the marshal was dead.
		r.load(time.Until(killed.Add(frontNotice)), true)
		if err := r.marshal.Ready(10 * time.Second); err != nil {
			return rig.NotRun, err
		}
		r.load(2*time.Second, false)
		r.clients.Wait()
		time.Sleep(time.Until(down0.Add(outage)))
		if rig.Trouble() {
			record.Line(time.Now(), "discovery is back")
			discovery.SetSilent(false)
		}
		time.Sleep(time.Second)
	}
	sort.Strings(r.lost)
	for _, text := range r.lost {
		record.Line(time.Now(), "LOST %s", text)
		fmt.Println("lost:", text)
	}
	fmt.Printf("%d requests taken, %d of them between a start and ready; %d lost\n", r.taken, r.after, len(r.lost))
	record.Line(time.Now(), "%d requests taken, %d of them between a start and ready; %d lost", r.taken, r.after, len(r.lost))
	if len(r.lost) > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}

func main() { rig.Main(play) }
