package faults

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const payloadBytes = 5000 // more than maxFaultBytes, so that every drawn fault occurs

// startServer answers each connection with payloadBytes, in small writes.
func startServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				nc.Read(make([]byte, 1))
				for range payloadBytes / 100 {
					nc.Write(bytes.Repeat([]byte("x"), 100))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestProxyInjectsFaults checks that the proxy injects faults into the share of connections that it is given.
func TestProxyInjectsFaults(t *testing.T) {
	const connections, timeout = 40, 300 * time.Millisecond
	target := startServer(t)
	for faultShare, want := range map[float64]func(complete int) bool{
		0: func(complete int) bool { return complete == connections },
		1: func(complete int) bool { return complete > 0 && complete < connections }, // some are only delayed
	} {
		p := &Proxy{Target: target, FaultShare: faultShare, AllowDelays: true, Seed: 1}
		address, err := p.Start()
		if err != nil {
			t.Fatal(err)
		}
		complete := 0
		for range connections {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			nc.Write([]byte("?"))
			nc.SetReadDeadline(time.Now().Add(timeout))
			got, err := io.ReadAll(nc)
			if err == nil && len(got) == payloadBytes {
				complete++
			}
			nc.Close()
		}
		p.Close()
		if !want(complete) {
			t.Errorf("fault share %v: %d of %d connections carried the whole payload", faultShare, complete, connections)
		}
	}
}

// TestMachineInjectsShortageAndClockStep checks that connecting fails during a shortage and works after it, and that the
// wall clock is stepped.
func TestMachineInjectsShortageAndClockStep(t *testing.T) {
	target := startServer(t)
	m := NewMachine(3)
	if len(m.shortages) == 0 || len(m.clockSteps) == 0 {
		t.Fatalf("no shortage or no clock step drawn: %+v", m)
	}
	m.shortages = []shortage{{0, 50 * time.Millisecond, syscall.EADDRNOTAVAIL}}
	m.clockSteps = []clockStep{{0, time.Hour}}
	if _, err := m.Connect(context.Background(), "tcp", target); !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Errorf("connecting during the shortage: got %v, want EADDRNOTAVAIL", err)
	}
	if ahead := time.Until(m.WallClock()); ahead < time.Hour-time.Minute {
		t.Errorf("the wall clock is %v ahead, want an hour", ahead)
	}
	time.Sleep(60 * time.Millisecond)
	nc, err := m.Connect(context.Background(), "tcp", target)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.Write([]byte("?"))
	if got, err := io.ReadAll(nc); err != nil || len(got) != payloadBytes {
		t.Errorf("read %d bytes, want %d; error %v", len(got), payloadBytes, err)
	}
}
