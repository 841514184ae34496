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

func write(t *testing.T, most int64, entries ...*Entry) (string, error) {
	path := filepath.Join(t.TempDir(), "r")
	w, err := Create(path, most)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		err = w.Write(e)
	}
	w.Close()
	return path, err
}

func set(t *testing.T) *settings.Settings {
	return &settings.Settings{Instance: &settings.Instance{Marshals: 1}, Limits: &settings.Limits{MostTries: 2},
		Times: &settings.Times{}, Rules: &settings.Rules{}, Prices: &settings.Prices{}, Roster: &settings.Roster{},
		Rollout: &settings.Rollout{}, Operation: []*settings.Operation{{SloMs: 100, Repeat: settings.Repeat_IDEMPOTENT}}}
}

type silent struct{ balance.Host }

func (silent) Now() float64                     { return 1000 }
func (silent) SetTimer(float64, int64)          {}
func (silent) Dispatch(string, uint32, float64) {}

// lived records a short life of a module and gives its file.
func lived(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "r")
	w, err := Create(path, 0)
	if err != nil {
		t.Fatal(err)
	}
	tap := NewRecorder(w, silent{}, set(t), 0, 7, nil)
	tap.SetModule(balance.New(tap, set(t).Module(), 7))
	tap.NodesListed(true, []balance.Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1}})
	tap.InvocationArrived("a", 0, 0, "k", 500, 0, false, false)
	tap.DispatchEnded("a", 0, 1, balance.Failed, 3, false, map[string]float64{"busy": 0.5, "rate": 2})
	w.Close()
	return path
}

func replay(b []byte, seed uint64) (ReplayResult, error) {
	return Replay(NewReader(bytes.NewReader(b)), func(h balance.Host, s *Entry) divide.Module {
		return balance.New(h, s.Settings.ModuleOf(int(s.No)), s.Seed+seed)
	})
}

// A record replays to the same decisions; torn anywhere it does so up to there; another module is found at its event.
func TestReplay(t *testing.T) {
	b, err := os.ReadFile(lived(t))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := replay(b, 0)
	if err != nil || whole.FirstDifference != "" || whole.Events != 3 || whole.Truncated {
		t.Fatalf("%+v, %v", whole, err)
	}
	for n := range len(b) {
		out, err := replay(b[:n], 0)
		if err == nil && out.FirstDifference != "" {
			t.Fatalf("torn at byte %d: %+v", n, out)
		}
	}
	found := false
	for seed := range uint64(8) { // another seed chooses the other node sooner or later
		out, err := replay(b, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		if out.FirstDifference != "" {
			found = true
			if out.EventNumber < 2 || !strings.Contains(out.FirstDifference, "dispatch") {
				t.Errorf("%+v", out)
			}
		}
	}
	if !found {
		t.Error("no other seed decides anything else")
	}
}

func TestBoundAndRubbish(t *testing.T) {
	e := &Entry{Kind: "arrived", Inv: "a"}
	path, err := write(t, 100, e, e, e, e, e, e, e, e, e, e)
	if err != ErrFull {
		t.Errorf("past its bound a record says %v", err)
	}
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	got := &Entry{}
	for err = r.Next(got); err == nil; err = r.Next(got) {
		if !proto.Equal(got, e) {
			t.Errorf("read %v", got)
		}
	}
	if err != io.EOF || r.MessagesRead < 3 || r.MessagesRead > 9 || r.Truncated {
		t.Errorf("%d read, %v, torn %v", r.MessagesRead, err, r.Truncated)
	}
	if _, err := replay([]byte("not a record at all, but text"), 0); err == nil {
		t.Error("text was taken for a record")
	}
	if _, err := Open("nowhere"); err == nil {
		t.Error("a file that is not there was opened")
	}
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte{3, 10, 1, 'x'})
	f.Fuzz(func(t *testing.T, b []byte) {
		Replay(NewReader(bytes.NewReader(b)), func(h balance.Host, s *Entry) divide.Module {
			t.Skip("a start") // settings that nobody checked
			return nil
		})
	})
}
