package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/faults"
	"arrowcleat/internal/loopback"
	"arrowcleat/internal/standin"
)

// world is what the marshals of a run work among.
type world struct {
	run     *run
	rnd     *rand.Rand
	mu      sync.Mutex
	nodes   map[string]*standin.PlatformNode
	hosts   map[string]standin.Host
	all     []*standin.DiscoveryAgent
	apis    []*standin.ReleaseAPI
	proxies []*faults.Proxy
	owned   []*loopback.Reservation
	state   standin.Release
	next    int
	dice    sync.Mutex
	hung    atomic.Int32 // processes whose end nodes hang through
}

const firstBuild = 7

func newWorld(r *run) (*world, error) {
	w := &world{run: r, rnd: rand.New(rand.NewPCG(r.plan.Seed, 3)), nodes: map[string]*standin.PlatformNode{}, hosts: map[string]standin.Host{},
		state: standin.Release{Build: firstBuild, Stage: len(r.plan.Caps) - 1, Phase: balance.Released, Cap: 1, Since: time.Now().Add(-90 * time.Second)}}
	for range r.plan.Nodes {
		if err := w.add(firstBuild); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// add starts a node and lists it.
func (w *world) add(build int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	zone, site := 0, ""
	if len(w.run.plan.Zones) > 0 {
		zone = w.next % len(w.run.plan.Zones)
		site = w.run.plan.Zones[zone]
	}
	n := &standin.PlatformNode{ID: uint32(w.next), Ver: build, Zone: zone, IdleTimeout: w.run.plan.NodeIdleTimeout, Reply: w.reply, Record: w.run.see}
	own, err := loopback.Reserve() // else its port may be another run's node's once it is killed
	if err != nil {
		return err
	}
	w.owned = append(w.owned, own)
	if err := n.Start(own.At(loopback.RequestPort)); err != nil {
		return err
	}
	address, err := w.through(n.Address(), true)
	if err != nil {
		return err
	}
	h := standin.Host{Name: fmt.Sprintf("s-%d", w.next), NodeID: n.ID, Address: address, Site: site, Zone: zone, Health: standin.InService, Build: build}
	w.nodes[h.Name] = n
	w.set(h)
	return nil
}

// through puts a proxy that spoils connections before an address, where the plan has it so; w.mu is held. The watch and the news may only
// break: what is written there counts as told, however late it comes.
func (w *world) through(address string, late bool) (string, error) {
	if w.run.plan.ConnFaultShare == 0 {
		return address, nil
	}
	p := &faults.Proxy{Target: address, FaultShare: w.run.plan.ConnFaultShare, AllowDelays: late, Seed: w.run.plan.Seed + uint64(len(w.proxies))<<32}
	address, err := p.Start()
	if err == nil {
		w.proxies = append(w.proxies, p)
	}
	return address, err
}

// set tells a change; w.mu is held.
func (w *world) set(h standin.Host) {
	w.hosts[h.Name] = h
	for _, a := range w.all {
		a.Set(h)
	}
}

// reply draws how a node deals with a request.
func (w *world) reply() (standin.Reply, time.Duration) {
	w.dice.Lock()
	defer w.dice.Unlock()
	if w.hung.Load() > 0 {
		return standin.Hung, 0
	}
	took := time.Duration(w.rnd.ExpFloat64() * float64(6*time.Millisecond))
	if w.rnd.Float64() >= w.run.plan.NodeFaultShare {
		return standin.Served, took
	}
	if w.rnd.IntN(6) == 0 {
		return standin.Served, between(w.rnd, 100*time.Millisecond, 2*time.Second) // late
	}
	return pick(w.rnd, standin.Rejected, standin.Error, standin.Hung, standin.Reset, standin.Closed, standin.Truncated, standin.Malformed, standin.Duplicated), took
}

// surroundings starts an agent and a release API for a marshal that know what there is.
func (w *world) surroundings(m *marshalRun) (*standin.DiscoveryAgent, *standin.ReleaseAPI, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &standin.DiscoveryAgent{Instance: m.number, Record: w.run.see, SplitLines: w.run.plan.SplitLines}
	if err := a.Start("127.0.0.1:0"); err != nil {
		return nil, nil, err
	}
	for _, h := range w.hosts {
		a.Set(h)
	}
	api := &standin.ReleaseAPI{Instance: m.number, Record: w.run.see, VoteStatus: w.vote}
	if err := api.Start("127.0.0.1:0", w.state); err != nil {
		return nil, nil, err
	}
	var err error
	if m.agentAddress, err = w.through(a.Address(), false); err != nil {
		return nil, nil, err
	}
	if m.apiAddress, err = w.through(api.Address(), false); err != nil {
		return nil, nil, err
	}
	w.all, w.apis = append(w.all, a), append(w.apis, api)
	return a, api, nil
}

func (w *world) vote() int {
	w.dice.Lock()
	defer w.dice.Unlock()
	return pick(w.rnd, http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests, http.StatusConflict, http.StatusInternalServerError)
}

func (w *world) release() standin.Release {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// rollout tells another state of the newest build.
func (w *world) rollout(s standin.Release) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Since = time.Now()
	w.state = s
	for _, a := range w.apis {
		a.Set(s)
	}
}

func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.Kill()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	for _, own := range w.owned {
		own.Release()
	}
}
