package serve

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/settings"
)

// Writing the list to disk fails for a while, leaves it half done, and is then possible again. Requests are served throughout, what stood
// before is kept, and the list is saved though it has not changed since.
func TestListIsSavedOnceItCanBe(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			file := tempFile(t, "list")
			var fails atomic.Bool
			write := func(path string, b []byte) error {
				if fails.Load() {
					os.WriteFile(path, b[:len(b)/2], 0o644)
					return &os.PathError{Op: "write", Path: path, Err: errno}
				}
				return writeSynced(path, b)
			}
			r := start(t, 1, ok, func(s *settings.Settings) { s.Roster.File = file }, rigHooks{Hooks: Hooks{WriteFile: write}})
			saved := func() int {
				lines, err := r.m.groups[0].list.load()
				if err != nil {
					t.Errorf("what stands on disk: %v", err)
				}
				return len(lines)
			}
			r.until("the list is on disk", func() bool { return saved() == 1 })
			fails.Store(true)
			r.list(9, "127.0.0.1:1", balance.Draining)
			r.until("it is known", func() bool { l, _ := r.m.Look(); return len(l.Nodes) == 2 })
			for range 5 {
				c := r.client()
				c.send(get, "look")
				c.expect("200")
				if n := saved(); n != 1 {
					t.Errorf("%d lines on disk", n)
				}
				time.Sleep(20 * time.Millisecond)
			}
			fails.Store(false)
			r.until("the list is saved", func() bool { return saved() == 2 })
		})
	}
}

// A list that was saved an hour ago by the wall clock, or will be in an hour, has nodes as old as they were: the clock may have been
// stepped, and a cold node that is taken for warm would be sent too much.
func TestSavedAgesDoNotFollowTheWallClock(t *testing.T) {
	const up = 400.0
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		l := newList(tempFile(t, "list"), loop.Monotonic())
		line := control.NodeEntry{Node: balance.Node{ID: 1, Ver: 1, Size: 1}, Address: "127.0.0.1:1", Incarnation: 1, UptimeMs: up}
		text := fmt.Sprintf("%s %d 1\n%s\n", head, time.Now().Add(-step).UnixMilli(), control.AppendNode(nil, line))
		if err := l.save([]byte(text)); err != nil {
			t.Fatal(err)
		}
		lines, err := l.load()
		if err != nil || len(lines) != 1 || lines[0].UptimeMs != up {
			t.Errorf("a step of %v: %v, %v", step, lines, errors.Join(err))
		}
	}
}
