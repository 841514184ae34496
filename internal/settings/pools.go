package settings

import (
	"fmt"
	"slices"
)

// PoolSettings returns, for each pool, the settings of the module instance that serves it: a copy of x with the blocks
// of the pool in place of the top-level ones and only the operations of the pool. Without pools it returns x alone.
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
			s.Roster.File += "." + p.Name // pools don't share a saved list
		}
		if s.Record = orDefault(p.Record, s.Record); p.Record == nil && s.Record.File != "" {
			s.Record.File += "." + p.Name
		}
		all = append(all, s)
	}
	return all
}

// PoolRollout returns the rollout block of a pool: its own or the top-level one.
func (x *Settings) PoolRollout(pool int) *Rollout {
	if len(x.Pool) == 0 {
		return x.Rollout
	}
	return orDefault(x.Pool[pool].Rollout, x.Rollout)
}

// orDefault returns own, or def if own is nil.
func orDefault[T any](own, def *T) *T {
	if own != nil {
		return own
	}
	return def
}

// LocateOperation returns the index of the pool that serves operation op, and the operation's index within that pool.
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

// ifWritten returns the block if the file contains it, else nil.
func ifWritten[T any](written bool, block *T) *T {
	if written {
		return block
	}
	return nil
}

// checkPools checks the pools, their own blocks, the top-level blocks that pools share, and the pool of each operation.
func (c *checker) checkPools() {
	s := c.s
	if len(s.Pool) == 0 {
		c.checkOverridable("", s.Roster, s.Conveyor, s.Rules, s.Rollout)
		for i, o := range s.Operation {
			if o.Pool != "" {
				c.report("AC307", fmt.Sprintf("operation[%d].pool", i),
					"no pool is called %s; describe it: pool { name: %q roster { ... } }", o.Pool, o.Pool)
			}
		}
		return
	}
	names := []string{}
	for i, p := range s.Pool {
		prefix := fmt.Sprintf("pool[%d].", i)
		if p.Name == "" {
			c.report("AC301", prefix+"name", "missing")
		}
		if slices.Contains(names, p.Name) {
			c.report("AC306", prefix+"name", "another pool is also called %s", p.Name)
		}
		names = append(names, p.Name)
		for _, block := range []struct {
			name string
			own  bool
		}{{"roster", p.Roster != nil}, {"rules", p.Rules != nil}, {"rollout", p.Rollout != nil}} {
			if !block.own && !c.written[block.name] {
				c.report("AC301", prefix+block.name, "the block is missing, here and at the top: write %s { ... }", block.name)
			}
		}
		c.checkOverridable(prefix, p.Roster, p.Conveyor, p.Rules, p.Rollout)
	}
	// The top-level blocks that pools share are checked once.
	c.checkOverridable("", ifWritten(c.written["roster"], s.Roster), ifWritten(c.written["conveyor"], s.Conveyor),
		ifWritten(c.written["rules"], s.Rules), ifWritten(c.written["rollout"], s.Rollout))
	used, allAssigned := map[string]bool{}, true
	for i, o := range s.Operation {
		at := fmt.Sprintf("operation[%d].pool", i)
		used[o.Pool] = true
		if o.Pool == "" {
			allAssigned = false
			c.report("AC301", at, "missing; name one of the pools")
			continue
		}
		if !slices.Contains(names, o.Pool) {
			allAssigned = false
			c.report("AC307", at, "no pool is called %s%s", o.Pool, suggestion(o.Pool, names))
		}
	}
	for i, name := range names {
		if allAssigned && !used[name] && name != "" {
			c.report("AC404", fmt.Sprintf("pool[%d].name", i),
				"no operation goes to the pool %s; remove it, or name it in an operation", name)
		}
	}
}

// checkListeners checks the additional listeners and the listeners that operations name.
func (c *checker) checkListeners() {
	names := []string{MainListener}
	for i, l := range c.s.Listener {
		at := fmt.Sprintf("listener[%d].", i)
		if l.Name == "" {
			c.report("AC301", at+"name", "missing")
		}
		if slices.Contains(names, l.Name) {
			c.report("AC306", at+"name", "another listener is also called %s", l.Name)
		}
		names = append(names, l.Name)
		c.checkAddress(at+"address", l.Address)
	}
	for i, o := range c.s.Operation {
		for j, name := range o.Listener {
			if !slices.Contains(names, name) {
				c.report("AC307", fmt.Sprintf("operation[%d].listener[%d]", i, j),
					"no listener is called %s%s", name, suggestion(name, names))
			}
		}
	}
}

// MainListener is the name of the listener at listen.invocations.
const MainListener = "main"
