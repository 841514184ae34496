package divide

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"arrowcleat/balance"
)

// With the clock at rest an account is a count of what is left: eight instances that draw and settle at once see it as
// though one had come after the other.
func TestDrawsInAnOrder(t *testing.T) {
	type input struct{ instance, exposed int } // exposed is -1 for a draw
	spec := porcupine.Model{
		Init: func() any { return [9]int{8: 10} }, // what each has drawn, and what is left
		Step: func(state, in, out any) (bool, any) {
			s, i := state.([9]int), in.(input)
			if i.exposed < 0 {
				n := out.(int)
				s[i.instance], s[8] = n, s[8]-n
				return n <= max(0, s[8]+n) && (n > 0) == (s[8]+n >= 1), s
			}
			s[8] += s[i.instance] - i.exposed
			s[i.instance] = 0
			return true, s
		},
	}
	for seed := range uint64(20) {
		a := NewAccount(func() float64 { return 10000 }, balance.Settings{"rollout.counted-over-ms": 4000.0,
			"rollout.allowance": 10.0, "rollout.cap-scope": "all"}, 8)
		a.begun = 0
		a.StageUpdate(2, balance.OnTrial, 0.5)
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		begun := time.Now()
		for i := range 8 {
			rnd, life := rand.New(rand.NewPCG(seed, uint64(i))), a.Join(i)
			wg.Go(func() {
				note := func(in input, f func() any) any {
					call := time.Since(begun).Nanoseconds()
					out := f()
					back := time.Since(begun).Nanoseconds()
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: i, Input: in, Output: out, Call: call, Return: back})
					mu.Unlock()
					return out
				}
				for range 6 {
					n := note(input{i, -1}, func() any { return a.Draw(i, life, Scope{2, -1}).Size }).(int)
					if n > 0 {
						used := 0
						if rnd.IntN(8) == 0 {
							used = 1
						}
						note(input{i, used}, func() any { a.Settle(i, life, Scope{2, -1}, used); return 0 })
					}
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(spec, history) {
			t.Fatalf("seed %d: no order explains what the instances saw", seed)
		}
	}
}

// Instances on goroutines of their own, with stalls, on a clock that runs, with caps that change: at no exposure is
// more in the window than the rule allows.
func TestRuleHoldsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		each, seed := rapid.Bool().Draw(t, "each"), rapid.Uint64().Draw(t, "seed")
		allowance := float64(rapid.IntRange(0, 5).Draw(t, "allowance"))
		var micros atomic.Int64
		micros.Store(5_000_000)
		now := func() float64 { return float64(micros.Load()) / 1000 }
		set := balance.Settings{"rollout.counted-over-ms": 400.0, "rollout.allowance": allowance, "rollout.cap-scope": "all"}
		if each {
			set["rollout.cap-scope"] = "each_class"
		}
		a := NewAccount(now, set, n)
		a.begun = 0
		type event struct {
			at float64
			op int
		}
		var mu sync.Mutex // the truth, in its order
		var taken, exposed []event
		caps := []float64{0.5}
		a.StageUpdate(2, balance.OnTrial, 0.5)
		var wg sync.WaitGroup
		for i := range n {
			rnd, life := rand.New(rand.NewPCG(seed, uint64(i))), a.Join(i)
			wg.Go(func() {
				var l Lease
				spent, open := 0, false
				for range 300 {
					micros.Add(int64(rnd.IntN(400)))
					op := rnd.IntN(2)
					at := now()
					mu.Lock()
					taken = append(taken, event{at, op})
					mu.Unlock()
					a.RecordAccepted(op, 1, at)
					s := a.Scope(2, 0)
					if !open || spent >= l.Size || a.Invalid(l) {
						if open {
							a.Settle(i, life, s, spent)
						}
						l, spent = a.Draw(i, life, s), 0
						open = l.Size > 0
					}
					if rnd.IntN(40) == 0 { // it stands still with a lease in hand
						micros.Add(30_000)
					}
					mu.Lock() // the exposure and the look at the clock are one: others move it on while this goroutine has no turn
					at = now()
					if open && !a.Invalid(l) && spent < l.Size {
						spent++
						exposed = append(exposed, event{at, 0})
						in := func(e event) bool { return e.at > at-400 && (!each || e.op == 0) }
						used, took := 0, 0
						for _, e := range exposed {
							if in(e) {
								used++
							}
						}
						for _, e := range taken {
							if in(e) {
								took++
							}
						}
						if float64(used) > allowance+slices.Max(caps)*float64(took) {
							t.Errorf("%d exposed of %d taken, allowance %g, cap %g", used, took, allowance, slices.Max(caps))
						}
					}
					mu.Unlock()
					if rnd.IntN(100) == 0 {
						mu.Lock()
						caps = []float64{[]float64{0, 0.1, 0.5, 1}[rnd.IntN(4)]}
						a.StageUpdate(2, balance.OnTrial, caps[0])
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
	})
}
