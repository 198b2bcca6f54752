// Package fifocache holds a map of limited size, for tables whose keys come from outside.
package fifocache

// Cache is a map of limited size that evicts the key that was inserted first. It is not safe for concurrent use.
type Cache[K comparable, V any] struct {
	values         map[K]V
	insertionOrder []K // keys, oldest first; a ring buffer once it is full; its capacity is the limit
	oldest         int // index in insertionOrder of the next key to evict
}

// New returns an empty cache of at most capacity keys.
func New[K comparable, V any](capacity int) *Cache[K, V] {
	return &Cache[K, V]{values: map[K]V{}, insertionOrder: make([]K, 0, capacity)}
}

// Len returns the number of keys.
func (c *Cache[K, V]) Len() int { return len(c.values) }

// Get returns the value of a key, and whether there is one.
func (c *Cache[K, V]) Get(k K) (V, bool) {
	v, ok := c.values[k]
	return v, ok
}

// Put stores a value and returns the value that it evicted, if any.
func (c *Cache[K, V]) Put(k K, v V) (evicted V, wasEvicted bool) {
	if _, ok := c.values[k]; ok {
		c.values[k] = v
		return evicted, false
	}
	if len(c.insertionOrder) < cap(c.insertionOrder) {
		c.insertionOrder = append(c.insertionOrder, k)
	} else {
		evicted, wasEvicted = c.values[c.insertionOrder[c.oldest]], true
		delete(c.values, c.insertionOrder[c.oldest])
		c.insertionOrder[c.oldest] = k
		c.oldest = (c.oldest + 1) % len(c.insertionOrder)
	}
	c.values[k] = v
	return evicted, wasEvicted
}
