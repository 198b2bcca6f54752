package state

import "hash/maphash"

// maxExecutedIDs is how many ids are remembered after their requests have ended. At a few hundred requests a second it is
// longer than any client waits, and it bounds the memory for names that clients choose.
const maxExecutedIDs = 8192

// executedIDs remembers the ids of the latest requests that may have been executed and must not be executed again. It holds
// hashes, as ids may be long: of two ids with one hash the second is failed, not executed twice.
type executedIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	order  []uint64 // the hashes, oldest first from next on; a ring buffer once it is full
	next   int      // index in order of the next hash to forget
}

// newExecutedIDs returns an empty executedIDs.
func newExecutedIDs() executedIDs {
	return executedIDs{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// contains reports whether an id is remembered.
func (e *executedIDs) contains(id string) bool {
	_, found := e.hashes[maphash.String(e.seed, id)]
	return found
}

// add remembers an id, and forgets the oldest one if there are too many.
func (e *executedIDs) add(id string) {
	hash := maphash.String(e.seed, id)
	if _, found := e.hashes[hash]; found {
		return
	}
	e.hashes[hash] = struct{}{}
	if len(e.order) < maxExecutedIDs {
		e.order = append(e.order, hash)
		return
	}
	delete(e.hashes, e.order[e.next])
	e.order[e.next] = hash
	e.next = (e.next + 1) % maxExecutedIDs
}
