package requestids

// history is a set of the hashes that were added last. It consists of two generations of fixed size: when the recent one is
// full, the older one is emptied and takes its place.
type history struct {
	recent, older hashSet
}

// newHistory returns a history that takes about this many bytes.
func newHistory(bytes int) history {
	slots := max(minSlots, bytes/2/bytesPerSlot)
	return history{newHashSet(slots), newHashSet(slots)}
}

// add adds a hash. The oldest ones may be dropped.
func (h *history) add(hash uint64) {
	if h.recent.isFull() {
		h.recent, h.older = h.older, h.recent
		h.recent.clear()
	}
	h.recent.add(hash)
}

// has reports whether a hash was added and is still kept.
func (h *history) has(hash uint64) bool { return h.recent.has(hash) || h.older.has(hash) }

const (
	bytesPerSlot = 8
	minSlots     = 16
	maxLoad      = 0.75 // the share of slots that may be taken; with more, a search would take long
)

// hashSet is a set of hashes in a table of fixed size (open addressing with linear probing). No hash is 0.
type hashSet struct {
	slots []uint64 // 0: free
	count int
}

// newHashSet returns a set with this many slots.
func newHashSet(slots int) hashSet { return hashSet{slots: make([]uint64, slots)} }

// isFull reports whether no further hash may be added.
func (s *hashSet) isFull() bool { return float64(s.count) >= maxLoad*float64(len(s.slots)) }

// add adds a hash to a set that is not full.
func (s *hashSet) add(hash uint64) {
	if slot := s.find(hash); s.slots[slot] == 0 {
		s.slots[slot] = hash
		s.count++
	}
}

// has reports whether the set has a hash.
func (s *hashSet) has(hash uint64) bool { return s.slots[s.find(hash)] == hash }

// find returns the slot of a hash, or the free slot in which it belongs.
func (s *hashSet) find(hash uint64) int {
	slot := int(hash % uint64(len(s.slots)))
	for s.slots[slot] != 0 && s.slots[slot] != hash {
		slot = (slot + 1) % len(s.slots)
	}
	return slot
}

// clear empties the set.
func (s *hashSet) clear() {
	clear(s.slots)
	s.count = 0
}
