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
type nodeList struct {
	file          string
	clock         loop.Clock
	processStarts map[process]float64
	lines         map[uint32]control.Line
	ageReceivedAt map[uint32]float64 // clock time at which a line's age was told
	// serves is, by address, the node that serves there.
	servingNode map[string]uint32
	// write writes a file and has it on disk.
	write func(path string, b []byte) error
}

type process struct {
	node        uint32
	incarnation uint64
}

func newNodeList(file string, clock loop.Clock) *nodeList {
	return &nodeList{file: file, clock: clock, processStarts: map[process]float64{}, lines: map[uint32]control.Line{},
		ageReceivedAt: map[uint32]float64{}, servingNode: map[string]uint32{}, write: writeSynced}
}

// started is when a node's process started, by the marshal's clock: as it was first told for this process, so
// that what is told again does not look like a restart.
func (l *nodeList) processStart(line control.Line) float64 {
	if line.Up <= 0 {
		return 0
	}
	p := process{line.ID, line.Incarnation}
	if at, ok := l.processStarts[p]; ok {
		return at
	}
	at := max(1, l.clock.Now()-line.Up)
	l.processStarts[p] = at
	return at
}

const listHeader = "arrowcleat list 1"

// take brings the list up to date. It does no more than that: in a roll of a large fleet the next word waits for it.
func (l *nodeList) update(whole bool, lines []control.Line) {
	now := l.clock.Now()
	if whole {
		clear(l.lines)
		clear(l.servingNode)
	}
	for _, line := range lines {
		if before, ok := l.lines[line.ID]; ok && l.servingNode[before.Address] == line.ID {
			delete(l.servingNode, before.Address)
		}
		if line.Health == balance.Gone {
			delete(l.lines, line.ID)
			continue
		}
		if line.Health == balance.Serving {
			l.servingNode[line.Address] = line.ID
		}
		l.lines[line.ID], l.ageReceivedAt[line.ID] = line, now
	}
}

// copy gives the lines as they are to be written, and lets go of what is over.
func (l *nodeList) snapshot() []control.Line {
	now := l.clock.Now()
	for p := range l.processStarts { // processes that are no more
		if line, ok := l.lines[p.node]; !ok || line.Incarnation != p.incarnation {
			delete(l.processStarts, p)
		}
	}
	lines := make([]control.Line, 0, len(l.lines))
	for id, at := range l.ageReceivedAt {
		line, ok := l.lines[id]
		if !ok {
			delete(l.ageReceivedAt, id)
			continue
		}
		if line.Up > 0 {
			line.Up += now - at
		}
		lines = append(lines, line)
	}
	return lines
}

// written is lines as they are on disk.
func encodeList(lines []control.Line) []byte {
	slices.SortFunc(lines, byID)
	b := fmt.Appendf(nil, "%s %d %d\n", listHeader, time.Now().UnixMilli(), len(lines))
	for _, line := range lines {
		b = append(control.AppendLine(b, line), '\n')
	}
	return b
}

// other says that another node that serves has a line's address: it came to where that one had been.
func (l *nodeList) servedByOther(line control.Line) bool {
	id, ok := l.servingNode[line.Address]
	return ok && id != line.ID
}

// nodes makes nodes of lines.
func (l *nodeList) toNodes(lines []control.Line) ([]balance.Node, []string) {
	nodes, addresses := make([]balance.Node, len(lines)), make([]string, len(lines))
	for i, line := range lines {
		line.Started = l.processStart(line)
		nodes[i], addresses[i] = line.Node, line.Address
	}
	return nodes, addresses
}

func byID(a, b control.Line) int { return cmp.Compare(a.ID, b.ID) }

// save keeps a list on disk in place of the one before, which stays whole until the new one is.
func (l *nodeList) save(b []byte) error {
	directory := filepath.Dir(l.file)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	next := l.file + ".next"
	if err := l.write(next, b); err != nil {
		return err
	}
	if err := os.Rename(next, l.file); err != nil {
		return err
	}
	return syncDirectory(directory)
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
func syncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// load reads the list of the marshal's life before; one that is torn or not a list is of no use.
func (l *nodeList) load() ([]control.Line, error) {
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
	if _, err := fmt.Sscanf(s.Text(), listHeader+" %d %d", &saved, &count); err != nil {
		return nil, fmt.Errorf("line 1 is not %q, a time and a count", listHeader)
	}
	// How long ago it was saved isn't known: the machine's wall clock may have been stepped in between, and a node that is taken for older
	// than it is would be sent too much while it is cold. It counts as old as it was, until the roster tells.
	var lines []control.Line
	for s.Scan() {
		line, err := control.ParseLine(s.Text())
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
