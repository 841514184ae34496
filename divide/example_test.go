package divide_test

import (
	"fmt"

	"arrowcleat/balance"
	"arrowcleat/divide"
)

// clock is set by hand.
type clock float64

func (c *clock) now() float64 { return float64(*c) }

func set(allowance float64, caps ...float64) balance.Settings {
	return balance.Settings{"rollout.counted-over-ms": 4000.0, "rollout.allowance": allowance, "rollout.cap-scope": "all",
		"rollout.most-shares": caps, "marshals": 10.0, "rollout.api-rate": 5.0}
}

// grown is an account whose window holds so much already.
func grown(instances int, allowance, cap, taken float64) (*divide.Account, *clock) {
	c := clock(1e6)
	a := divide.NewAccount(c.now, set(allowance, 0.1), instances)
	c += 4100
	a.Staged(2, balance.OnTrial, cap)
	a.Took(0, int(taken), c.now())
	return a, &c
}

var all = divide.Scope{Ver: 2, Op: -1}

// At a cap of which one exposure is left, one instance of eight gets it, and it comes back when it is not used.
func Example_oneLeft() {
	a, c := grown(8, 0, 0.1, 10)
	for i := range 8 {
		fmt.Print(a.Draw(i, a.Join(i), all).N, " ")
	}
	a.Settle(0, 1, all, 0)
	fmt.Println("then", a.Draw(5, 1, all).N)
	*c += 30 // the lease of 5 is over; it was used, and says so
	a.Settle(5, 1, all, 1)
	fmt.Println("used:", a.Draw(6, 1, all).N)
	// Output:
	// 1 0 0 0 0 0 0 0 then 1
	// used: 0
}

// An allowance of 3 over 8 instances: whoever comes first, in whole exposures.
func Example_smallAllowance() {
	a, _ := grown(8, 3, 0.01, 0)
	for i := range 8 {
		fmt.Print(a.Draw(i, a.Join(i), all).N, " ")
	}
	fmt.Println()
	// Output: 1 1 1 0 0 0 0 0
}

// A cap that falls voids the leases that are out; they count until they are settled.
func Example_capFalls() {
	a, _ := grown(4, 0, 0.5, 100)
	l := a.Draw(0, a.Join(0), all)
	fmt.Println(l.N, "void:", a.Void(l))
	a.Staged(2, balance.RollingBack, 0)
	fmt.Println("void:", a.Void(l), "new:", a.Draw(1, a.Join(1), all).N, "counted:", a.Look().Scopes[0].Exposed)
	// Output:
	// 6 void: false
	// void: true new: 0 counted: 6
}

// What an instance that stands still has drawn counts until nothing exposed by it can be in the window.
func Example_stuck() {
	a, c := grown(2, 1, 0.01, 0)
	life := a.Join(0)
	fmt.Println(a.Draw(0, life, all).N)
	for _, after := range []float64{1000, 3000, 40} {
		*c += clock(after)
		fmt.Println(*c-1e6-4100, a.Draw(1, a.Join(1), all).N)
	}
	a.Settle(0, life, all, 1) // it comes back late: that was forgotten, and was long ago
	// Output:
	// 1
	// 1000 0
	// 4000 0
	// 4040 1
}

// An instance begun anew in mid-window has nothing, and what it had drawn counts on.
func Example_begunAnew() {
	a, _ := grown(2, 2, 0.01, 0)
	before := a.Join(0)
	fmt.Println(a.Draw(0, before, all).N)
	now := a.Join(0)
	a.Settle(0, now, all, 0) // gives back nothing: it was not drawn by this one
	fmt.Println(a.Draw(0, now, all).N, a.Draw(1, a.Join(1), all).N)
	// Output:
	// 1
	// 1 0
}

// A build that nobody announced has the first stage's cap, and a marshal that just began has no allowance.
func Example_unannounced() {
	c := clock(1e6)
	a := divide.NewAccount(c.now, set(3, 0.1), 2)
	a.Took(0, 25, c.now())
	a.Staged(2, balance.OnTrial, 1)
	life := a.Join(0)
	fmt.Println(a.Draw(0, life, divide.Scope{Ver: 3, Op: -1}).N, a.Draw(0, life, all).N)
	// Output: 1 6
}

// The first instance votes; when it stands still the next does, no sooner than the platform takes another vote.
func Example_votes() {
	a, c := grown(3, 1, 0.1, 0)
	beat := func(who ...int) {
		for _, i := range who {
			a.Beat(i)
		}
	}
	beat(0, 1, 2)
	fmt.Println(a.Vote(1), a.Vote(0), "again:", a.Vote(0), "answered to", a.Answered())
	*c += 1100
	beat(1, 2)
	fmt.Println("chair", a.Chair(), a.Vote(0), a.Vote(1))
	*c += 1000
	beat(1, 2)
	fmt.Println(a.Vote(1), "answered to", a.Answered())
	// Output:
	// false true again: false answered to 0
	// chair 1 false false
	// true answered to 1
}

// What has a name goes to one instance; what has none to its connection's, until far more waits there.
func ExamplePlace() {
	waits := []int{31, 0, 2}
	waiting := func(i int) int { return waits[i] }
	fmt.Println(divide.Place("", 0, waiting, 3), divide.Place("key-7", 0, waiting, 3) == divide.Place("key-7", 2, waiting, 3))
	waits[0] = 32
	fmt.Println(divide.Place("", 0, waiting, 3))
	fmt.Println(divide.Seat(waiting, 3))
	fmt.Println(divide.Elsewhere(0, waiting, func(i int) bool { return i == 1 }, 3))
	// Output:
	// 0 true
	// 1
	// 1
	// 2 true
}
