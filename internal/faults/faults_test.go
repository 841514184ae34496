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

const payload = 5000 // bytes, more than after which a connection is spoilt

// startServer answers each connection with the payload, in small writes.
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
				for range payload / 100 {
					nc.Write(bytes.Repeat([]byte("x"), 100))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func TestProxySpoilsWhatItIsToldTo(t *testing.T) {
	const connections, patience = 40, 300 * time.Millisecond
	to := startServer(t)
	for trouble, want := range map[float64]func(whole int) bool{
		0: func(whole int) bool { return whole == connections },
		1: func(whole int) bool { return whole > 0 && whole < connections }, // some are late or held, and whole in the end
	} {
		p := &Proxy{Target: to, FaultShare: trouble, AllowDelays: true, Seed: 1}
		address, err := p.Start()
		if err != nil {
			t.Fatal(err)
		}
		whole := 0
		for range connections {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			nc.Write([]byte("?"))
			nc.SetReadDeadline(time.Now().Add(patience))
			got, err := io.ReadAll(nc)
			if err == nil && len(got) == payload {
				whole++
			}
			nc.Close()
		}
		p.Close()
		if !want(whole) {
			t.Errorf("trouble %v: %d of %d connections carried all", trouble, whole, connections)
		}
	}
}

func TestMachineLacksSocketsForAMoment(t *testing.T) {
	to := startServer(t)
	m := NewMachine(3)
	if len(m.scarce) == 0 || len(m.steps) == 0 {
		t.Fatalf("nothing is drawn: %+v", m)
	}
	m.scarce = []spell{{0, 50 * time.Millisecond, syscall.EADDRNOTAVAIL}}
	m.steps = []step{{0, time.Hour}}
	if _, err := m.Connect(context.Background(), "tcp", to); !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Errorf("connecting: %v", err)
	}
	if ahead := time.Until(m.WallClock()); ahead < time.Hour-time.Minute {
		t.Errorf("the wall clock is %v ahead", ahead)
	}
	time.Sleep(60 * time.Millisecond)
	nc, err := m.Connect(context.Background(), "tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.Write([]byte("?"))
	if got, err := io.ReadAll(nc); err != nil || len(got) != payload {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}
