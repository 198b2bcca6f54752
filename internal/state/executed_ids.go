package state

import (
	"hash/maphash"

	"havenproxy/internal/fifocache"
)

// maxExecutedIDs is how many ids are remembered after their requests have ended. At a few hundred requests a second it is
// longer than any client waits, and it bounds the memory for names that clients choose.
const maxExecutedIDs = 8192

// executedIDs remembers the ids of the latest requests that may have been executed and must not be executed again. It holds
// hashes, as ids may be long: of two ids with one hash the second is failed, not executed twice.
type executedIDs struct {
	seed   maphash.Seed
	hashes *fifocache.Cache[uint64, struct{}]
}

// newExecutedIDs returns an empty executedIDs.
func newExecutedIDs() executedIDs {
	return executedIDs{seed: maphash.MakeSeed(), hashes: fifocache.New[uint64, struct{}](maxExecutedIDs)}
}

// contains reports whether an id is remembered.
func (e *executedIDs) contains(id string) bool {
	_, found := e.hashes.Get(maphash.String(e.seed, id))
	return found
}

// add remembers an id, and forgets the oldest one if there are too many.
func (e *executedIDs) add(id string) { e.hashes.Put(maphash.String(e.seed, id), struct{}{}) }
