package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"arrowcleat/balance"
)

// used is what a process holds: goroutines, descriptors, and bytes of heap once the collector has run.
func used(t *testing.T) (goroutines, descriptors int, heap int64) {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtime.NumGoroutine(), len(open), int64(m.HeapAlloc)
}

// Hosts, addresses, builds, ids, keys and connections come and go; what a marshal holds stays as it was.
func TestLongLife(t *testing.T) {
	s := streaming(t)
	c := config(t, "127.0.0.1:0", s.address, "127.0.0.1:0", s.address)
	streams := make(chan *streamed, 1)
	go func() {
		for a := range s.asked {
			if a.target == "/v1/servers?follow=1" {
				a.say(told(0, true))
				streams <- a
			}
		}
	}()
	m, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer m.End()
	discovery := <-streams
	const rounds, begin, hosts, clients, requests = 60, 20, 2, 10, 8
	answered := 0
	var before []*http.Server
	gone := ""
	var goroutines, descriptors int
	var heap int64
	for round := range rounds {
		var now []*http.Server
		list := ""
		next := ""
		for i := range hosts {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") })}
			go node.Serve(ln)
			now = append(now, node)
			entry := `{"host":"s-%d-%d","dial":%q,"site":"there","health":%q,"build":%d},`
			list += fmt.Sprintf(entry, round, i, ln.Addr(), "in_service", round+7)
			next += fmt.Sprintf(entry, round, i, ln.Addr(), "terminated", round+7)
		}
		all := list + gone
		discovery.say(fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, round+1, all[:len(all)-1]))
		m.conveyor.tell(round+7, 1, balance.Released, 1, 90000, false)
		for end := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) {
			if r, _ := m.Look(); r.Ver == round+7 && len(r.Nodes) >= hosts*(round+1) {
				break
			} else if time.Now().After(end) {
				t.Fatalf("round %d: the list did not come: %v", round, r)
			}
		}
		for _, node := range before {
			node.Close()
		}
		before, gone = now, next
		for i := range clients {
			nc, err := net.Dial("tcp", m.Address())
			if err != nil {
				t.Fatal(err)
			}
			b := bufio.NewReader(nc)
			nc.SetDeadline(time.Now().Add(3 * time.Second))
			for j := range requests {
				fmt.Fprintf(nc, "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d-%d\r\nX-Qos: book\r\nX-Object: %d-%d\r\n"+
					"Idempotency-Key: %d-%d-%d\r\nContent-Length: 2\r\n\r\nab", round, i, j, round, i, round, i, j)
				r, err := http.ReadResponse(b, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, r.Body)
				if r.StatusCode == 200 {
					answered++
				}
			}
			nc.Close()
		}
		if round == begin {
			goroutines, descriptors, heap = used(t)
		}
	}
	g, d, h := used(t)
	for _, node := range before {
		node.Close()
	}
	if answered < rounds*clients*requests*9/10 {
		t.Errorf("%d of %d were answered", answered, rounds*clients*requests)
	}
	const each = 4 << 10 // what a host that is gone may take until it is forgotten
	if more := h - heap; g > goroutines+15 || d > descriptors+15 || more > 256<<10+each*hosts*(rounds-begin) {
		t.Errorf("goroutines %d then %d, descriptors %d then %d, heap %d more", goroutines, g, descriptors, d, more)
	}
	t.Logf("goroutines %d then %d, descriptors %d then %d, heap %d then %d", goroutines, g, descriptors, d, heap, h)
}
