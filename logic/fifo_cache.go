package logic

// fifoCache is a map of limited size that evicts the key that was inserted first.
type fifoCache[K comparable, V any] struct {
	values         map[K]V
	insertionOrder []K // keys, oldest first; a ring buffer once it is full; its capacity is the limit
	oldest         int // index in insertionOrder of the next key to evict
}

func (c *fifoCache[K, V]) init(capacity int) {
	c.values, c.insertionOrder = map[K]V{}, make([]K, 0, capacity)
}

func (c *fifoCache[K, V]) get(k K) (V, bool) {
	v, ok := c.values[k]
	return v, ok
}

// put stores a value and returns the value that it evicted, if any.
func (c *fifoCache[K, V]) put(k K, v V) (evicted V, wasEvicted bool) {
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
