package serve

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/loop"
)

// list is the roster's last list: what a restarted marshal begins with, and the clock times at which the nodes'
// processes started, which the roster tells as ages.
type list struct {
	file  string
	clock loop.Clock
	begun map[process]float64
	lines map[uint32]control.NodeEntry
	told  map[uint32]float64 // clock time at which a line's age was told
	// serves is, by address, the node that serves there.
	serves map[string]uint32
	// write writes a file and has it on disk.
	write func(path string, b []byte) error
}

type process struct {
	node        uint32
	incarnation uint64
}

func newList(file string, clock loop.Clock) *list {
	return &list{file: file, clock: clock, begun: map[process]float64{}, lines: map[uint32]control.NodeEntry{},
		told: map[uint32]float64{}, serves: map[string]uint32{}, write: writeSynced}
}

// started is when a node's process started, by the marshal's clock: as it was first told for this process, so
// that what is told again does not look like a restart.
func (l *list) started(line control.NodeEntry) float64 {
	if line.UptimeMs <= 0 {
		return 0
	}
	p := process{line.ID, line.Incarnation}
	if at, ok := l.begun[p]; ok {
		return at
	}
	at := max(1, l.clock.Now()-line.UptimeMs)
	l.begun[p] = at
	return at
}

const head = "arrowcleat list 1"

// take brings the list up to date. It does no more than that: in a roll of a large fleet the next word waits for it.
func (l *list) take(whole bool, lines []control.NodeEntry) {
	now := l.clock.Now()
	if whole {
		clear(l.lines)
		clear(l.serves)
	}
	for _, line := range lines {
		if before, ok := l.lines[line.ID]; ok && l.serves[before.Address] == line.ID {
			delete(l.serves, before.Address)
		}
		if line.Health == balance.Gone {
			delete(l.lines, line.ID)
			continue
		}
		if line.Health == balance.Serving {
			l.serves[line.Address] = line.ID
		}
		l.lines[line.ID], l.told[line.ID] = line, now
	}
}

// copy gives the lines as they are to be written, and lets go of what is over.
func (l *list) copy() []control.NodeEntry {
	now := l.clock.Now()
	for p := range l.begun { // processes that are no more
		if line, ok := l.lines[p.node]; !ok || line.Incarnation != p.incarnation {
			delete(l.begun, p)
		}
	}
	lines := make([]control.NodeEntry, 0, len(l.lines))
	for id, at := range l.told {
		line, ok := l.lines[id]
		if !ok {
			delete(l.told, id)
			continue
		}
		if line.UptimeMs > 0 {
			line.UptimeMs += now - at
		}
		lines = append(lines, line)
	}
	return lines
}

// written is lines as they are on disk.
func written(lines []control.NodeEntry) []byte {
	slices.SortFunc(lines, byID)
	b := fmt.Appendf(nil, "%s %d %d\n", head, time.Now().UnixMilli(), len(lines))
	for _, line := range lines {
		b = append(control.AppendNode(b, line), '\n')
	}
	return b
}

// other says that another node that serves has a line's address: it came to where that one had been.
func (l *list) other(line control.NodeEntry) bool {
	id, ok := l.serves[line.Address]
	return ok && id != line.ID
}

// nodes makes nodes of lines.
func (l *list) nodes(lines []control.NodeEntry) ([]balance.Node, []string) {
	nodes, addresses := make([]balance.Node, len(lines)), make([]string, len(lines))
	for i, line := range lines {
		line.Started = l.started(line)
		nodes[i], addresses[i] = line.Node, line.Address
	}
	return nodes, addresses
}

func byID(a, b control.NodeEntry) int { return cmp.Compare(a.ID, b.ID) }

// save keeps a list on disk in place of the one before, which stays whole until the new one is.
func (l *list) save(b []byte) error {
	folder := filepath.Dir(l.file)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	next := l.file + ".next"
	if err := l.write(next, b); err != nil {
		return err
	}
	if err := os.Rename(next, l.file); err != nil {
		return err
	}
	return syncFolder(folder)
}

// writeSynced writes a file and has it on disk.
func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// syncFolder has a folder's entries on disk.
func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// load reads the list of the marshal's life before; one that is torn or not a list is of no use.
func (l *list) load() ([]control.NodeEntry, error) {
	if l.file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(l.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s := bufio.NewScanner(bytes.NewReader(b))
	var saved int64
	var count int
	if !s.Scan() {
		return nil, errors.New("it is empty")
	}
	if _, err := fmt.Sscanf(s.Text(), head+" %d %d", &saved, &count); err != nil {
		return nil, fmt.Errorf("line 1 is not %q, a time and a count", head)
	}
	// How long ago it was saved isn't known: the machine's wall clock may have been stepped in between, and a node that is taken for older
	// than it is would be sent too much while it is cold. It counts as old as it was, until the roster tells.
	var lines []control.NodeEntry
	for s.Scan() {
		line, err := control.ParseNode(s.Text())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", len(lines)+2, err)
		}
		lines = append(lines, line)
	}
	if len(lines) != count {
		return nil, fmt.Errorf("%d lines where %d were saved: it is torn", len(lines), count)
	}
	return lines, nil
}
