package platform

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"arrowcleat/balance"
)

// startRolloutClient starts a RolloutClient and returns a channel of the states that it reports, formatted as text.
func startRolloutClient(t *testing.T, address string) chan string {
	states := make(chan string, 20)
	client := &RolloutClient{endpoint: endpoint{address: address}, VoteTimeout: time.Second, Log: slog.New(slog.DiscardHandler),
		OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, _ float64, _ bool) {
			states <- fmt.Sprint(ver, " ", stage, " ", phaseNames[phase], " ", cap)
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return states
}

// event returns an event of the release API on its line.
func event(ver int, state string, share float64) string {
	return fmt.Sprintf(`{"type":"ROLLOUT","object":{"Revision":%d,"Wave":1,"State":%q,"MaxShare":%g,"AgeMs":5}}`, ver, state, share) + "\n"
}

// keepAlive repeats a sign of life on a stream every quarter second, until it is closed.
func keepAlive(t *testing.T, s *stream, sign string) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
				s.send(sign)
			}
		}
	}()
}

// nextWithin waits for the next request and fails if it takes longer than most.
func (s *streamServer) nextWithin(t *testing.T, most time.Duration) *stream {
	t.Helper()
	start := time.Now()
	next := s.next(t)
	if took := time.Since(start); took > most {
		t.Errorf("the stream was requested again after %v; want %v at most", took, most)
	}
	return next
}

// TestDamagedEventReopensStream guards against news that stops for good, or is lost for good: after a part of an event, an
// event with damaged words or noise, the stream is requested anew though signs of life go on, and news is heard again.
func TestDamagedEventReopensStream(t *testing.T) {
	whole := event(42, "testing", 0.5)
	damaged := map[string]string{"noise": "\x00\xff noise\n", "damaged type": strings.Replace(whole, "ROLLOUT", "R?LL UT", 1),
		"no type":       strings.Replace(whole, "type", "ty?e", 1),
		"damaged state": strings.Replace(whole, "testing", "te?ting", 1),
		"no object":     strings.Replace(whole, `"object"`, `"ob?ect"`, 1),
		"no revision":   strings.Replace(whole, "Revision", "Re?ision", 1),
		"a huge number": strings.Replace(whole, `"Wave":1`, `"Wave":1e300`, 1),
		"a text":        "\"ROLLOUT\"\n"}
	for cut := 1; cut < len(whole)-1; cut += 7 {
		damaged[fmt.Sprint("cut at ", cut)] = whole[:cut] + "\n"
	}
	damaged["cut without a line end"] = whole[:60]
	for name, text := range damaged {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStreamServer(t)
			states := startRolloutClient(t, s.address)
			c := s.next(t)
			c.send(event(41, "live", 1))
			expect(t, states, "41 1 live 1")
			c.send(text)
			keepAlive(t, c, "{}\n")
			c = s.nextWithin(t, eventsTimeout)
			c.send(event(42, "recalling", 0))
			expect(t, states, "42 1 recalling 0")
		})
	}
}

// An event of a type that does not concern marshals changes nothing.
func TestOtherEventsAreIgnored(t *testing.T) {
	s := startStreamServer(t)
	states := startRolloutClient(t, s.address)
	c := s.next(t)
	for _, text := range []string{event(41, "live", 1), "{}\n", "\n", `{"type":"NOTICE","object":{"text":"x"}}` + "\n", event(42, "testing", 0.5)} {
		c.send(text)
	}
	expect(t, states, "41 1 live 1")
	expect(t, states, "42 1 testing 0.5")
}

// TestCutListReopensStream guards against a node list that stops for good: after a part of a list, or an object that is
// none, the stream is requested anew though signs of life go on.
func TestCutListReopensStream(t *testing.T) {
	flat := strings.ReplaceAll(listText(42, false, host("x", "a", "terminating", 3), host("y", "b", "in_service", 4)), "\n", "") + "\n"
	indented := listText(42, false, host("x", "a", "terminating", 3), host("y", "b", "in_service", 4))
	damaged := map[string]string{"other object": "{\"se?\":42,\"who?e\":false,\"ho?ts\":[]}\n",
		"no whole": strings.Replace(flat, "whole", "who?e", 1), "no hosts": strings.Replace(flat, "hosts", "ho?ts", 1)}
	for cut := 1; cut < len(flat)-2; cut += 17 {
		damaged[fmt.Sprint("flat, cut at ", cut)] = flat[:cut] + "\n"
	}
	for cut := 1; cut < len(indented)-2; cut += 17 {
		damaged[fmt.Sprint("indented, cut at ", cut)] = indented[:cut] + "\n"
	}
	for name, text := range damaged {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStreamServer(t)
			_, lists := startClient(t, s.address)
			c := s.next(t)
			c.send(listText(41, true, host("x", "a", "in_service", 3)))
			expect(t, lists, "true 1:10.0.0.1:70/3/0/0")
			c.send(text)
			keepAlive(t, c, "\n")
			c = s.nextWithin(t, listTimeout+maxBackoff)
			c.send(listText(43, true, host("x", "a", "terminating", 3)))
			expect(t, lists, "true 1:10.0.0.1:70/3/1/0")
		})
	}
}
