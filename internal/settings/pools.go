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
		s.Rules, s.Rollout, s.Conveyor = own(p.Rules, s.Rules), own(p.Rollout, s.Rollout), own(p.Conveyor, s.Conveyor)
		s.Prices = own(p.Prices, s.Prices)
		if s.Roster = own(p.Roster, s.Roster); p.Roster == nil && s.Roster.File != "" {
			s.Roster.File += "." + p.Name // two pools don't share a list
		}
		if s.Record = own(p.Record, s.Record); p.Record == nil && s.Record.File != "" {
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
	return own(x.Pool[pool].Rollout, x.Rollout)
}

func own[T any](mine, whole *T) *T {
	if mine != nil {
		return mine
	}
	return whole
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

// given is a block that was written, or nil.
func given[T any](had bool, block *T) *T {
	if had {
		return block
	}
	return nil
}

// pools checks each pool with the blocks that it has of its own or from the whole.
func (c *checker) pools() {
	s := c.s
	if len(s.Pool) == 0 {
		c.ground("", s.Roster, s.Conveyor, s.Rules, s.Rollout)
		for i, o := range s.Operation {
			if o.Pool != "" {
				c.say("AC307", fmt.Sprintf("operation[%d].pool", i), "no pool is called %s; describe it: pool { name: %q roster { ... } }", o.Pool, o.Pool)
			}
		}
		return
	}
	names := []string{}
	for i, p := range s.Pool {
		at := fmt.Sprintf("pool[%d].", i)
		if p.Name == "" {
			c.say("AC301", at+"name", "missing")
		}
		if slices.Contains(names, p.Name) {
			c.say("AC306", at+"name", "another pool is called %s too", p.Name)
		}
		names = append(names, p.Name)
		for _, b := range []struct {
			name string
			own  bool
		}{{"roster", p.Roster != nil}, {"rules", p.Rules != nil}, {"rollout", p.Rollout != nil}} {
			if !b.own && !c.had[b.name] {
				c.say("AC301", at+b.name, "the block is missing, here and at the top: write %s { ... }", b.name)
			}
		}
		c.ground(at, p.Roster, p.Conveyor, p.Rules, p.Rollout)
	}
	// What pools take from the whole is checked once, where it stands.
	c.ground("", given(c.had["roster"], s.Roster), given(c.had["conveyor"], s.Conveyor), given(c.had["rules"], s.Rules),
		given(c.had["rollout"], s.Rollout))
	used, sure := map[string]bool{}, true
	for i, o := range s.Operation {
		at := fmt.Sprintf("operation[%d].pool", i)
		used[o.Pool] = true
		if o.Pool == "" {
			sure = false
			c.say("AC301", at, "missing; there are several pools: which one does it go to?")
			continue
		}
		if !slices.Contains(names, o.Pool) {
			sure = false
			c.say("AC307", at, "no pool is called %s%s", o.Pool, nearest(o.Pool, names))
		}
	}
	for i, n := range names {
		if sure && !used[n] && n != "" {
			c.say("AC404", fmt.Sprintf("pool[%d].name", i), "no operation goes to the pool %s; remove it, or name it in an operation", n)
		}
	}
}

// listeners checks the further addresses and who is kept to them.
func (c *checker) listeners() {
	names := []string{MainListener}
	for i, l := range c.s.Listener {
		at := fmt.Sprintf("listener[%d].", i)
		if l.Name == "" {
			c.say("AC301", at+"name", "missing")
		}
		if slices.Contains(names, l.Name) {
			c.say("AC306", at+"name", "another listener is called %s too", l.Name)
		}
		names = append(names, l.Name)
		c.address(at+"address", l.Address)
	}
	for i, o := range c.s.Operation {
		for j, n := range o.Listener {
			if !slices.Contains(names, n) {
				c.say("AC307", fmt.Sprintf("operation[%d].listener[%d]", i, j), "no listener is called %s%s", n, nearest(n, names))
			}
		}
	}
}

// MainListener is what the address of listen.invocations is called.
const MainListener = "main"
