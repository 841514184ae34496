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

// nodeList is the last list of the service registry, with which a restarted marshal begins. It also holds the clock
// times at which the processes of nodes started, which the registry reports as ages.
type nodeList struct {
	file          string
	clock         loop.Clock
	processStarts map[process]float64
	lines         map[uint32]control.NodeEntry
	ageReceivedAt map[uint32]float64 // clock time in ms at which the age in a line was received
	// servingNode is the node that serves at an address.
	servingNode map[string]uint32
	// write writes a file and syncs it to disk.
	write func(path string, b []byte) error
}

// process identifies one process of a node.
type process struct {
	node        uint32
	incarnation uint64
}

func newNodeList(file string, clock loop.Clock) *nodeList {
	return &nodeList{file: file, clock: clock, processStarts: map[process]float64{}, lines: map[uint32]control.NodeEntry{},
		ageReceivedAt: map[uint32]float64{}, servingNode: map[string]uint32{}, write: writeSynced}
}

// processStart returns the clock time at which the process of a node started, or 0 if unknown. The first report for a
// process counts, so that a later report does not look like a restart.
func (l *nodeList) processStart(line control.NodeEntry) float64 {
	if line.UptimeMs <= 0 {
		return 0
	}
	p := process{line.ID, line.Incarnation}
	if at, ok := l.processStarts[p]; ok {
		return at
	}
	at := max(1, l.clock.Now()-line.UptimeMs)
	l.processStarts[p] = at
	return at
}

// listHeader begins the first line of a saved list: the format and its version.
const listHeader = "arrowcleat list 1"

// update applies a complete list or changes to the current one. It does nothing else: during a rolling restart of a
// large fleet the next update waits for it.
func (l *nodeList) update(complete bool, lines []control.NodeEntry) {
	now := l.clock.Now()
	if complete {
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

// snapshot returns the lines to be saved, with current ages. It also discards state of processes and nodes that are gone.
func (l *nodeList) snapshot() []control.NodeEntry {
	now := l.clock.Now()
	for p := range l.processStarts { // processes that are gone
		if line, ok := l.lines[p.node]; !ok || line.Incarnation != p.incarnation {
			delete(l.processStarts, p)
		}
	}
	lines := make([]control.NodeEntry, 0, len(l.lines))
	for id, at := range l.ageReceivedAt {
		line, ok := l.lines[id]
		if !ok {
			delete(l.ageReceivedAt, id)
			continue
		}
		if line.UptimeMs > 0 {
			line.UptimeMs += now - at
		}
		lines = append(lines, line)
	}
	return lines
}

// encodeList returns lines in the format of the saved list.
func encodeList(lines []control.NodeEntry) []byte {
	slices.SortFunc(lines, byID)
	b := fmt.Appendf(nil, "%s %d %d\n", listHeader, time.Now().UnixMilli(), len(lines))
	for _, line := range lines {
		b = append(control.AppendNode(b, line), '\n')
	}
	return b
}

// servedByOther reports whether another node now serves at the address of a line: the address was reused.
func (l *nodeList) servedByOther(line control.NodeEntry) bool {
	id, ok := l.servingNode[line.Address]
	return ok && id != line.ID
}

// toNodes converts lines to nodes and their addresses.
func (l *nodeList) toNodes(lines []control.NodeEntry) ([]balance.Node, []string) {
	nodes, addresses := make([]balance.Node, len(lines)), make([]string, len(lines))
	for i, line := range lines {
		line.Started = l.processStart(line)
		nodes[i], addresses[i] = line.Node, line.Address
	}
	return nodes, addresses
}

func byID(a, b control.NodeEntry) int { return cmp.Compare(a.ID, b.ID) }

// save replaces the saved list. The previous one stays intact until the new one is complete.
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

// writeSynced writes a file and syncs it to disk.
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

// syncDirectory syncs the entries of a directory to disk.
func syncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// load reads the list that a previous process of the marshal saved. A list that is truncated or malformed is an error.
func (l *nodeList) load() ([]control.NodeEntry, error) {
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
		return nil, errors.New("the file is empty")
	}
	if _, err := fmt.Sscanf(s.Text(), listHeader+" %d %d", &saved, &count); err != nil {
		return nil, fmt.Errorf("line 1 is not %q followed by a time and a count", listHeader)
	}
	// How long ago the list was saved is unknown, since the wall clock of the machine may have been stepped in between.
	// A node that is taken for older than it is would get too much load while it is warming up. Nodes keep their saved
	// age until the registry reports another.
	var lines []control.NodeEntry
	for s.Scan() {
		line, err := control.ParseNode(s.Text())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", len(lines)+2, err)
		}
		lines = append(lines, line)
	}
	if len(lines) != count {
		return nil, fmt.Errorf("the file is truncated or damaged: got %d lines, want %d", len(lines), count)
	}
	if !bytes.HasSuffix(b, []byte("\n")) {
		return nil, errors.New("the file is truncated or damaged: the last line has no end")
	}
	return lines, nil
}
