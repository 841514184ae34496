// Package rig2 has what the cases of the second review share: the marshal's process, started with the command of the deploy
// file, and stand-ins for discovery, the release API, nodes and clients.
package rig2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run, a line each, with the time in ms since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes a line.
func (r *Record) Printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, a...))
}

// FreeAddress returns a free loopback address.
func FreeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 10+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
	ln, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Class is a class of requests in the settings of a marshal.
type Class struct {
	Name, Repeat, Group string
	Aim, Deadline       float64 // in s
	Window              float64 // in s
}

// Config is what the configuration of a marshal is made from.
type Config struct {
	Listen, Discovery, ReleaseAPI string
	News                          string // release_api.news
	Known                         string // the list that the marshal last held
	MemoryMB, Sockets             int
	Classes                       []Class
	ForwardOnly                   bool
	Shielded                      int
	Grace                         float64 // in s
}

// JSON returns the configuration in the platform's form.
func (c Config) JSON() (string, error) {
	var classes []map[string]any
	for _, class := range c.Classes {
		m := map[string]any{"name": class.Name, "repeat": class.Repeat, "aim-s": class.Aim, "deadline-s": class.Deadline,
			"points": 1, "late-share": 0.2, "streamed": false}
		if class.Repeat == "guarded" {
			m["group"], m["window-s"] = class.Group, class.Window
		}
		classes = append(classes, m)
	}
	peer, err := FreeAddress()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": c.Listen, "discovery": c.Discovery,
		"seed":        strconv.FormatUint(rand.Uint64()>>1, 16),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"peer_listen": peer, "peers": []string{peer}, "peers_all": peer,
		"release_api": map[string]any{"address": c.ReleaseAPI, "news": json.RawMessage(c.News)},
		"known":       json.RawMessage(c.Known),
		"settings": map[string]any{"balancers": 3, "me": 0, "locality": 0, "zones": []string{"a", "b"}, "family": "rollout",
			"discovery": "automatic", "models": []string{"m1"}, "worth-by": "request",
			"limits": map[string]any{"cancel": true, "conn-idle-s": 30.0, "dial-timeout-s": 0.25, "max-retry-after-s": 0.5,
				"may-tell": false, "most-tries": 5, "multiplex": 1, "probes": false, "retry-after": true, "second-copies": false},
			"prices": map[string]any{"cross-zone": 0.0},
			"rules": map[string]any{"stop-sending-within-s": c.Grace, "warm-up-s": 4.6, "cold-from": 0.35, "fall-multiple": 2.5,
				"fall-s": 1.0, "answer-slack-s": 0.02},
			"domain": map[string]any{"allowance": 1.0, "api-rate": 30.0, "api-timeout-s": 2.0, "cap-scope": "all",
				"counted-over-s": 2.0, "forward-only": c.ForwardOnly, "gate-mode": "by_count", "most-shares": []float64{0.042, 0.17, 0.56, 1},
				"stage-share": []float64{0.03, 0.12, 0.4, 1}, "noes-needed": 1, "on-votes": 1, "news-period-s": 2.0, "shielded": c.Shielded,
				"soak-s": 2.0, "vote-ttl-s": 6.0, "metrics-period-s": 0.0, "sample": 0.0},
			"request-classes": classes,
			"tenants":         []map[string]any{{"name": "one", "fraction": 1.0, "quota-per-s": 100.0}}}})
	return string(text), err
}

// Marshal is a running process of a marshal.
type Marshal struct {
	Address string
	Cmd     *exec.Cmd
	Exited  chan struct{}
	Err     error // set before Exited is closed
}

// runLine is the line of the deploy file that says how a marshal is started.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// StartMarshal starts a marshal with the command of the deploy file in the folder root, and waits until it is ready.
func StartMarshal(root, dir string, c Config) (*Marshal, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("no run line in the deploy file")
	}
	config, err := c.JSON()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "marshal.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	m := &Marshal{Address: c.Listen, Cmd: exec.Command("/bin/sh", "-c", string(match[1])), Exited: make(chan struct{})}
	m.Cmd.Dir, m.Cmd.Stderr, m.Cmd.Stdout = root, log, log
	m.Cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+c.Listen, "GW_DISCOVERY="+c.Discovery, "GW_CONFIG="+file)
	if err := m.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() { m.Err = m.Cmd.Wait(); close(m.Exited) }()
	startedMu.Lock()
	started = append(started, m)
	startedMu.Unlock()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r, err := client.Get("http://" + c.Listen + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return m, nil
			}
		}
		select {
		case <-m.Exited:
			return nil, fmt.Errorf("the marshal ended before it was ready: %v", m.Err)
		default:
		}
	}
	m.Kill()
	return nil, fmt.Errorf("the marshal was not ready within 15 s")
}

// Kill kills the process and waits for its end.
func (m *Marshal) Kill() {
	m.Cmd.Process.Kill()
	<-m.Exited
}

// Signal sends a signal to the process.
func (m *Marshal) Signal(s syscall.Signal) { m.Cmd.Process.Signal(s) }

// MemoryMB returns the resident memory of the process in MiB, without the pages of its program and libraries.
func (m *Marshal) MemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}
