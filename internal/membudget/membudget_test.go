package membudget

import (
	"errors"
	"sync"
	"testing"
)

// A message that has not arrived completely gets no memory beyond half of the budget, any other one up to all of it.
func TestBudget(t *testing.T) {
	b := New(1000)
	partial, whole := Reservation{Budget: b}, Reservation{Budget: b}
	if err := partial.GrowPartial(500); err != nil {
		t.Error(err)
	}
	if err := partial.GrowPartial(501); !errors.Is(err, ErrExhausted) {
		t.Errorf("a partial message beyond half: error %v", err)
	}
	if err := whole.Grow(500); err != nil {
		t.Error(err)
	}
	if err := whole.Grow(501); !errors.Is(err, ErrExhausted) {
		t.Errorf("a message beyond all: error %v", err)
	}
	if err := whole.Grow(400); err != nil {
		t.Errorf("less than it has: error %v", err)
	}
	partial.Release()
	partial.Release()
	if b.Used() != 500 {
		t.Errorf("%d bytes in use; want 500", b.Used())
	}
	whole.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes in use; want 0", b.Used())
	}
}

// Without a budget there is no limit.
func TestNoBudget(t *testing.T) {
	var r Reservation
	if r.Grow(1<<60) != nil || r.GrowPartial(1<<61) != nil || r.Budget.Used() != 0 {
		t.Error("a message without a budget got no memory")
	}
	r.Release()
}

// However many messages compete, they never have more than the budget, and nothing is left in use after them.
func TestConcurrentReservations(t *testing.T) {
	const limit, size = 1000, 70
	b := New(limit)
	var mu sync.Mutex
	var wg sync.WaitGroup
	held := 0
	for range 50 {
		wg.Go(func() {
			for range 500 {
				r := Reservation{Budget: b}
				if r.Grow(size) != nil {
					continue
				}
				mu.Lock()
				if held += size; held > limit {
					t.Errorf("%d bytes held; the limit is %d", held, limit)
				}
				mu.Unlock()
				mu.Lock()
				held -= size
				mu.Unlock()
				r.Release()
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes in use after all", b.Used())
	}
}
