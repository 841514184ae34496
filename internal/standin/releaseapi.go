package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/record"
)

// Release is the rollout state of the newest build, as the release API publishes it.
type Release struct {
	Build, Stage int
	Phase        balance.Phase
	Cap          float64
	Since        time.Time // when it entered this state
}

// releaseStates are the platform's names of the phases, in the order of balance.Phase.
var releaseStates = []string{"testing", "recalling", "live", "recalled"}

// JSON returns the state in the platform's form.
func (r Release) JSON() string {
	return fmt.Sprintf(`{"Revision":%d,"Wave":%d,"State":%q,"MaxShare":%g,"AgeMs":%d}`, r.Build, r.Stage, releaseStates[r.Phase],
		r.Cap, time.Since(r.Since).Milliseconds())
}

// Seen returns the record entry of a marshal having received r.
func (r Release) Seen(instance int) *record.Seen {
	return &record.Seen{Kind: "staged", AtUs: time.Now().UnixMicro(), Instance: int64(instance), Ver: int64(r.Build),
		Stage: int64(r.Stage), Phase: int64(r.Phase), Cap: r.Cap}
}

// ReleaseAPI is a stand-in for the platform's rollout service, for one marshal.
type ReleaseAPI struct {
	Instance int
	Record   func(*record.Seen)
	// VoteStatus returns the status of the answer to a vote.
	VoteStatus func() int

	streams
	release Release
}

// Start listens at an address, with an initial state.
func (a *ReleaseAPI) Start(address string, release Release) error {
	a.release = release
	return a.streams.start(address, a.serve)
}

// Set stores another state and publishes it.
func (a *ReleaseAPI) Set(release Release) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release = release
	a.wake()
}

// current returns the current state.
func (a *ReleaseAPI) current() Release {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.release
}

// voteErrors are the error codes of a vote's answer, by its status.
var voteErrors = map[int]string{429: "BUSY", 409: "STALE", 500: "FAILED", 400: "SYNTAX"}

// serve answers a vote, or writes the state to a stream and then its changes.
func (a *ReleaseAPI) serve(s *stream, q *http.Request) {
	if q.Method == http.MethodPost {
		io.Copy(io.Discard, q.Body)
		status := a.VoteStatus()
		body := fmt.Sprintf(`{"error":%q}`, voteErrors[status])
		if status == http.StatusOK {
			release := a.current()
			body = release.JSON()
			a.Record(release.Seen(a.Instance))
		}
		fmt.Fprintf(s, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
		return
	}
	for {
		changed := s.server.nextChange()
		release := a.current()
		if err := s.writeChunk(fmt.Sprintf(`{"type":"ROLLOUT","object":%s}`+"\n", release.JSON())); err != nil {
			return
		}
		a.Record(release.Seen(a.Instance))
		if !s.awaitChange(changed, time.Second, "{}\n") {
			return
		}
	}
}
