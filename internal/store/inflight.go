package store

import (
	"context"
	"sync"
)

// inFlight holds the operations that wait for a response. Those that were sent before or during a silence of the platform are never
// answered, on connections that look sound, so they are abandoned as soon as a later operation is answered.
type inFlight struct {
	mu sync.Mutex
	// begun is the number of operations begun so far, each of which has that number as its own.
	begun   uint64
	abandon map[uint64]context.CancelCauseFunc
	// silent means that an operation has ended without a response and that none has been answered since.
	silent bool
}

// begin records an operation and returns its number.
func (f *inFlight) begin(abandon context.CancelCauseFunc) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandon == nil {
		f.abandon = map[uint64]context.CancelCauseFunc{}
	}
	f.begun++
	f.abandon[f.begun] = abandon
	return f.begun
}

// end removes an operation and releases its context.
func (f *inFlight) end(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandon[number](nil)
	delete(f.abandon, number)
}

// recordLoss records that an operation ended without a response.
func (f *inFlight) recordLoss() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// recordAnswer records that an operation was answered. After a silence, those that were begun before it are abandoned.
func (f *inFlight) recordAnswer(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.silent {
		return
	}
	f.silent = false
	for earlier, abandon := range f.abandon {
		if earlier < number {
			abandon(&AbandonedError{})
		}
	}
}
