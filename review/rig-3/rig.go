// Command rig-3 starts marshals in service as processes on loopback addresses, plays clients, nodes, discovery and the
// platform round them, and checks one rule. jump is case 6; slow and dup are what review/REPORT-2.md tells beside the cases.
//
//	rig-3 CASE --dir FOLDER
//
// The record goes to FOLDER/record.txt. Exit code 0: the rule held; 1: it was broken; 2: the case could not run. With
// TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line with the time since the start in seconds.
func (r *recorder) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// rig is one play of a case.
type rig struct {
	*recorder
	trouble bool
	folder  string // temporary
	root    string // of the repository
	stops   []func()
}

// atEnd has f called at the end of the play, the last one first.
func (g *rig) atEnd(f func()) { g.stops = append(g.stops, f) }

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"jump": playJump,
	"slow": playSlow,
	"dup":  playDup,
}

func main() { os.Exit(run()) }

// run plays the case of the command line and returns the exit code.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[2] != "--dir" {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE --dir FOLDER")
		return 2
	}
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	g := &rig{recorder: &recorder{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", folder: folder, root: root}
	g.add("case %s, disruption %v", os.Args[1], g.trouble)
	broken, err := cases[os.Args[1]](g)
	for i := len(g.stops) - 1; i >= 0; i-- {
		g.stops[i]()
	}
	switch {
	case err != nil:
		g.add("result: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		g.add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	g.add("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
