package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowcleat/balance"
	"arrowcleat/internal/h1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// configFormat is a configuration of the platform. Its arguments are the addresses to listen on, of discovery, for
// messages between marshals and of the release API.
const configFormat = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peer_listen":%q,"peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
"release_api":{"address":%q,"news":{"Revision":7,"Wave":1,"State":"live","MaxShare":1,"AgeMs":90000}},
"known":{"seq":3,"whole":true,"hosts":[]},
"settings":{"balancers":1,"me":0,"locality":1,"zones":["here","there"],"models":["m1","m2"],"discovery":"automatic",
"limits":{"most-tries":3,"may-tell":true,"conn-idle-s":30.0,"dial-timeout-s":0.25},
"rules":{"stop-sending-within-s":0.5,"warm-up-s":3.0},"domain":{"api-timeout-s":0.3,"api-rate":5.0,"vote-ttl-s":4.0,
"most-shares":[0.1,1.0],"stage-share":[0.1,1.0],"counted-over-s":4.0,"allowance":3.0,"cap-scope":"all","gate-mode":"first_voice"},
"request-classes":[{"name":"look","aim-s":0.4,"deadline-s":1.0,"repeat":"free"},
{"name":"book","aim-s":0.4,"deadline-s":0.8,"repeat":"guarded","group":"zone","window-s":8.0}],
"tenants":[{"name":"acme","quota-per-s":10.0},{"name":"zenith","quota-per-s":10.0}]}}`

// emptyEnv is an environment without variables.
func emptyEnv(string) string { return "" }

// config parses configFormat with these addresses.
func config(t *testing.T, listen, discovery, peerListen, api string) *Config {
	t.Helper()
	c, err := parse(fmt.Sprintf(configFormat, listen, discovery, peerListen, api), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A configuration is read completely; an invalid one gives an error that names the field, on one line.
func TestConfiguration(t *testing.T) {
	good := fmt.Sprintf(configFormat, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	c, err := parse(good, emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if s.Instance.Zone != "there" || s.Operation[1].LimitMs != 800 || s.Times.DialMs != 250 || s.Rules.GraceMs != 500 ||
		s.Seed != 0x8c1f30d27a5be964 || s.Times.StopMs != 1700 || c.ModuleSettings["rollout.api-timeout-ms"] != 300.0 ||
		c.ModuleSettings["operations"].([]balance.Settings)[1]["repeat"] != "fingerprinted" {
		t.Errorf("settings differ from the configuration: %v, module %v", s, c.ModuleSettings)
	}
	c.ModuleSettings["limits.max-retry-after-ms"] = 500.0
	for ms, want := range map[float64]string{200: "0.200", 900: "0.500"} {
		if _, got := c.retryAfter(ms); got != want {
			t.Errorf("Retry-After for %v ms: %s; want %s", ms, got, want)
		}
	}
	for change, want := range map[[2]string]string{
		{`"listen":"127.0.0.1:1",`, ``}:             "listen: missing",
		{`"8c1f30d27a5be964"`, `"xyz"`}:             `seed: "xyz"`,
		{`"sockets":256`, `"sockets":"many"`}:       "limits.sockets: not of the type Number",
		{`"locality":1`, `"locality":2`}:            "zone 2 of this marshal is not one of the 2 zones",
		{`"repeat":"free"`, `"repeat":"perhaps"`}:   `operation "look"`,
		{`"address":"127.0.0.1:4"`, `"address":""`}: "not host:port",
		{`"sockets":256`, `"sockets":20`}:           "limits.sockets: 20 is too little: at least 80",
		{`"memory_mb":64`, `"memory_mb":0`}:         "limits.memory_mb: 0 is too little: at least 8",
		{`{"name":"n0"`, `"name":"n0"`}:             "not valid JSON",
	} {
		if _, err := parse(strings.Replace(good, change[0], change[1], 1), emptyEnv); err == nil ||
			!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q replaced by %q: error %v; want one line with %q", change[0], change[1], err, want)
		}
	}
}

// A valid request head is read completely; one that nodes would refuse, or that is ambiguous, is an error.
func TestRequestHeads(t *testing.T) {
	c := config(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	good := func() *h1.Head {
		return &h1.Head{Method: "POST", Target: "/book/now?x=1", BodyLength: 3, Header: textproto.MIMEHeader{"X-Trace-Id": {"9b1f"},
			"X-Qos": {"book"}, "X-Customer": {"zenith"}, "X-Object": {"o1"}, "X-Expires-In-Ms": {"480"}, "Idempotency-Key": {"k"},
			"X-Size-Hint": {"2500"}, "X-Second-Try": {"1"}, "X-Props": {"a=2,write=1"}}}
	}
	request, err := c.readRequest(good())
	if got := fmt.Sprint(request, err); got != "{1 1 o1 9b1f 480 2.5 true true} <nil>" {
		t.Errorf("request read as %s", got)
	}
	for what, alter := range map[string]func(*h1.Head){
		"no id":              func(h *h1.Head) { delete(h.Header, "X-Trace-Id") },
		"two ids":            func(h *h1.Head) { h.Header["X-Trace-Id"] = []string{"a", "b"} },
		"a space in the id":  func(h *h1.Head) { h.Header["X-Trace-Id"] = []string{"a b"} },
		"no operation":       func(h *h1.Head) { h.Header["X-Qos"] = []string{"steal"} },
		"two operations":     func(h *h1.Head) { h.Target = "/look" },
		"method":             func(h *h1.Head) { h.Method = "GET" },
		"no idempotency key": func(h *h1.Head) { delete(h.Header, "Idempotency-Key") },
		"no number":          func(h *h1.Head) { h.Header["X-Expires-In-Ms"] = []string{"soon"} },
		"negative":           func(h *h1.Head) { h.Header["X-Expires-In-Ms"] = []string{"-4"} },
		"decimal":            func(h *h1.Head) { h.Header["X-Expires-In-Ms"] = []string{"4.5"} },
		"GET with body":      func(h *h1.Head) { h.Method, h.Target, h.Header["X-Qos"] = "GET", "/look", []string{"look"} },
	} {
		h := good()
		alter(h)
		if _, err := c.readRequest(h); err == nil {
			t.Errorf("%s: the request was accepted", what)
		}
	}
}

// An environment variable is used only if its field is missing; one that contradicts its field is reported.
func TestEnvironment(t *testing.T) {
	good := fmt.Sprintf(configFormat, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	variables := map[string]string{"GW_NAME": "n7", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:9"}
	getenv := func(variable string) string { return variables[variable] }
	c, err := parse(good, getenv)
	if err != nil || c.DiscoveryAddress != "127.0.0.1:2" || len(c.EnvironmentConflicts) != 2 {
		t.Errorf("%v, %v", err, c)
	}
	partial := strings.NewReplacer(`"listen":"127.0.0.1:1",`, "", `"discovery":"127.0.0.1:2",`, "").Replace(good)
	c, err = parse(partial, getenv)
	if err != nil || c.DiscoveryAddress != "127.0.0.1:9" || c.Settings.Listen.Invocations != "127.0.0.1:1" ||
		len(c.EnvironmentConflicts) != 1 {
		t.Errorf("%v, %v", err, c)
	}
	variables["GW_LISTEN"] = "nowhere"
	if _, err = parse(partial, getenv); err == nil || !strings.Contains(err.Error(), "not host:port") {
		t.Error(err)
	}
}

// Settings of other customers are accepted: parts left out, extreme values, and names that are prefixes of other names
// or contain special characters.
func TestOtherCustomers(t *testing.T) {
	good := fmt.Sprintf(configFormat, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	change := func(from, to string) string {
		changed := strings.Replace(good, from, to, 1)
		if changed == good {
			t.Fatalf("%s is not in the configuration", from)
		}
		return changed
	}
	for name, text := range map[string]string{
		"no zones": change(`"locality":1,"zones":["here","there"],`, ``),
		"no tenants": change(`,
"tenants":[{"name":"acme","quota-per-s":10.0},{"name":"zenith","quota-per-s":10.0}]`, ``),
		"no models":        change(`"models":["m1","m2"],`, ``),
		"no limits":        change(`"limits":{"most-tries":3,"may-tell":true,"conn-idle-s":30.0,"dial-timeout-s":0.25},`, ``),
		"no rules":         change(`"rules":{"stop-sending-within-s":0.5,"warm-up-s":3.0},`, ``),
		"no call timeout":  change(`"api-timeout-s":0.3,`, ``),
		"no release":       change(`"news":{`, `"other":{`),
		"largest seed":     change(`8c1f30d27a5be964`, `ffffffffffffffff`),
		"short deadline":   change(`"deadline-s":1.0`, `"deadline-s":0.03`),
		"long deadline":    change(`"deadline-s":1.0`, `"deadline-s":86400`),
		"many descriptors": change(`"sockets":256`, `"sockets":1048576`),
	} {
		c, err := parse(text, emptyEnv)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		times := c.Settings.Times
		if times.DialMs <= 0 || c.Settings.Rollout.VoteTimeoutMs <= 0 || len(c.Settings.Zone) == 0 ||
			c.Settings.Limits.Connections == 0 {
			t.Errorf("%s: %v", name, c.Settings)
		}
		balance.New(&noopHost{}, c.ModuleSettings, c.Settings.Seed).NodesListed(true, []balance.Node{{ID: 1, Ver: 1}})
	}
	c := config(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	for _, class := range []string{"look", "look-up", "a/b", "50%", "ü b", "%2f"} {
		c.Settings.Operation[0].Name = class
		for path, want := range map[string]bool{"/" + class: true, "/" + class + "/1?x=/y": true, "/" + class + "z": false,
			"/" + url.PathEscape(class) + "/x": true, "/x/" + class: false, "": false} {
			if _, err := c.readRequest(&h1.Head{Method: "GET", Target: path, Header: textproto.MIMEHeader{"X-Trace-Id": {"1"},
				"X-Qos": {class}, "X-Expires-In-Ms": {"99999999999999999999999"}}}); (err == nil) != want {
				t.Errorf("class %q, path %q: error %v; want accepted: %v", class, path, err, want)
			}
		}
	}
}

// noopHost is a balance.Host that does nothing. Its clock stands at 1e6 ms.
type noopHost struct{}

func (noopHost) Now() float64                     { return 1e6 }
func (noopHost) Dispatch(string, uint32, float64) {}
func (noopHost) Cancel(string, int)               {}
func (noopHost) Throttle(string, float64)         {}
func (noopHost) Terminate(string)                 {}
func (noopHost) Probe(uint32)                     {}
func (noopHost) FetchNodes()                      {}
func (noopHost) WatchNodes(bool)                  {}
func (noopHost) Vote(int, int, balance.Verdict)   {}
func (noopHost) SetTimer(float64, int64)          {}
func (noopHost) SendToPeer(int, string)           {}
func (noopHost) Log(string)                       {}

// A state that is older than the latest one is dropped; if it is the answer to a vote, the latest state is reported in
// its place.
func TestOutdatedState(t *testing.T) {
	var got string
	c := &RolloutClient{VoteTimeout: time.Second, OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, age float64,
		reply bool) {
		got = fmt.Sprintf("%d/%d/%d/%v/%v", ver, stage, phase, cap, reply)
	}}
	for i, x := range []struct {
		ver, stage int
		phase      balance.Phase
		cap, age   float64
		reply      bool
		want       string
	}{
		{7, 0, balance.OnTrial, 0.1, 500, false, "7/0/0/0.1/false"},
		{7, 1, balance.OnTrial, 0.4, 0, false, "7/1/0/0.4/false"},
		{7, 0, balance.OnTrial, 0.1, 700, true, "7/1/0/0.4/true"}, // the answer is older than the last event
		{7, 1, balance.RollingBack, 0, 0, false, "7/1/1/0/false"},
		{7, 1, balance.OnTrial, 0.4, 100, false, ""},
		{7, 1, balance.OnTrial, 0.4, 100, true, "7/1/1/0/true"},
		{6, 2, balance.Released, 1, 0, true, "7/1/1/0/true"},
		{7, 1, balance.Withdrawn, 0, 0, false, "7/1/3/0/false"},
		{8, 0, balance.OnTrial, 0.1, 0, true, "8/0/0/0.1/true"},
	} {
		got = ""
		if c.publish(x.ver, x.stage, x.phase, x.cap, x.age, x.reply); got != x.want {
			t.Errorf("state %d: reported %q; want %q", i, got, x.want)
		}
	}
	c.latest.since = time.Now().Add(-3 * time.Second) // a state that was entered much later is new, whatever its phase
	c.latest.phase = balance.RollingBack
	if c.publish(8, 0, balance.OnTrial, 0.1, 0, false); got != "8/0/0/0.1/false" {
		t.Errorf("reported %q for a build that is on trial again", got)
	}
}

// testbed is a fake platform on loopback.
type testbed struct {
	api, discovery, newDiscovery *httptest.Server
	mu                           sync.Mutex
	nodes                        []net.Listener
	votes, streams               int                                     // requests so far
	vote                         func(number int, w http.ResponseWriter) // answers a vote
}

// list returns a whole list of the nodes.
func (s *testbed) list(seq int) string {
	var hosts []string
	for i, n := range s.nodes {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%d","dial":%q,"site":"there","class":"m2","block":0,"health":"in_service","share":1,"born_ms":0,"build":7}`,
			i, n.Addr()))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`+"\n", seq, strings.Join(hosts, ","))
}

// startTestbed starts a node for each script, discovery, which lists them, and the release API. A script answers one
// request.
func startTestbed(t *testing.T, scripts ...func(net.Conn, *bufio.Reader)) *testbed {
	s := &testbed{}
	for _, script := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		s.nodes = append(s.nodes, ln)
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer nc.Close()
					nc.SetDeadline(time.Now().Add(10 * time.Second))
					r := bufio.NewReader(nc)
					for {
						q, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						io.Copy(io.Discard, q.Body)
						script(nc, r)
					}
				}()
			}
		}()
	}
	follow := func(line string) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			s.mu.Lock()
			s.streams++
			s.mu.Unlock()
			io.WriteString(w, line)
			w.(http.Flusher).Flush()
			<-q.Context().Done()
		}
	}
	s.discovery, s.newDiscovery = httptest.NewServer(follow(s.list(4))), httptest.NewServer(follow(s.list(5)))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+apiBase+"/events", follow(
		`{"type":"ROLLOUT","object":{"Revision":7,"Wave":1,"State":"live","MaxShare":1,"AgeMs":5}}`+"\n{}\n"))
	mux.HandleFunc("POST "+apiBase+"/votes", func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		s.votes++
		n := s.votes
		s.mu.Unlock()
		s.vote(n, w)
	})
	s.api = httptest.NewServer(mux)
	for _, server := range []*httptest.Server{s.discovery, s.newDiscovery, s.api} {
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	}
	return s
}

// hostPort returns the address of a server.
func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// run starts a marshal with the configuration of the testbed.
func run(t *testing.T, s *testbed) (*Marshal, *Config) {
	c := config(t, "127.0.0.1:0", hostPort(s.discovery), "127.0.0.1:0", hostPort(s.api))
	return runWith(t, s, c), c
}

// runWith starts a marshal and waits until it has the list of nodes.
func runWith(t *testing.T, s *testbed, c *Config) *Marshal {
	t.Helper()
	m, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.End() })
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if state, _ := m.Snapshot(); len(state.Nodes) == len(s.nodes) {
			return m
		}
	}
	t.Fatal("the marshal did not get the list of nodes within 3 s")
	return nil
}

// sendLook writes a request on a connection.
func sendLook(nc net.Conn, id string) {
	fmt.Fprintf(nc, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In-Ms: 600\r\n\r\n", id)
}

// request sends a request to a marshal on a new connection.
func request(t *testing.T, m *Marshal, id string) (status int, body string, err error) {
	nc, err := net.Dial("tcp", m.Address())
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	sendLook(nc, id)
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// reply returns a script that writes text.
func reply(text string) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, _ *bufio.Reader) { io.WriteString(nc, text) }
}

// validResponse is a valid response of a node.
const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

// When a node sends an invalid response, the client gets the response of another node. Data after a response is never
// used as the next response.
func TestInvalidResponses(t *testing.T) {
	for name, response := range map[string]string{
		"noise":       "\x00\x01\x02 noise\r\n\r\n",
		"endless":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 40000),
		"3 GB":        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nxxxx",
		"not found":   "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"twice":       validResponse + strings.Replace(validResponse, "fine", "more", 1),
		"interim":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + validResponse,
		"bad metrics": strings.Replace(validResponse, "\r\n", "\r\nEndpoint-Load-Metrics: TEXT queue=much,,=\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			m, _ := run(t, startTestbed(t, reply(response), reply(validResponse)))
			for i := range 6 {
				status, body, err := request(t, m, fmt.Sprint("id", i))
				if err != nil || status != 200 || body != "fine" {
					t.Errorf("request %d: status %d, body %q, error %v; want 200, fine", i, status, body, err)
				}
			}
		})
	}
}

// A valid answer to a vote gives its outcome; an invalid one counts as a timeout.
func TestVotes(t *testing.T) {
	s := startTestbed(t)
	answer := func(status int, body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.WriteHeader(status); io.WriteString(w, body) }
	}
	state := `{"Revision":7,"Wave":1,"State":"testing","MaxShare":0.28,"AgeMs":310}`
	cases := []struct {
		answer func(http.ResponseWriter)
		want   balance.Outcome
	}{
		{answer(200, state), balance.Succeeded},
		{answer(200, state[:30]), balance.TimedOut},
		{answer(200, strings.Replace(state, "testing", "t?st!ng", 1)), balance.TimedOut},
		{answer(429, `{"error":"BUSY"}`), balance.Rejected},
		{answer(409, `{"error":"STALE"}`), balance.Ignored},
		{answer(500, `{"error":"FAILED"}`), balance.Failed},
		{answer(409, `{"error":"#!*"}`), balance.TimedOut},
		{func(http.ResponseWriter) { time.Sleep(400 * time.Millisecond) }, balance.TimedOut},
		{func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, balance.TimedOut},
	}
	s.vote = func(number int, w http.ResponseWriter) { cases[number-1].answer(w) }
	updates := 0
	c := &RolloutClient{endpoint: endpoint{address: hostPort(s.api)}, VoteTimeout: 300 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler),
		OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
			if updates++; ver != 7 || stage != 1 || phase != balance.OnTrial || cap != 0.28 || age != 310 || !reply {
				t.Error("reported", ver, stage, phase, cap, age, reply)
			}
		}}
	for i, x := range cases {
		if got := c.sendVote(7, 1, balance.Advance); got != x.want {
			t.Errorf("vote %d: outcome %v; want %v", i, got, x.want)
		}
	}
	if updates != 1 {
		t.Errorf("%d states reported; want 1", updates)
	}
	c.SetAddress("127.0.0.1:1")
	if got := c.sendVote(7, 1, balance.Advance); got != balance.ConnectFailed {
		t.Errorf("vote to a closed port: outcome %v; want %v", got, balance.ConnectFailed)
	}
}

// The marshal follows new addresses at once. While it drains it still serves new connections for a while, and then it
// ends.
func TestUpdateAddressesAndDrain(t *testing.T) {
	s := startTestbed(t, reply(validResponse))
	m, c := run(t, s)
	next := *c
	next.DiscoveryAddress = hostPort(s.newDiscovery)
	s.mu.Lock()
	before := s.streams
	s.mu.Unlock()
	m.UpdateAddresses(&next)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		followed := s.streams > before
		s.mu.Unlock()
		if followed {
			break
		} else if time.Now().After(end) {
			t.Fatal("the new address was not followed within 2 s")
		}
	}
	drained := make(chan error)
	go func() { drained <- m.Drain(nil) }()
	time.Sleep(200 * time.Millisecond)
	if status, body, err := request(t, m, "late"); status != 200 || body != "fine" || err != nil {
		t.Errorf("while draining: status %d, body %q, error %v; want 200, fine", status, body, err)
	}
	select {
	case err := <-drained:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("Drain did not return within 3 s")
	}
	if _, _, err := request(t, m, "too late"); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("after Drain: error %v; want a refused connection", err)
	}
}
