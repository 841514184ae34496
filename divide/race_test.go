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

// Concurrent draws and settlements are linearizable: with the clock stopped, eight instances see the account as a
// counter of the remaining exposures that is changed by one operation at a time.
func TestDrawsInAnOrder(t *testing.T) {
	type input struct{ instance, exposed int } // exposed is -1 for a draw
	spec := porcupine.Model{
		Init: func() any { return [9]int{8: 10} }, // what each instance has drawn, and what is left
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
		a.startMs = 0
		a.StageUpdate(2, balance.OnTrial, 0.5)
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		start := time.Now()
		for i := range 8 {
			rnd, incarnation := rand.New(rand.NewPCG(seed, uint64(i))), a.Join(i)
			wg.Go(func() {
				record := func(in input, f func() any) any {
					call := time.Since(start).Nanoseconds()
					out := f()
					returned := time.Since(start).Nanoseconds()
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: i, Input: in, Output: out, Call: call, Return: returned})
					mu.Unlock()
					return out
				}
				for range 6 {
					n := record(input{i, -1}, func() any { return a.Draw(i, incarnation, Scope{2, -1}).Size }).(int)
					if n > 0 {
						exposed := 0
						if rnd.IntN(8) == 0 {
							exposed = 1
						}
						record(input{i, exposed}, func() any { a.Settle(i, incarnation, Scope{2, -1}, exposed); return 0 })
					}
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(spec, history) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
}

// Instances on goroutines of their own, with stalls, an advancing clock and changing caps: at every exposure, the number
// in the window is within the rule.
func TestRuleHoldsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		perOperation, seed := rapid.Bool().Draw(t, "each"), rapid.Uint64().Draw(t, "seed")
		allowance := float64(rapid.IntRange(0, 5).Draw(t, "allowance"))
		var micros atomic.Int64
		micros.Store(5_000_000)
		now := func() float64 { return float64(micros.Load()) / 1000 }
		set := balance.Settings{"rollout.counted-over-ms": 400.0, "rollout.allowance": allowance, "rollout.cap-scope": "all"}
		if perOperation {
			set["rollout.cap-scope"] = "each_class"
		}
		a := NewAccount(now, set, n)
		a.startMs = 0
		type event struct {
			atMs float64
			op   int
		}
		var mu sync.Mutex // guards the true events, in their order, and caps
		var accepted, exposed []event
		caps := []float64{0.5}
		a.StageUpdate(2, balance.OnTrial, 0.5)
		var wg sync.WaitGroup
		for i := range n {
			rnd, incarnation := rand.New(rand.NewPCG(seed, uint64(i))), a.Join(i)
			wg.Go(func() {
				var l Lease
				used, outstanding := 0, false
				for range 300 {
					micros.Add(int64(rnd.IntN(400)))
					op := rnd.IntN(2)
					atMs := now()
					mu.Lock()
					accepted = append(accepted, event{atMs, op})
					mu.Unlock()
					a.RecordAccepted(op, 1, atMs)
					s := a.Scope(2, 0)
					if !outstanding || used >= l.Size || a.Invalid(l) {
						if outstanding {
							a.Settle(i, incarnation, s, used)
						}
						l, used = a.Draw(i, incarnation, s), 0
						outstanding = l.Size > 0
					}
					if rnd.IntN(40) == 0 { // a stall while it has a lease
						micros.Add(30_000)
					}
					mu.Lock() // reading the clock and exposing must be one step: others advance the clock meanwhile
					atMs = now()
					if outstanding && !a.Invalid(l) && used < l.Size {
						used++
						exposed = append(exposed, event{atMs, 0})
						counts := func(e event) bool { return e.atMs > atMs-400 && (!perOperation || e.op == 0) }
						nExposed, nAccepted := 0, 0
						for _, e := range exposed {
							if counts(e) {
								nExposed++
							}
						}
						for _, e := range accepted {
							if counts(e) {
								nAccepted++
							}
						}
						if float64(nExposed) > allowance+slices.Max(caps)*float64(nAccepted) {
							t.Errorf("%d exposed of %d accepted, allowance %g, cap %g", nExposed, nAccepted, allowance, slices.Max(caps))
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
