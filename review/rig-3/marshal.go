package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// deployment are the settings of a small deployment.
type deployment struct {
	marshals   int
	tell       bool // marshals may tell one another
	caps       string
	window     float64
	allowance  float64
	memoryMB   int
	sockets    int
	classes    string
	forward    bool
	shielded   int
	coldFrom   float64
	warmUp     float64
	idle       float64
	newsPeriod float64
	crossZone  float64
}

// smallDeployment is a deployment of three zones and two operations.
func smallDeployment() deployment {
	return deployment{marshals: 1, caps: "0.04,0.15,0.5,1.0", window: 4, allowance: 3, memoryMB: 192, sockets: 1024, shielded: 1,
		coldFrom: 0.3, warmUp: 5, idle: 30, newsPeriod: 6, crossZone: 0.12,
		classes: `{"aim-s":1.5,"deadline-s":5.0,"group":"all","late-share":0.2,"name":"lookup","points":1.0,"repeat":"free","streamed":false,"window-s":5.0},` +
			`{"aim-s":1.5,"deadline-s":4.0,"group":"zone","late-share":0.0,"name":"book","points":5.0,"repeat":"guarded","streamed":false,"window-s":8.0}`}
}

// settings returns the settings of a marshal as JSON.
func (d deployment) settings(me int) string {
	return fmt.Sprintf(`{"balancers":%d,"clients":{"marks-retry":false},"discovery":"automatic","domain":{"allowance":%g,
"api-rate":50.0,"api-timeout-s":0.8,"cap-scope":"all","complaint-share":0.0,"counted-over-s":%g,"forward-only":%v,
"gate-mode":"first_voice","harm-price":8.0,"metrics-period-s":0.0,"most-shares":[%s],"news-period-s":%g,"noes-needed":1,
"on-votes":1,"replace-mode":"replace","sample":0.0,"shielded":%d,"soak-s":3.0,"stage-share":[0.03,0.12,0.4,1.0],
"stale-build-price":0.35,"step-s":0.0,"stoppers":0,"vote-ttl-s":4.0,"warm-keys":true},"family":"rollout",
"limits":{"cancel":true,"conn-idle-s":%g,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"dial-timeout-s":0.25,
"max-retry-after-s":0.5,"may-tell":%v,"most-tries":6,"multiplex":100,"open-cap":20000,"probes":true,"retry-after":true,
"second-copies":false},"locality":0,"me":%d,"models":["m1"],"over-share-worth":0.2,"prices":{"cross-zone":%g,"peer":0.01,
"probe":0.01,"waste":0.08},"request-classes":[%s],"rules":{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":%g,
"fall-multiple":2.0,"fall-s":1.5,"stop-sending-within-s":1.0,"warm-up-s":%g},"stages":["nodes"],
"stats":{"columns":["depth"],"via":"probe"},"tenants":[{"fraction":1.0,"name":"first","quota-per-s":60.0}],"tick-s":0.005,
"tier":0,"weights":"nominal","worth-by":"work","zones":["north","middle","south"]}`,
		d.marshals, d.allowance, d.window, d.forward, d.caps, d.newsPeriod, d.shielded, d.idle, d.tell, me, d.crossZone, d.classes, d.coldFrom,
		d.warmUp)
}

// peering carries the datagrams between marshals: what one sends to all comes to each other one from the sender's
// address.
type peering struct {
	all     *net.UDPConn
	senders []*net.UDPConn // by the number of the sender
	listen  []string       // addresses at which the marshals listen
}

