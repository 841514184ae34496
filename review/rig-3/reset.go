package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// playReset has clients die, which resets their connections, while the marshal is held up for 0.15 s.
func playReset(g *rig) (broken bool, err error) {
	const rounds = 60
	d := smallDeployment()
	d.marshals = 3
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var hosts []host
	for i := range 9 {
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], 41, seen, answered, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, n.host)
	}
	a, err := g.newAgent(0, hosts...)
	if err != nil {
		return false, err
	}
	p, err := g.newReleaseAPI(0, stage{build: 41, wave: 3, state: "live", cap: 1, since: time.Now().Add(-time.Minute)})
	if err != nil {
		return false, err
	}
	m, err := g.startMarshal(0, d, a, p, hosts, nil)
	if err != nil {
		return false, err
	}
	gone := map[string]time.Time{}
	kind := map[string]string{}
	for i := range rounds {
		class, body := "lookup", ""
		if i%2 == 1 {
			class, body = "book", "one slot, please"
		}
		how := "reset"
		if i%4 >= 2 {
			how = "closed"
		}
		c, err := net.DialTimeout("tcp", m.address, time.Second)
		if err != nil {
			return false, err
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		first := newID()
		io.WriteString(c, requestText(first, class, "key", 4*time.Second, body))
		q, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return false, err
		}
		io.Copy(io.Discard, q.Body)
		time.Sleep(30 * time.Millisecond)
		id := newID()
		if g.trouble {
			m.signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Millisecond)
		}
		io.WriteString(c, requestText(id, class, "key", 4*time.Second, body))
		g.add("client sent %s %s", class, id)
		if how == "reset" {
			c.(*net.TCPConn).SetLinger(0)
		}
		if g.trouble {
			c.Close()
			gone[id], kind[id] = time.Now(), how+" "+class
			g.add("client %s its connection after %s", how, id)
			time.Sleep(145 * time.Millisecond)
			m.signal(syscall.SIGCONT)
			time.Sleep(50 * time.Millisecond)
		} else {
			time.Sleep(100 * time.Millisecond)
			c.Close()
			gone[id], kind[id] = time.Now(), how+" "+class
		}
	}
	time.Sleep(time.Second)
	late := map[string]int{}
	total := 0
	for _, x := range seen.list() {
		if at, ok := gone[x.id]; ok && x.at.Sub(at) > 100*time.Millisecond {
			late[kind[x.id]]++
			total++
		}
	}
	g.add("of %d requests, attempts that began more than 0.1 s after their client had gone: %d: %v", rounds, total, fmt.Sprint(late))
	return total > 0, nil
}
