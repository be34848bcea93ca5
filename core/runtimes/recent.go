package runtimes

// Recent is a map that keeps its entries in two generations to bound its memory. An entry is dropped
// if it is not used by FindOrAdd while maxRecent others are.
type Recent[K comparable, V any] struct {
	maxRecent     int
	recent, older map[K]*V
}

// NewRecent returns an empty map with at most 2 x maxRecent entries.
func NewRecent[K comparable, V any](maxRecent int) Recent[K, V] {
	return Recent[K, V]{maxRecent: maxRecent, recent: map[K]*V{}}
}

// Find returns the entry of a key, or nil if there is none.
func (r *Recent[K, V]) Find(key K) *V {
	if v := r.recent[key]; v != nil {
		return v
	}
	return r.older[key]
}

// FindOrAdd returns the entry of a key and adds it if needed.
func (r *Recent[K, V]) FindOrAdd(key K) *V {
	if v := r.recent[key]; v != nil {
		return v
	}
	if len(r.recent) >= r.maxRecent {
		r.older, r.recent = r.recent, map[K]*V{}
	}
	v := r.older[key]
	if v == nil {
		v = new(V)
	}
	r.recent[key] = v
	return v
}
