package record

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/settings"
)

// writeRecord writes entries to a record of at most maxBytes, and returns its path and the error of the last write.
func writeRecord(t *testing.T, maxBytes int64, entries ...*Entry) (string, error) {
	path := filepath.Join(t.TempDir(), "r")
	w, err := Create(path, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		err = w.Write(e)
	}
	w.Close()
	return path, err
}

func testSettings(t *testing.T) *settings.Settings {
	return &settings.Settings{Instance: &settings.Instance{Marshals: 1}, Limits: &settings.Limits{MostTries: 2},
		Times: &settings.Times{}, Rules: &settings.Rules{}, Prices: &settings.Prices{}, Roster: &settings.Roster{},
		Rollout: &settings.Rollout{}, Operation: []*settings.Operation{{SloMs: 100, Repeat: settings.Repeat_IDEMPOTENT}}}
}

// fixedHost is a Host whose clock stands at 1000 ms, and which ignores timers and dispatches.
type fixedHost struct{ balance.Host }

func (fixedHost) Now() float64                     { return 1000 }
func (fixedHost) SetTimer(float64, int64)          {}
func (fixedHost) Dispatch(string, uint32, float64) {}

// recordModule records a few events of a module and returns the path of the record.
func recordModule(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "r")
	w, err := Create(path, 0)
	if err != nil {
		t.Fatal(err)
	}
	rec := NewRecorder(w, fixedHost{}, testSettings(t), 0, 7, nil)
	rec.SetModule(balance.New(rec, testSettings(t).ModuleSettings(), 7))
	rec.NodesListed(true, []balance.Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1}})
	rec.InvocationArrived("a", 0, 0, "k", 500, 0, false, false)
	rec.DispatchEnded("a", 0, 1, balance.Failed, 3, false, map[string]float64{"busy": 0.5, "rate": 2})
	w.Close()
	return path
}

// replay replays a record with a module whose seed is the recorded one plus extraSeed.
func replay(b []byte, extraSeed uint64) (ReplayResult, error) {
	return Replay(NewReader(bytes.NewReader(b)), func(h balance.Host, s *Entry) divide.Module {
		return balance.New(h, s.Settings.InstanceSettings(int(s.No)), s.Seed+extraSeed)
	})
}

// A record replays to the same decisions, also when it is truncated at any byte. A module that decides differently is
// reported with the event.
func TestReplay(t *testing.T) {
	b, err := os.ReadFile(recordModule(t))
	if err != nil {
		t.Fatal(err)
	}
	complete, err := replay(b, 0)
	if err != nil || complete.FirstDifference != "" || complete.Events != 3 || complete.Truncated {
		t.Fatalf("replay of the complete record: %+v, %v; want 3 events and no difference", complete, err)
	}
	for n := range len(b) {
		out, err := replay(b[:n], 0)
		if err == nil && out.FirstDifference != "" {
			t.Fatalf("replay of a record truncated at byte %d differs: %+v", n, out)
		}
	}
	found := false
	for seed := range uint64(8) { // one of these seeds chooses the other node
		out, err := replay(b, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		if out.FirstDifference != "" {
			found = true
			if out.EventNumber < 2 || !strings.Contains(out.FirstDifference, "dispatch") {
				t.Errorf("difference: %+v; want one in a dispatch, at event 2 or later", out)
			}
		}
	}
	if !found {
		t.Error("no other seed led to a different decision")
	}
}

// A record ends at its size limit and can be read up to there; files that are no record are rejected.
func TestSizeLimitAndInvalidFiles(t *testing.T) {
	e := &Entry{Kind: "arrived", Inv: "a"}
	path, err := writeRecord(t, 100, e, e, e, e, e, e, e, e, e, e)
	if err != ErrFull {
		t.Errorf("a write beyond the size limit returned %v, want ErrFull", err)
	}
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	got := &Entry{}
	for err = r.Next(got); err == nil; err = r.Next(got) {
		if !proto.Equal(got, e) {
			t.Errorf("read %v, want %v", got, e)
		}
	}
	if err != io.EOF || r.MessagesRead < 3 || r.MessagesRead > 9 || r.Truncated {
		t.Errorf("read %d messages, %v, truncated %v; want 3 to 9 messages and EOF", r.MessagesRead, err, r.Truncated)
	}
	if _, err := replay([]byte("not a record at all, but text"), 0); err == nil {
		t.Error("text was accepted as a record")
	}
	if _, err := Open("nowhere"); err == nil {
		t.Error("a file that does not exist was opened")
	}
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte{3, 10, 1, 'x'})
	f.Fuzz(func(t *testing.T, b []byte) {
		Replay(NewReader(bytes.NewReader(b)), func(h balance.Host, s *Entry) divide.Module {
			t.Skip("valid start entry") // its settings are not validated
			return nil
		})
	})
}
