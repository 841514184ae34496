package divide_test

import (
	"fmt"

	"arrowcleat/balance"
	"arrowcleat/divide"
)

// manualClock is a clock that is set by hand.
type manualClock float64

func (c *manualClock) now() float64 { return float64(*c) }

func settings(allowance float64, caps ...float64) balance.Settings {
	return balance.Settings{"rollout.counted-over-ms": 4000.0, "rollout.allowance": allowance, "rollout.cap-scope": "all",
		"rollout.most-shares": caps, "marshals": 10.0, "rollout.api-rate": 5.0}
}

// fullWindowAccount makes an account one window after its start, with so many accepted invocations in the window.
func fullWindowAccount(instances int, allowance, cap, accepted float64) (*divide.Account, *manualClock) {
	c := manualClock(1e6)
	a := divide.NewAccount(c.now, settings(allowance, 0.1), instances)
	c += 4100
	a.StageUpdate(2, balance.OnTrial, cap)
	a.RecordAccepted(0, int(accepted), c.now())
	return a, &c
}

var allOperations = divide.Scope{Ver: 2, Op: -1}

// Where the cap allows one exposure, one instance of eight receives it. It is available again when it is returned unused.
func Example_oneLeft() {
	a, c := fullWindowAccount(8, 0, 0.1, 10)
	for i := range 8 {
		fmt.Print(a.Draw(i, a.Join(i), allOperations).Size, " ")
	}
	a.Settle(0, 1, allOperations, 0)
	fmt.Println("then", a.Draw(5, 1, allOperations).Size)
	*c += 30 // the lease of instance 5 has expired; it is settled as used
	a.Settle(5, 1, allOperations, 1)
	fmt.Println("used:", a.Draw(6, 1, allOperations).Size)
	// Output:
	// 1 0 0 0 0 0 0 0 then 1
	// used: 0
}

// An allowance of 3 among 8 instances is given out in whole exposures, in the order of the draws.
func Example_smallAllowance() {
	a, _ := fullWindowAccount(8, 3, 0.01, 0)
	for i := range 8 {
		fmt.Print(a.Draw(i, a.Join(i), allOperations).Size, " ")
	}
	fmt.Println()
	// Output: 1 1 1 0 0 0 0 0
}

// When the cap falls, the drawn leases become invalid. They count until they are settled.
func Example_capFalls() {
	a, _ := fullWindowAccount(4, 0, 0.5, 100)
	l := a.Draw(0, a.Join(0), allOperations)
	fmt.Println(l.Size, "invalid:", a.Invalid(l))
	a.StageUpdate(2, balance.RollingBack, 0)
	fmt.Println("invalid:", a.Invalid(l), "new:",
		a.Draw(1, a.Join(1), allOperations).Size, "counted:", a.Snapshot().Scopes[0].Exposed)
	// Output:
	// 6 invalid: false
	// invalid: true new: 0 counted: 6
}

// The lease of a stalled instance counts until nothing exposed under it can be in the window.
func Example_stalled() {
	a, c := fullWindowAccount(2, 1, 0.01, 0)
	incarnation := a.Join(0)
	fmt.Println(a.Draw(0, incarnation, allOperations).Size)
	for _, afterMs := range []float64{1000, 3000, 40} {
		*c += manualClock(afterMs)
		fmt.Println(*c-1e6-4100, a.Draw(1, a.Join(1), allOperations).Size)
	}
	a.Settle(0, incarnation, allOperations, 1) // has no effect: the lease is forgotten, and its exposures are too old to count
	// Output:
	// 1
	// 1000 0
	// 4000 0
	// 4040 1
}

// An instance that restarts within the window has no lease, and the lease that it drew before still counts.
func Example_restarted() {
	a, _ := fullWindowAccount(2, 2, 0.01, 0)
	first := a.Join(0)
	fmt.Println(a.Draw(0, first, allOperations).Size)
	second := a.Join(0)
	a.Settle(0, second, allOperations, 0) // returns nothing: the lease belongs to the first incarnation
	fmt.Println(a.Draw(0, second, allOperations).Size, a.Draw(1, a.Join(1), allOperations).Size)
	// Output:
	// 1
	// 1 0
}

// A build that has not been announced has the first stage's cap, and a marshal that has just started has no allowance.
func Example_unannounced() {
	c := manualClock(1e6)
	a := divide.NewAccount(c.now, settings(3, 0.1), 2)
	a.RecordAccepted(0, 25, c.now())
	a.StageUpdate(2, balance.OnTrial, 1)
	incarnation := a.Join(0)
	fmt.Println(a.Draw(0, incarnation, divide.Scope{Ver: 3, Op: -1}).Size, a.Draw(0, incarnation, allOperations).Size)
	// Output: 1 6
}

// The first instance votes. When it stalls the next one does, no sooner than the platform accepts another vote.
func Example_votes() {
	a, c := fullWindowAccount(3, 1, 0.1, 0)
	heartbeat := func(instances ...int) {
		for _, i := range instances {
			a.Heartbeat(i)
		}
	}
	heartbeat(0, 1, 2)
	fmt.Println(a.StartVote(1), a.StartVote(0), "again:", a.StartVote(0), "answered to", a.FinishVote())
	*c += 1100
	heartbeat(1, 2)
	fmt.Println("coordinator", a.Coordinator(), a.StartVote(0), a.StartVote(1))
	*c += 1000
	heartbeat(1, 2)
	fmt.Println(a.StartVote(1), "answered to", a.FinishVote())
	// Output:
	// false true again: false answered to 0
	// coordinator 1 false false
	// true answered to 1
}

// All invocations of a name go to one instance. Those without a name go to that of their connection, unless its queue
// is far longer than another's.
func ExampleAssignInvocation() {
	queues := []int{31, 0, 2}
	waiting := func(i int) int { return queues[i] }
	fmt.Println(divide.AssignInvocation("", 0, waiting, 3),
		divide.AssignInvocation("key-7", 0, waiting, 3) == divide.AssignInvocation("key-7", 2, waiting, 3))
	queues[0] = 32
	fmt.Println(divide.AssignInvocation("", 0, waiting, 3))
	fmt.Println(divide.AssignConnection(waiting, 3))
	fmt.Println(divide.Reassign(0, waiting, func(i int) bool { return i == 1 }, 3))
	// Output:
	// 0 true
	// 1
	// 1
	// 2 true
}
