package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowcleat/internal/loopback"
)

// configTemplate is a platform configuration without the addresses of the marshal, discovery and the release API.
const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"release_api":{"address":%q,
"news":{"Revision":7,"Wave":1,"State":"live","MaxShare":1,"AgeMs":90000}},
"settings":{"balancers":1,"me":0,"locality":0,"zones":["here"],"discovery":"automatic",
"limits":{"most-tries":3,"conn-idle-s":30.0,"dial-timeout-s":0.25},"rules":{"stop-sending-within-s":0.5,"warm-up-s":3.0},
"domain":{"api-timeout-s":0.3,"gate-mode":"first_voice"},
"request-classes":[{"name":"look","aim-s":0.4,"deadline-s":1.5,"repeat":"free"},
{"name":"book","aim-s":0.4,"deadline-s":1.5,"repeat":"guarded","group":"zone","window-s":8.0}]}}`

// streamServer starts a server that answers each request with text and then keeps the response open. requests counts
// the requests.
func streamServer(t *testing.T, text string) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requests
}

// oneNodeConfig starts discovery and a release API and returns the configuration of a marshal with one node.
func oneNodeConfig(t *testing.T, node *httptest.Server) func(address string) string {
	list, _ := streamServer(t, fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"here","health":"in_service","build":7}]}`,
		node.Listener.Addr()))
	api, _ := streamServer(t, "{}\n")
	return func(address string) string { return fmt.Sprintf(configTemplate, address, list, api) }
}

// process is a running marshal with its log, its configuration file and the address that it serves at.
type process struct {
	*exec.Cmd
	t                   *testing.T
	log                 processLog
	configFile, address string
}

// processLog collects the log of a process. It can be read while the process runs.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startMarshal starts a marshal with the configuration for its address and waits until it serves.
func startMarshal(t *testing.T, config func(address string) string) *process {
	t.Helper()
	return startCommand(t, exec.Command(os.Args[0], "platform"), config)
}

// startCommand does the same as startMarshal with a given command.
func startCommand(t *testing.T, command *exec.Cmd, config func(address string) string) *process {
	t.Helper()
	reserved, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	p := &process{Cmd: command, t: t, address: reserved.Address(loopback.RequestPort),
		configFile: filepath.Join(t.TempDir(), "config.json")}
	p.writeConfig(config(p.address))
	p.Env = append(os.Environ(), programVariable+"=1", "GW_CONFIG="+p.configFile)
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	p.waitFor("serving", func() bool {
		r, err := http.Get("http://" + p.address + "/healthz")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	return p
}

func (p *process) writeConfig(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.configFile, []byte(text), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

// waitFor waits until a condition holds. After 10 s it kills the process and fails the test.
func (p *process) waitFor(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.Process.Kill()
			p.Wait()
			p.t.Fatalf("timed out waiting for: %s\n%s", what, p.log.String())
		}
	}
}

// dial connects to the marshal. The connection closes with the test.
func (p *process) dial() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return c
}

// sendLook sends a request with a time limit on a connection to the marshal.
func sendLook(c net.Conn, id string, limit time.Duration) {
	fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In-Ms: %d\r\n\r\n", id,
		limit.Milliseconds())
}

// stop stops the process with SIGSTOP and waits until it has stopped.
func (p *process) stop() {
	p.t.Helper()
	p.Process.Signal(syscall.SIGSTOP)
	p.waitFor("the process to stop", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		_, state, _ := strings.Cut(string(stat), ") ") // behind the name of the program
		return err == nil && strings.HasPrefix(state, "T")
	})
}

// limitedCommand returns a command that runs a marshal with a limit of descriptors.
func limitedCommand(descriptors int) *exec.Cmd {
	return exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" platform`, descriptors), os.Args[0])
}
