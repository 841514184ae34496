package measure

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// CoresResult is what one way came to on a number of cores.
type CoresResult struct {
	Result
	Cores    int
	Isolated bool // load and nodes had processors of their own
}

// RunOnCores measures the marshal and the reverse proxy on as many cores as are asked for, with the same nodes and clients.
// Where the machine has processors to spare, what is measured gets the first of them to itself, and load and nodes the
// others; else all share all, and the row says so. Threads are bound by sched_setaffinity(2), which needs no privilege.
func RunOnCores(ctx context.Context, o Options, counts []int, each func(CoresResult)) error {
	nodes, err := startNodes(o.Nodes)
	if err != nil {
		return err
	}
	defer nodes.close()
	all := runtime.NumCPU()
	defer bindThreads(os.Getpid(), 0, all)
	for _, n := range counts {
		for _, target := range targets {
			of := o
			of.GoMaxProcs, of.Settings = n, o.Settings.Copy()
			of.Settings.Instance.Cores = uint32(n)
			c, err := target.start(of, nodes)
			if err != nil {
				return fmt.Errorf("%s on %d cores: %w", target.name, n, err)
			}
			row := CoresResult{Cores: n, Isolated: n < all}
			if row.Isolated {
				err = bindThreads(c.cmd.Process.Pid, 0, n)
				if err == nil {
					err = bindThreads(os.Getpid(), n, all)
				}
			} else {
				err = bindThreads(os.Getpid(), 0, all)
			}
			if err == nil {
				row.Target = target.name
				err = of.runLoops(ctx, []string{c.address}, c, &row.Result)
			}
			c.stop()
			if err != nil {
				return fmt.Errorf("%s on %d cores: %w", target.name, n, err)
			}
			each(row)
		}
	}
	return nil
}

// ownCPUSeconds is the seconds of processor that this process has used.
func ownCPUSeconds() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// bindThreads keeps all threads of a process to some processors; threads begun later are bound like the one that begins them.
func bindThreads(pid, from, to int) error {
	var set unix.CPUSet
	for i := from; i < to; i++ {
		set.Set(i)
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return err
	}
	for _, t := range tasks {
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			continue
		}
		if err := unix.SchedSetaffinity(id, &set); err != nil && err != unix.ESRCH {
			return fmt.Errorf("binding threads to processors %d to %d: %w", from, to-1, err)
		}
	}
	return nil
}
