package main

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"arrowcleat/internal/audit"
	"arrowcleat/internal/front"
	"arrowcleat/internal/plant"
	"arrowcleat/internal/serve"
	"arrowcleat/internal/soak"
)

// Environment of a child process of the tests: programVariable makes the test binary run as the program, faultVariable
// names a fault to inject.
const (
	programVariable = "ARROWCLEAT_AS_PROGRAM"
	faultVariable   = "ARROWCLEAT_PLANT"
	// noExitDelay avoids the sleep of one second at the end of a program that is built with the race detector.
	noExitDelay = "GORACE=atexit_sleep_ms=0"
)

// leakedFile is a file that is never closed.
var leakedFile *os.File

// runWithFault runs the platform's marshal with an injected fault and returns its exit code.
func runWithFault(fault string) int {
	hooks, err := plant.Hooks(fault)
	if err != nil { // a fault of the switch below
		hooks = serve.Hooks{}
	}
	var configure func(*front.Server)
	switch fault {
	case "budget":
		configure = func(s *front.Server) { s.Faults.InflateTimeLeft = true }
	case "discards":
		configure = func(s *front.Server) { s.Faults.DiscardUnread = true }
	case "gone":
		configure = func(s *front.Server) { s.Faults.IgnoreClientGone = true }
	case "strangers":
		configure = func(s *front.Server) {
			s.Protocol.FirstRequestTimeoutMs = 0
			s.Settings.Times.HeaderMs, s.Settings.Times.IdleMs = 60000, 60000
		}
	case "start":
		return 1
	case "exit":
		defer os.Exit(3)
	case "crash":
		time.AfterFunc(500*time.Millisecond, func() { os.Exit(2) })
	case "left over":
		time.AfterFunc(1300*time.Millisecond, func() { leakedFile, _ = os.Open(os.DevNull) })
	case "close": // ends at TERM without answering open requests
		term := make(chan os.Signal, 1)
		signal.Notify(term, syscall.SIGTERM)
		go func() { <-term; os.Exit(0) }()
	}
	if configure != nil {
		hooks.ConfigureFront = configure
	}
	if err := runPlatformMarshal(os.Getenv("GW_CONFIG"), slog.LevelDebug.String(), hooks); err != nil {
		return 1
	}
	return 0
}

// logFolder returns a temporary folder for logs that is kept if the test fails.
func logFolder(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "arrowcleat-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs are in", dir)
		} else {
			os.RemoveAll(dir)
		}
	})
	return dir
}

// TestSoak checks that seeded runs of the process under signals keep the rules. The seeds, and so the plans, are fixed.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about twenty seconds")
	}
	var out bytes.Buffer
	err := runSoaks(&out, soak.Options{Dir: logFolder(t), Program: []string{os.Args[0], faultsCommandName},
		Env: []string{programVariable + "=1", noExitDelay}}, 1, 24)
	t.Log(out.String())
	if err != nil {
		t.Error(err)
	}
}

// TestSoakFindsPlantedFaults checks the checks of the soak: each injected fault of a marshal process is found by the
// check that is meant for it.
func TestSoakFindsPlantedFaults(t *testing.T) {
	ms := time.Millisecond
	quiet := soak.Process{LoadTime: 1500 * ms, End: soak.EndIdle, ConnectAfterTerm: 300 * ms}
	term := soak.Process{LoadTime: 1500 * ms, End: soak.EndTerm, ConnectAfterTerm: 300 * ms}
	for fault, c := range map[string]struct {
		rule    string // broken rule, or part of the text of another finding
		process soak.Process
	}{
		"twice":               {audit.RuleAnswered, term},
		audit.RuleAnswered:    {audit.RuleAnswered, term},
		audit.RuleEffects:     {audit.RuleEffects, term},
		audit.RuleOneInFlight: {audit.RuleOneInFlight, term},
		audit.RuleDrain:       {audit.RuleDrain, term},
		audit.RuleExposure:    {audit.RuleExposure, term},
		audit.RuleTimeBudget:  {audit.RuleTimeBudget, term},
		audit.RuleClientGone:  {audit.RuleClientGone, term},
		"close":               {audit.RuleAnswered, term},
		"discards":            {audit.RuleAnswered, term},
		"start":               {"before it was ready", term},
		"exit":                {"exit status 3 after TERM", term},
		"crash":               {"it crashed", term},
		"left over":           {"at rest", quiet},
		"strangers":           {"neither an error nor a close", soak.Process{LoadTime: 4500 * ms, End: soak.EndTerm}},
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			p := soak.RandomPlan(7)
			p.Marshals, p.NodeFaultShare, p.EventInterval, p.Clients, p.NodeIdleTimeout = 1, 0.4, 100*ms, 20, 400*ms
			p.Classes = soak.AllClasses(900 * ms)
			p.Processes = [][]soak.Process{{c.process}}
			p.BurstConns, p.BurstRequests, p.PartialShare, p.LeaveShare = 0, 0, 0, 0.1
			p.MachineFaults, p.ConnFaultShare = false, 0
			switch fault {
			case "strangers":
				p.BurstConns = 20
			case audit.RuleClientGone: // few requests are still retried 0.1 s after their client has disconnected
				p.LeaveShare, p.Clients = 0.6, 40
				p.Processes[0][0].LoadTime = 4 * time.Second
			case "discards": // many connections are idle when the marshal stops
				p.LongPauseShare, p.Clients = 0.8, 40
			case audit.RuleDrain: // a node must still exist when its grace period is over
				p.EventKinds = []soak.Event{soak.DrainNode, soak.AddNode}
				p.Processes[0][0].LoadTime = 3 * time.Second
			case audit.RuleExposure: // a build must be on trial for some time
				p.EventKinds, p.EventInterval = []soak.Event{soak.ChangeRelease}, 700*ms
				p.Caps, p.Allowance, p.CapWindow = []float64{0.05, 1}, 0, time.Second
				p.Processes[0][0].LoadTime = 4 * time.Second
			}
			o, err := soak.Run(soak.Options{Plan: p, Dir: logFolder(t), Program: []string{os.Args[0], "platform"},
				Env: []string{programVariable + "=1", noExitDelay, fmt.Sprintf("%s=%s", faultVariable, fault)}})
			if err != nil {
				t.Fatal(err)
			}
			found := slices.Contains(o.RulesBroken, c.rule) || strings.Contains(strings.Join(o.Findings, "; "), c.rule)
			if o.Clean() || !found {
				var out bytes.Buffer
				o.Print(&out)
				t.Error(errors.New("fault not detected"), out.String())
			}
		})
	}
}
