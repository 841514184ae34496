package rig2

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Env is what a case gets from its script.
type Env struct {
	Root    string // folder of the repository
	Dir     string // temporary folder
	Record  *Record
	Trouble bool // with the disruption
}

// longest is the time after which a case ends in any event.
const longest = 100 * time.Second

var (
	startedMu sync.Mutex
	started   []*Marshal
)

// Main runs a case and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func Main(run func(e Env) (broken string, err error)) {
	e := Env{}
	flag.StringVar(&e.Root, "root", ".", "folder of the repository")
	flag.StringVar(&e.Dir, "dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "file for the record")
	flag.BoolVar(&e.Trouble, "trouble", true, "with the disruption")
	flag.Parse()
	exit := func(code int, text string) {
		e.Record.Printf("%s", text)
		fmt.Println(text)
		killAll()
		os.Exit(code)
	}
	var err error
	if e.Record, err = NewRecord(*record); err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	time.AfterFunc(longest, func() { exit(2, "could not run: it took too long") })
	broken, err := run(e)
	switch {
	case err != nil:
		exit(2, "could not run: "+err.Error())
	case broken != "":
		exit(1, "broken: "+broken)
	}
	exit(0, "held")
}

// killAll kills the processes that were started and waits for their end.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, m := range started {
		m.Kill()
	}
}

// Serving is the state of a released build.
func Serving(build int) Release {
	return Release{Build: build, Wave: 3, State: "live", Cap: 1, Since: time.Now().Add(-time.Minute)}
}

// Deployment is a small deployment: nodes, discovery, release API and one marshal.
type Deployment struct {
	Discovery  *Discovery
	ReleaseAPI *ReleaseAPI
	Marshal    *Marshal
	Hosts      []Host
}

// StartDeployment starts nodes of the builds given, discovery, the release API and a marshal. node makes the stand-in of a node;
// config gets what is missing.
func StartDeployment(e Env, release Release, builds []int, node func(name string, build int) *Node, config Config) (*Deployment, error) {
	d := &Deployment{}
	for i, build := range builds {
		h, err := StartNode(node(fmt.Sprintf("s-%d", i), build), build)
		if err != nil {
			return nil, err
		}
		d.Hosts = append(d.Hosts, h)
	}
	var err error
	if d.Discovery, config.Discovery, err = StartDiscovery(e.Record, d.Hosts); err != nil {
		return nil, err
	}
	if d.ReleaseAPI, config.ReleaseAPI, err = StartReleaseAPI(e.Record, release); err != nil {
		return nil, err
	}
	if config.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	config.News, config.Known = release.JSON(), List(1, true, d.Hosts)
	d.Marshal, err = StartMarshal(e.Root, e.Dir, config)
	return d, err
}

// StartNode starts a node and returns its entry in discovery's list, in zone a.
func StartNode(n *Node, build int) (Host, error) {
	err := n.Start()
	return Host{Name: n.Name, Dial: n.Address, Site: "a", Health: "in_service", Build: build}, err
}
