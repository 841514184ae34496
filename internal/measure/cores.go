package measure

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// CoresResult is what was measured of one target on a number of cores.
type CoresResult struct {
	Result
	Cores    int
	Isolated bool // the target had processors of its own
}

// RunOnCores measures the marshal and the reverse proxy on each number of cores in counts, with the same nodes and
// clients, and calls report with each result. If the machine has processors to spare, the target has the first ones to
// itself, and clients and nodes have the others. Otherwise they share all processors, and Isolated is false. Threads are
// bound with sched_setaffinity(2), which needs no privilege.
func RunOnCores(ctx context.Context, o Options, counts []int, report func(CoresResult)) error {
	nodes, err := startNodes(o.Nodes)
	if err != nil {
		return err
	}
	defer nodes.close()
	processors := runtime.NumCPU()
	defer bindThreads(os.Getpid(), 0, processors)
	for _, n := range counts {
		for _, target := range targets {
			opts := o
			opts.GoMaxProcs, opts.Settings = n, o.Settings.Copy()
			opts.Settings.Instance.Cores = uint32(n)
			c, err := target.start(opts, nodes)
			if err != nil {
				return fmt.Errorf("%s on %d cores: %w", target.name, n, err)
			}
			row := CoresResult{Cores: n, Isolated: n < processors}
			if row.Isolated {
				err = bindThreads(c.cmd.Process.Pid, 0, n)
				if err == nil {
					err = bindThreads(os.Getpid(), n, processors)
				}
			} else {
				err = bindThreads(os.Getpid(), 0, processors)
			}
			if err == nil {
				row.Target = target.name
				err = opts.runLoops(ctx, []string{c.address}, c, &row.Result)
			}
			c.stop()
			if err != nil {
				return fmt.Errorf("%s on %d cores: %w", target.name, n, err)
			}
			report(row)
		}
	}
	return nil
}

// ownCPUSeconds returns the CPU time that this process has used.
func ownCPUSeconds() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// bindThreads binds all threads of a process to the processors first to end-1. Threads that are started later inherit
// the binding of the thread that starts them.
func bindThreads(pid, first, end int) error {
	var set unix.CPUSet
	for i := first; i < end; i++ {
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
			return fmt.Errorf("binding threads to processors %d to %d: %w", first, end-1, err)
		}
	}
	return nil
}
