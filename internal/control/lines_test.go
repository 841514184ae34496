package control

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"arrowcleat/balance"
)

// rawServer accepts connections, writes to each one what write returns for its number, and then closes it, or leaves it
// open until the test ends. It notes when each connection came.
func rawServer(t *testing.T, closeAfter bool, write func(number int) string) (address string, accepted chan time.Time) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	accepted = make(chan time.Time, 10000)
	go func() {
		for number := 0; ; number++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- time.Now()
			io.WriteString(nc, write(number))
			if closeAfter {
				nc.Close()
			} else {
				t.Cleanup(func() { nc.Close() })
			}
		}
	}()
	return ln.Addr().String(), accepted
}

// TestCutStageIsNotApplied guards against a line that is cut off by the end of its connection and taken for a whole one,
// with a cap, age or build that nobody told.
func TestCutStageIsNotApplied(t *testing.T) {
	const whole = "STAGE 43 1 trial 0.28 31000\r\n"
	address, accepted := rawServer(t, true, func(number int) string { return whole[:min(number, len(whole)-1)] })
	c := &RolloutClient{
		OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, age float64, _ bool) {
			if ver != 43 || stage != 1 || phase != balance.OnTrial || cap != 0.28 || age != 31000 {
				t.Errorf("a cut line was taken for build %d, stage %d, cap %v, age %v", ver, stage, cap, age)
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil { // without the backoff of Run
			nc, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			c.session(ctx, nc)
			nc.Close()
		}
	}()
	for range len(whole) + 1 {
		<-accepted
	}
	cancel()
	<-done
}

// TestCutMessageEndsConnection guards against a connection that is waited on for ever after a part of a line, or a part of
// a list: no news would come until it breaks.
func TestCutMessageEndsConnection(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]string{"a stage": "STAGE 43 1 trial 0.2",
		"a list's head":   "LIST whole 5 0",
		"an entry":        "LIST whole 5 0 3 2\r\n" + string(AppendNode(nil, node(1))) + "\r\nNODE 2 127",
		"between entries": "LIST whole 5 0 3 2\r\n" + string(AppendNode(nil, node(1))) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := rawServer(t, false, func(int) string { return part })
			client := interface{ Run(context.Context) }(&RegistryClient{Address: address, InitialBackoff: time.Millisecond,
				MaxBackoff: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
				OnNodesListed: func(_ bool, entries []NodeEntry) { t.Errorf("a part of a list was taken for %d entries", len(entries)) }})
			if name == "a stage" {
				client = &RolloutClient{Address: address, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
					Log: slog.New(slog.DiscardHandler), OnStageUpdate: func(ver, _ int, _ balance.Phase, _, _ float64, _ bool) {
						t.Errorf("a part of a line was taken for build %d", ver)
					}}
			}
			run(t, client.Run)
			first := <-accepted
			select {
			case second := <-accepted:
				if took := second.Sub(first); took < messageTimeout {
					t.Errorf("connected again after %v; want %v", took, messageTimeout)
				}
			case <-time.After(messageTimeout + 2*time.Second):
				t.Errorf("no new connection within %v", messageTimeout+2*time.Second)
			}
		})
	}
}
