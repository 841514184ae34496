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

// testbed holds the stand-ins around the marshals of a run.
type testbed struct {
	run              *run
	rnd              *rand.Rand
	mu               sync.Mutex
	nodes            map[string]*standin.PlatformNode // by name
	hosts            map[string]standin.Host          // by name
	agents           []*standin.DiscoveryAgent
	apis             []*standin.ReleaseAPI
	proxies          []*faults.Proxy
	reservations     []*loopback.Reservation
	currentRelease   standin.Release
	lastNode         int          // the number of the newest node
	rndMu            sync.Mutex   // guards rnd
	hangingProcesses atomic.Int32 // processes that are ending while nodes hang
}

// firstBuild is the build that is released at the start.
const firstBuild = 7

// newTestbed starts the nodes that a plan has at the start.
func newTestbed(r *run) (*testbed, error) {
	tb := &testbed{run: r, rnd: rand.New(rand.NewPCG(r.plan.Seed, 3)), nodes: map[string]*standin.PlatformNode{},
		hosts: map[string]standin.Host{}, currentRelease: standin.Release{Build: firstBuild, Stage: len(r.plan.Caps) - 1,
			Phase: balance.Released, Cap: 1, Since: time.Now().Add(-90 * time.Second)}}
	for range r.plan.Nodes {
		if err := tb.startNode(firstBuild); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// startNode starts a node and lists it.
func (tb *testbed) startNode(build int) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastNode++
	zone, site := 0, ""
	if len(tb.run.plan.Zones) > 0 {
		zone = tb.lastNode % len(tb.run.plan.Zones)
		site = tb.run.plan.Zones[zone]
	}
	n := &standin.PlatformNode{ID: uint32(tb.lastNode), Ver: build, Zone: zone, IdleTimeout: tb.run.plan.NodeIdleTimeout,
		Reply: tb.reply, Record: tb.run.record}
	reservation, err := loopback.Reserve() // without it a node of another run may get the port once this node is killed
	if err != nil {
		return err
	}
	tb.reservations = append(tb.reservations, reservation)
	if err := n.Start(reservation.Address(loopback.RequestPort)); err != nil {
		return err
	}
	address, err := tb.viaProxy(n.Address(), true)
	if err != nil {
		return err
	}
	h := standin.Host{Name: fmt.Sprintf("s-%d", tb.lastNode), NodeID: n.ID, Address: address, Site: site, Zone: zone,
		Health: standin.InService, Build: build}
	tb.nodes[h.Name] = n
	tb.publish(h)
	return nil
}

// viaProxy starts a proxy with connection faults in front of an address if the plan has such faults, and returns its
// address. The caller holds tb.mu. Connections to agents and release APIs are never delayed, only broken: what is
// written there is recorded as received by the marshal, however late it arrives.
func (tb *testbed) viaProxy(address string, allowDelays bool) (string, error) {
	if tb.run.plan.ConnFaultShare == 0 {
		return address, nil
	}
	p := &faults.Proxy{Target: address, FaultShare: tb.run.plan.ConnFaultShare, AllowDelays: allowDelays,
		Seed: tb.run.plan.Seed + uint64(len(tb.proxies))<<32}
	address, err := p.Start()
	if err == nil {
		tb.proxies = append(tb.proxies, p)
	}
	return address, err
}

// publish stores a host and sends it to all agents; the caller holds tb.mu.
func (tb *testbed) publish(h standin.Host) {
	tb.hosts[h.Name] = h
	for _, a := range tb.agents {
		a.Set(h)
	}
}

// reply draws a node's reply to a request, and the time until it.
func (tb *testbed) reply() (standin.Reply, time.Duration) {
	tb.rndMu.Lock()
	defer tb.rndMu.Unlock()
	if tb.hangingProcesses.Load() > 0 {
		return standin.Hung, 0
	}
	took := time.Duration(tb.rnd.ExpFloat64() * float64(6*time.Millisecond))
	if tb.rnd.Float64() >= tb.run.plan.NodeFaultShare {
		return standin.Served, took
	}
	if tb.rnd.IntN(6) == 0 {
		return standin.Served, between(tb.rnd, 100*time.Millisecond, 2*time.Second) // a late answer
	}
	return pick(tb.rnd, standin.Rejected, standin.Error, standin.Hung, standin.Reset, standin.Closed, standin.Truncated,
		standin.Malformed, standin.Duplicated), took
}

// startServices starts an agent and a release API for a marshal, with the current hosts and release.
func (tb *testbed) startServices(m *marshalRun) (*standin.DiscoveryAgent, *standin.ReleaseAPI, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	a := &standin.DiscoveryAgent{Instance: m.number, Record: tb.run.record, SplitLines: tb.run.plan.SplitLines}
	if err := a.Start("127.0.0.1:0"); err != nil {
		return nil, nil, err
	}
	for _, h := range tb.hosts {
		a.Set(h)
	}
	api := &standin.ReleaseAPI{Instance: m.number, Record: tb.run.record, VoteStatus: tb.vote}
	if err := api.Start("127.0.0.1:0", tb.currentRelease); err != nil {
		return nil, nil, err
	}
	var err error
	if m.agentAddress, err = tb.viaProxy(a.Address(), false); err != nil {
		return nil, nil, err
	}
	if m.apiAddress, err = tb.viaProxy(api.Address(), false); err != nil {
		return nil, nil, err
	}
	tb.agents, tb.apis = append(tb.agents, a), append(tb.apis, api)
	return a, api, nil
}

// vote draws the status of the answer to a vote.
func (tb *testbed) vote() int {
	tb.rndMu.Lock()
	defer tb.rndMu.Unlock()
	return pick(tb.rnd, http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests, http.StatusConflict,
		http.StatusInternalServerError)
}

// release returns the state of the newest build.
func (tb *testbed) release() standin.Release {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.currentRelease
}

// publishRelease stores another state of the newest build and sends it to all release APIs.
func (tb *testbed) publishRelease(release standin.Release) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	release.Since = time.Now()
	tb.currentRelease = release
	for _, a := range tb.apis {
		a.Set(release)
	}
}

// close kills the nodes, closes the proxies and releases the addresses.
func (tb *testbed) close() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, n := range tb.nodes {
		n.Kill()
	}
	for _, p := range tb.proxies {
		p.Close()
	}
	for _, reservation := range tb.reservations {
		reservation.Release()
	}
}
