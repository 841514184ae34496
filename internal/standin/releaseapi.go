package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/record"
)

// Release is where the newest build stands, as the operators' platform tells it.
type Release struct {
	Build, Stage int
	Phase        balance.Phase
	Cap          float64
	Since        time.Time
}

// releaseStates are the platform's words, in the order of balance.Phase.
var releaseStates = []string{"testing", "recalling", "live", "recalled"}

// JSON is the state as the platform writes it.
func (r Release) JSON() string {
	return fmt.Sprintf(`{"Revision":%d,"Wave":%d,"State":%q,"MaxShare":%g,"AgeMs":%d}`, r.Build, r.Stage, releaseStates[r.Phase], r.Cap,
		time.Since(r.Since).Milliseconds())
}

// Seen gives the state as what a marshal was told.
func (r Release) Seen(instance int) *record.Seen {
	return &record.Seen{Kind: "staged", AtUs: time.Now().UnixMicro(), Instance: int64(instance), Ver: int64(r.Build), Stage: int64(r.Stage),
		Phase: int64(r.Phase), Cap: r.Cap}
}

// ReleaseAPI is a stand-in for the platform's service that moves builds through their stages, as one marshal reaches it.
type ReleaseAPI struct {
	Instance int
	Record     func(*record.Seen)
	// VoteStatus says with which status a vote is answered.
	VoteStatus func() int

	streams
	now Release
}

// Start listens at an address.
func (a *ReleaseAPI) Start(address string, now Release) error {
	a.now = now
	return a.streams.start(address, a.serve)
}

// Set tells another state.
func (a *ReleaseAPI) Set(now Release) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.now = now
	a.wake()
}

func (a *ReleaseAPI) state() Release {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

var voteErrors = map[int]string{429: "BUSY", 409: "STALE", 500: "FAILED", 400: "SYNTAX"}

func (a *ReleaseAPI) serve(s *stream, q *http.Request) {
	if q.Method == http.MethodPost {
		io.Copy(io.Discard, q.Body)
		status := a.VoteStatus()
		body := fmt.Sprintf(`{"error":%q}`, voteErrors[status])
		if status == http.StatusOK {
			now := a.state()
			body = now.JSON()
			a.Record(now.Seen(a.Instance))
		}
		fmt.Fprintf(s, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
		return
	}
	for {
		changed := s.of.next()
		now := a.state()
		if err := s.say(fmt.Sprintf(`{"type":"ROLLOUT","object":%s}`+"\n", now.JSON())); err != nil {
			return
		}
		a.Record(now.Seen(a.Instance))
		if !s.sleep(changed, time.Second, "{}\n") {
			return
		}
	}
}