func (g *rig) newPeering(marshals int) (*peering, error) {
	udp := func() (*net.UDPConn, error) { return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) }
	p := &peering{}
	var err error
	if p.all, err = udp(); err != nil {
		return nil, err
	}
	g.atEnd(func() { p.all.Close() })
	for range marshals {
		s, err := udp()
		if err != nil {
			return nil, err
		}
		g.atEnd(func() { s.Close() })
		p.senders = append(p.senders, s)
		free, err := udp()
		if err != nil {
			return nil, err
		}
		p.listen = append(p.listen, free.LocalAddr().String())
		free.Close()
	}
	go func() {
		b := make([]byte, 512)
		for {
			n, from, err := p.all.ReadFromUDP(b)
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			for i, address := range p.listen {
				if address != from.String() {
					continue
				}
				g.add("marshal %d told all: %s", i, b[:n])
				for j, other := range p.listen {
					if to, err := net.ResolveUDPAddr("udp", other); err == nil && j != i {
						p.senders[i].WriteToUDP(b[:n], to)
					}
				}
			}
		}
	}()
	return p, nil
}

// marshal is a marshal's process.
type marshal struct {
	rig     *rig
	number  int
	address string
	config  string
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
	ending  bool
	mu      sync.Mutex
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*?)"`)

// startMarshal starts a marshal as the deploy file says and waits until it is ready.
func (g *rig) startMarshal(number int, d deployment, a *agent, p *releaseAPI, known []host, peers *peering) (*marshal, error) {
	deploy, err := os.ReadFile(filepath.Join(g.root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("no run line in the deploy file")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &marshal{rig: g, number: number, address: ln.Addr().String(), exited: make(chan struct{}),
		config: filepath.Join(g.folder, fmt.Sprintf("config-%d.json", number)), log: filepath.Join(g.folder, fmt.Sprintf("marshal-%d.log", number))}
	ln.Close()
	var entries []string
	for _, h := range known {
		entries = append(entries, h.json())
	}
	tell := ""
	if peers != nil {
		var addresses []string
		for _, s := range peers.senders {
			addresses = append(addresses, fmt.Sprintf("%q", s.LocalAddr().String()))
		}
		tell = fmt.Sprintf(`"peer_listen":%q,"peers":[%s],"peers_all":%q,`, peers.listen[number], strings.Join(addresses, ","),
			peers.all.LocalAddr().String())
	}
	s, _, _ := p.read()
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be96%d",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},%s
"release_api":{"address":%q,"news":%s},"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":%s}`, number, m.address, a.address(),
		number, d.memoryMB, d.sockets, tell, p.address(), s.json(), strings.Join(entries, ","), d.settings(number))
	if err := os.WriteFile(m.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(m.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	m.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = g.root, log, log
	m.cmd.Env = append(os.Environ(), "GW_CONFIG="+m.config, fmt.Sprintf("GW_NAME=n%d", number), "GW_LISTEN="+m.address,
		"GW_DISCOVERY="+a.address(), "TMPDIR="+g.folder)
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	g.add("marshal %d started", number)
	go func() {
		err := m.cmd.Wait()
		m.mu.Lock()
		ending := m.ending
		m.mu.Unlock()
		g.add("marshal %d has ended (%v), asked to: %v", number, err, ending)
		close(m.exited)
	}()
	g.atEnd(func() { m.kill() })
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m.hasEnded() {
			return nil, errors.New("a marshal ended before it was ready")
		}
		if q, err := c.Get("http://" + m.address + "/healthz"); err == nil {
			q.Body.Close()
			if q.StatusCode == 200 {
				g.add("marshal %d is ready", number)
				return m, nil
			}
		}
	}
	return nil, errors.New("a marshal was not ready in 30 s")
}

func (m *marshal) hasEnded() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// kill ends the process at the end of the play.
func (m *marshal) kill() {
	m.mu.Lock()
	m.ending = true
	m.mu.Unlock()
	if !m.hasEnded() {
		m.cmd.Process.Kill()
		<-m.exited
	}
}

// logTail copies the last lines of the marshal's log into the record.
func (m *marshal) logTail(lines int) {
	text, err := os.ReadFile(m.log)
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, l := range all[max(0, len(all)-lines):] {
		m.rig.add("log of marshal %d: %.300s", m.number, l)
	}
}
