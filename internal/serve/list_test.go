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

// Saving the list fails for a while, leaving half-written files, and then works again. Requests must be served
// throughout, the previous list must stay intact, and the list must be saved although it has not changed since.
func TestListSaveIsRetried(t *testing.T) {
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
			r := startRig(t, 1, echoPath, func(s *settings.Settings) { s.Roster.File = file }, testHooks{Hooks: Hooks{WriteFile: write}})
			savedNodes := func() int {
				lines, err := r.m.pools[0].list.load()
				if err != nil {
					t.Errorf("the saved list: %v", err)
				}
				return len(lines)
			}
			r.waitFor("the list is on disk", func() bool { return savedNodes() == 1 })
			fails.Store(true)
			r.setNode(9, "127.0.0.1:1", balance.Draining)
			r.waitFor("the marshal knows the new node", func() bool { snapshot, _ := r.m.Snapshot(); return len(snapshot.Nodes) == 2 })
			for range 5 {
				c := r.client()
				c.send(get, "look")
				c.expect("200")
				if n := savedNodes(); n != 1 {
					t.Errorf("%d lines on disk, want 1", n)
				}
				time.Sleep(20 * time.Millisecond)
			}
			fails.Store(false)
			r.waitFor("the list is saved", func() bool { return savedNodes() == 2 })
		})
	}
}

// A list was saved an hour ago by the wall clock, or an hour in the future. Its nodes keep the age they had: the clock
// may have been stepped, and a node that is warming up but taken for warm would get too much load.
func TestSavedAgesIgnoreWallClock(t *testing.T) {
	const upMs = 400.0
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		l := newNodeList(tempFile(t, "list"), loop.Monotonic())
		line := control.NodeEntry{Node: balance.Node{ID: 1, Ver: 1, Size: 1}, Address: "127.0.0.1:1", Incarnation: 1, UptimeMs: upMs}
		saved := fmt.Sprintf("%s %d 1\n%s\n", listHeader, time.Now().Add(-step).UnixMilli(), control.AppendNode(nil, line))
		if err := l.save([]byte(saved)); err != nil {
			t.Fatal(err)
		}
		lines, err := l.load()
		if err != nil || len(lines) != 1 || lines[0].UptimeMs != upMs {
			t.Errorf("wall clock stepped by %v: lines %v, error %v", step, lines, errors.Join(err))
		}
	}
}
