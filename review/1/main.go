// Command 1 plays clients whose paths hold a URL behind the class, and checks that nodes get each request as its client
// sent it, and each client the answer that was made for its request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"arrowcleat/review/rig"
)

const (
	clients = 8
	each    = 100 // requests of a client
)

// request is what a client sends of a request.
type request struct{ method, path, body, mark string }

// run is the state of the case.
type run struct {
	record  *rig.Record
	marshal *rig.Marshal

	mu                    sync.Mutex
	sent                  map[string]request // by id
	served, failed, other int
	broken                []string
}

// breaks notes that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.record.Line(time.Now(), "BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// made returns the body of a node's answer, which names what the node was asked for. A node that gets what no client sent
// in this form answers it all the same, so that it can be seen what the client gets.
func (r *run) made(q *http.Request, body string) string {
	id := q.Header.Get("X-Trace-Id")
	got := request{q.Method, q.RequestURI, body, q.Header.Get("Idempotency-Key")}
	r.mu.Lock()
	sent, ok := r.sent[id]
	r.mu.Unlock()
	if !ok || got != sent {
		r.breaks("a node got %s %s as %s, which its client sent as %s %s", got.method, got.path, id, sent.method, sent.path)
	}
	return answerTo(got.method, got.path, id)
}

// answerTo returns the body that nodes make for a request.
func answerTo(method, path, id string) string {
	return fmt.Sprintf("%s of %s, made for %s", method, path, id)
}

// client sends requests on one connection.
func (r *run) client(number int) {
	nc, err := net.Dial("tcp", r.marshal.Listen)
	if err != nil {
		r.record.Line(time.Now(), "client %d: not connected: %v", number, err)
		return
	}
	defer func() { nc.Close() }()
	b := bufio.NewReader(nc)
	for i := range each {
		id := fmt.Sprintf("%08x%08x", number, i)
		class, marked, method := "permit", false, "GET"
		if i%3 == 0 {
			class, marked, method = "permit-issue", true, "POST"
		}
		path := fmt.Sprintf("/%s/%d", class, rand.IntN(1000))
		if i%5 == 0 { // a permit of another registry, named by its URL
			path = fmt.Sprintf("/%s/registry.example/%s/%d", class, class, rand.IntN(1000))
			if rig.Trouble() {
				path = fmt.Sprintf("/%s/https://registry.example/%s/%d", class, class, rand.IntN(1000))
			}
		}
		text := rig.RequestAt(path, class, id, marked, 600*time.Millisecond)
		q := request{method: method, path: path}
		if marked {
			q.body, q.mark = "0123456789abcdef", "k"+id
		}
		r.mu.Lock()
		r.sent[id] = q
		r.mu.Unlock()
		r.record.Line(time.Now(), "client sent %s: %s %s", id, method, path)
		if _, err := io.WriteString(nc, text); err != nil {
			r.record.Line(time.Now(), "client %d: not sent: %v", number, err)
			return
		}
		a := rig.ReadAnswer(nc, b, time.Now().Add(3*time.Second))
		r.record.Line(a.At, "client got for %s: %d %q, error %v", id, a.Status, a.Body, a.Err)
		r.mu.Lock()
		switch {
		case a.Status == 200:
			r.served++
		case a.Status >= 400 && a.Status != 429 && a.Status != 503:
			r.failed++
		default:
			r.other++
		}
		r.mu.Unlock()
		if a.Status == 200 && a.Body != answerTo(method, path, id) {
			r.breaks("the client of %s %s was served %q", method, path, a.Body)
		}
		if a.Err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func play(root, dir string) (code int, err error) {
	record, err := rig.OpenRecord(dir)
	if err != nil {
		return rig.NotRun, err
	}
	defer record.Close()
	r := &run{record: record, sent: map[string]request{}}
	discovery, api := &rig.Discovery{}, &rig.ReleaseAPI{}
	for i := range 8 {
		n := &rig.Node{Name: fmt.Sprintf("s-%d", i), Record: record, Made: r.made,
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
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { r.client(i) })
	}
	all.Wait()
	for _, text := range r.broken[:min(len(r.broken), 6)] {
		fmt.Println("broken:", text)
	}
	summary := fmt.Sprintf("%d requests sent, %d served, %d failed, %d other; the rule broken %d times", len(r.sent), r.served,
		r.failed, r.other, len(r.broken))
	fmt.Println(summary)
	record.Line(time.Now(), "%s", summary)
	switch {
	case len(r.broken) > 0:
		return rig.Broken, nil
	case r.served < len(r.sent)/2:
		return rig.NotRun, fmt.Errorf("too little was served to judge")
	}
	return rig.Held, nil
}

func main() { rig.Main(play) }
