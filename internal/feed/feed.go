package feed

import "sync"

// keptKeys is the number of newest keys that a feed keeps when it drops older ones.
const keptKeys = 8192

// Feed is an ordered list of changed keys; it is safe for concurrent use.
type Feed struct {
	mu sync.Mutex
	// first is the cursor of the oldest key that is kept.
	first   uint64
	keys    []string
	changed chan struct{}
}

// New returns an empty feed.
func New() *Feed { return &Feed{changed: make(chan struct{})} }

// Add appends a changed key and wakes the readers that wait for a change.
func (f *Feed) Add(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = append(f.keys, key)
	if len(f.keys) > 2*keptKeys {
		dropped := len(f.keys) - keptKeys
		f.keys = append([]string(nil), f.keys[dropped:]...)
		f.first += uint64(dropped)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Cursor returns the position after the newest key.
func (f *Feed) Cursor() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first + uint64(len(f.keys))
}

// Changed returns a channel that is closed when the next key is added.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Since returns the distinct keys after a cursor and the next cursor; it returns false if keys after the cursor were
// dropped.
func (f *Feed) Since(cursor uint64) ([]string, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.first + uint64(len(f.keys))
	if cursor < f.first {
		return nil, next, false
	}
	seen := map[string]bool{}
	var keys []string
	for _, k := range f.keys[cursor-f.first:] {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	return keys, next, true
}
