package settings

import (
	"fmt"
	"slices"
)

// PoolSettings gives for each pool the settings of the instance that serves it: those of the whole, with the pool's own blocks
// in place and only the operations that go there. Without pools there is one, the whole.
func (x *Settings) PoolSettings() []*Settings {
	if len(x.Pool) == 0 {
		return []*Settings{x}
	}
	var all []*Settings
	for _, p := range x.Pool {
		s := x.Copy()
		s.Pool, s.Operation = nil, nil
		for _, o := range x.Operation {
			if o.Pool == p.Name {
				s.Operation = append(s.Operation, o)
			}
		}
		s.Rules, s.Rollout, s.Conveyor = orDefault(p.Rules, s.Rules), orDefault(p.Rollout, s.Rollout), orDefault(p.Conveyor, s.Conveyor)
		s.Prices = orDefault(p.Prices, s.Prices)
		if s.Roster = orDefault(p.Roster, s.Roster); p.Roster == nil && s.Roster.File != "" {
			s.Roster.File += "." + p.Name // two pools don't share a list
		}
		if s.Record = orDefault(p.Record, s.Record); p.Record == nil && s.Record.File != "" {
			s.Record.File += "." + p.Name
		}
		all = append(all, s)
	}
	return all
}

// PoolRollout is the rollout of a pool: its own, or that of the whole.
func (x *Settings) PoolRollout(pool int) *Rollout {
	if len(x.Pool) == 0 {
		return x.Rollout
	}
	return orDefault(x.Pool[pool].Rollout, x.Rollout)
}

func orDefault[T any](own, def *T) *T {
	if own != nil {
		return own
	}
	return def
}

// LocateOperation finds the pool of an operation, and which of the pool's operations it is.
func (x *Settings) LocateOperation(op int) (pool, local int) {
	if len(x.Pool) == 0 {
		return 0, op
	}
	for i, p := range x.Pool {
		if p.Name == x.Operation[op].Pool {
			pool = i
		}
	}
	for _, o := range x.Operation[:op] {
		if o.Pool == x.Operation[op].Pool {
			local++
		}
	}
	return pool, local
}

// ifWritten is a block that was written, or nil.
func ifWritten[T any](written bool, block *T) *T {
	if written {
		return block
	}
	return nil
}

// checkPools checks each pool with the blocks that it has of its own or from the whole.
func (c *checker) checkPools() {
	s := c.s
	if len(s.Pool) == 0 {
		c.checkOverridable("", s.Roster, s.Conveyor, s.Rules, s.Rollout)
		for i, o := range s.Operation {
			if o.Pool != "" {
				c.report("AC307", fmt.Sprintf("operation[%d].pool", i), "no pool is called %s; describe it: pool { name: %q roster { ... } }", o.Pool, o.Pool)
			}
		}
		return
	}
	names := []string{}
	for i, p := range s.Pool {
		at := fmt.Sprintf("pool[%d].", i)
		if p.Name == "" {
			c.report("AC301", at+"name", "missing")
		}
		if slices.Contains(names, p.Name) {
			c.report("AC306", at+"name", "another pool is called %s too", p.Name)
		}
		names = append(names, p.Name)
		for _, b := range []struct {
			name string
			own  bool
		}{{"roster", p.Roster != nil}, {"rules", p.Rules != nil}, {"rollout", p.Rollout != nil}} {
			if !b.own && !c.written[b.name] {
				c.report("AC301", at+b.name, "the block is missing, here and at the top: write %s { ... }", b.name)
			}
		}
		c.checkOverridable(at, p.Roster, p.Conveyor, p.Rules, p.Rollout)
	}
	// What pools take from the whole is checked once, where it stands.
	c.checkOverridable("", ifWritten(c.written["roster"], s.Roster), ifWritten(c.written["conveyor"], s.Conveyor), ifWritten(c.written["rules"], s.Rules),
		ifWritten(c.written["rollout"], s.Rollout))
	used, allAssigned := map[string]bool{}, true
	for i, o := range s.Operation {
		at := fmt.Sprintf("operation[%d].pool", i)
		used[o.Pool] = true
		if o.Pool == "" {
			allAssigned = false
			c.report("AC301", at, "missing; there are several pools: which one does it go to?")
			continue
		}
		if !slices.Contains(names, o.Pool) {
			allAssigned = false
			c.report("AC307", at, "no pool is called %s%s", o.Pool, suggestion(o.Pool, names))
		}
	}
	for i, n := range names {
		if allAssigned && !used[n] && n != "" {
			c.report("AC404", fmt.Sprintf("pool[%d].name", i), "no operation goes to the pool %s; remove it, or name it in an operation", n)
		}
	}
}

// checkListeners checks the further addresses and who is kept to them.
func (c *checker) checkListeners() {
	names := []string{MainListener}
	for i, l := range c.s.Listener {
		at := fmt.Sprintf("listener[%d].", i)
		if l.Name == "" {
			c.report("AC301", at+"name", "missing")
		}
		if slices.Contains(names, l.Name) {
			c.report("AC306", at+"name", "another listener is called %s too", l.Name)
		}
		names = append(names, l.Name)
		c.checkAddress(at+"address", l.Address)
	}
	for i, o := range c.s.Operation {
		for j, n := range o.Listener {
			if !slices.Contains(names, n) {
				c.report("AC307", fmt.Sprintf("operation[%d].listener[%d]", i, j), "no listener is called %s%s", n, suggestion(n, names))
			}
		}
	}
}

// MainListener is what the address of listen.invocations is called.
const MainListener = "main"
