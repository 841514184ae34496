package serve

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/settings"
)

// TestAnsweredKeysOnlyGoForwardOnCores guards against keys that go back while news of a build is late: with an announced
// build on trial and two later ones listed, on one core and on several, no key goes to a build before the one that has
// answered it.
func TestAnsweredKeysOnlyGoForwardOnCores(t *testing.T) {
	for _, cores := range []uint32{1, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			const builds, clients, keysPerClient, requestsPerClient = 4, 8, 3, 90
			var addresses []string
			address := func(r *testRig, c net.Conn, b *bufio.Reader) {
				for {
					if _, _, complete := r.readRequest(b); !complete {
						return
					}
					respond(c, c.LocalAddr().String())
				}
			}
			r := startRig(t, builds, address, onCores(cores, func(s *settings.Settings) {
				s.Rollout.ForwardOnly, s.Rollout.Allowance = true, 1000
				s.Rollout.Stage = []*settings.Stage{{Part: 0.5, Cap: 0.5}, {Part: 1, Cap: 1}}
				s.Rollout.CountedOverMs = 300
			}), testHooks{})
			for i, listener := range r.nodeListeners {
				addresses = append(addresses, listener.Addr().String())
				r.registry.Set(control.NodeEntry{Node: balance.Node{ID: uint32(i + 1), Ver: i + 1, Size: 1}, Address: addresses[i]}, 0)
			}
			for _, p := range r.m.pools {
				p.stageUpdate(2, 0, balance.OnTrial, 0.5, 0, false)
			}
			time.Sleep(400 * time.Millisecond) // the window in which a previous process may have used the allowance
			var wg sync.WaitGroup
			var mu sync.Mutex
			answers := make([]int, builds)
			for number := range clients {
				c := r.client()
				wg.Go(func() {
					latest := make([]int, keysPerClient)
					for i := range requestsPerClient {
						time.Sleep(15 * time.Millisecond) // the share of the trial builds is set every 500 ms
						key := i % keysPerClient
						c.send("GET /look HTTP/1.1\nHost: x\nX-Key: c%d-k%d\n\n", number, key)
						answer := c.read()
						from, answered := strings.CutPrefix(answer, "200 succeeded ")
						if !answered {
							continue
						}
						build := slices.Index(addresses, from)
						if build < latest[key] {
							t.Errorf("key %d of client %d went to build %d after build %d had answered it", key, number, build+1, latest[key]+1)
						}
						latest[key] = build
						mu.Lock()
						answers[build]++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			if answers[1] == 0 || answers[2] == 0 || answers[3] == 0 {
				t.Errorf("answers by build: %v, want some of each build on trial", answers)
			}
		})
	}
}
