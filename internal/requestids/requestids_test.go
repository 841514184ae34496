package requestids

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
)

// claimAndSettle claims an id for a request of a given use that is over at once.
func claimAndSettle(t *testing.T, r *Registry, id string, use Use) {
	t.Helper()
	if err := r.Claim(id); err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	r.Settle(id, use)
}

// An id is refused while its request is open and after that, unless the request was not accepted.
func TestClaim(t *testing.T) {
	r := New(1 << 12)
	for id, use := range map[string]Use{"unused": Unused, "accepted": Accepted, "sent": Sent} {
		if err := r.Claim(id); err != nil {
			t.Errorf("%s, new: %v", id, err)
		}
		if err := r.Claim(id); !errors.Is(err, ErrOpen) {
			t.Errorf("%s, open: %v; want %v", id, err, ErrOpen)
		}
		r.Settle(id, use)
		var want error
		if use != Unused {
			want = ErrUsed
		}
		if err := r.Claim(id); err != want {
			t.Errorf("%s, settled: %v; want %v", id, err, want)
		}
	}
}

// At 2,000 requests a second, a quarter of which are sent, a registry of 1 MiB keeps an id for longer than 20 s, the
// longest time limit of a known deployment. Neither open ids nor those that were sent are dropped for ids that were only
// accepted, and the oldest are dropped first.
func TestOldestIDsAreDropped(t *testing.T) {
	const rate, seconds, sentEvery = 2000, 20, 4
	r := New(1 << 20)
	if err := r.Claim("open"); err != nil {
		t.Fatal(err)
	}
	claimAndSettle(t, r, "first", Sent)
	for i := range rate * seconds {
		use := Accepted
		if i%sentEvery == 0 {
			use = Sent
		}
		claimAndSettle(t, r, fmt.Sprint(i), use)
	}
	if err := r.Claim("first"); !errors.Is(err, ErrUsed) {
		t.Errorf("an id that was sent %d s ago: %v; want %v", seconds, err, ErrUsed)
	}
	for i := range 1 << 20 {
		claimAndSettle(t, r, fmt.Sprint("flood", i), Accepted)
	}
	if err := r.Claim("first"); !errors.Is(err, ErrUsed) {
		t.Errorf("an id that was sent, after a flood of others that were not: %v; want %v", err, ErrUsed)
	}
	for i := range 1 << 20 {
		claimAndSettle(t, r, fmt.Sprint("sent", i), Sent)
	}
	if err := r.Claim("first"); err != nil {
		t.Errorf("the oldest id after more than the memory holds: %v; want it dropped", err)
	}
	if err := r.Claim(fmt.Sprint("sent", 1<<20-1)); !errors.Is(err, ErrUsed) {
		t.Errorf("the newest id: %v; want %v", err, ErrUsed)
	}
	if err := r.Claim("open"); !errors.Is(err, ErrOpen) {
		t.Errorf("the id of an open request: %v; want %v", err, ErrOpen)
	}
}

// Of many that claim an id at once, one gets it.
func TestConcurrentClaims(t *testing.T) {
	r := New(1 << 16)
	var wg sync.WaitGroup
	var claimed atomic.Int64
	const ids, claims = 200, 16
	for range claims {
		wg.Go(func() {
			for i := range ids {
				if id := fmt.Sprint(i); r.Claim(id) == nil {
					claimed.Add(1)
					r.Settle(id, Sent)
				}
			}
		})
	}
	wg.Wait()
	if n := claimed.Load(); n != ids {
		t.Errorf("%d claims of %d ids succeeded", n, ids)
	}
}

// BenchmarkClaim measures the cost of an id in a registry that is full.
func BenchmarkClaim(b *testing.B) {
	r := New(1 << 20)
	ids := make([]string, 1<<18)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i*7919)
	}
	b.ReportAllocs()
	for i := range b.N {
		id := ids[i%len(ids)]
		if r.Claim(id) == nil {
			r.Settle(id, Sent)
		}
	}
}
