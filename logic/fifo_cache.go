package logic

// fifoCache is a map of limited size that evicts the key that was inserted first.
type fifoCache[K comparable, V any] struct {
	values         map[K]V
	insertionOrder []K // ring buffer once it is full; its capacity is the limit
	oldest         int // index in insertionOrder of the next key to evict
}

func (t *fifoCache[K, V]) init(capacity int) {
	t.values, t.insertionOrder = map[K]V{}, make([]K, 0, capacity)
}

func (t *fifoCache[K, V]) get(k K) (V, bool) {
	v, ok := t.values[k]
	return v, ok
}

// put stores a value and returns the value that it evicted, if any.
func (t *fifoCache[K, V]) put(k K, v V) (evicted V, wasEvicted bool) {
	if _, ok := t.values[k]; ok {
		t.values[k] = v
		return evicted, false
	}
	if len(t.insertionOrder) < cap(t.insertionOrder) {
		t.insertionOrder = append(t.insertionOrder, k)
	} else {
		evicted, wasEvicted = t.values[t.insertionOrder[t.oldest]], true
		delete(t.values, t.insertionOrder[t.oldest])
		t.insertionOrder[t.oldest] = k
		t.oldest = (t.oldest + 1) % len(t.insertionOrder)
	}
	t.values[k] = v
	return evicted, wasEvicted
}
