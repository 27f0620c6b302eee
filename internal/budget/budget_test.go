package budget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const megabyte = 1 << 20

// newBudget returns a budget of 8 MiB, of which large accounts may use 7, with a reserve of 4.
func newBudget() *Budget {
	return New(Config{Bytes: 8 * megabyte, ReserveBytes: 4 * megabyte, Now: time.Now})
}

// openDroppable returns an account that holds some bytes and is closed when it is dropped.
func openDroppable(t *testing.T, b *Budget, held int64, writing bool) *Account {
	t.Helper()
	a := b.Open()
	require.True(t, a.Take(held))
	a.MayDrop(writing, a.Close)
	return a
}

func isOpen(a *Account) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return !a.closed
}

func TestWithoutLimitEverythingFits(t *testing.T) {
	b := New(Config{})
	a := b.Open()
	defer a.Close()
	require.True(t, a.Take(1<<60))
	require.True(t, a.Await(t.Context(), 1<<60))
	require.True(t, a.Keep())
	require.Zero(t, b.Held())
}

// Guards against large requests that leave no room for usual ones.
func TestSmallAccountsHaveRoomBesideLargeOnes(t *testing.T) {
	b := newBudget()
	large := b.Open()
	require.False(t, large.Take(8*megabyte), "a part is for small accounts")
	require.True(t, large.Take(7*megabyte))
	for range megabyte / smallBytes {
		require.True(t, b.Open().Take(smallBytes))
	}
	require.False(t, b.Open().Take(1))
	require.Equal(t, int64(8*megabyte), b.Held())
	large.Close()
	large.Close()
	require.Equal(t, int64(megabyte), b.Held())
}

// Guards against callers that hold memory without progress keeping it from others, and against an ordinary request being dropped instead of
// them.
func TestWhoIsDropped(t *testing.T) {
	trueTimes16 := slices.Repeat([]bool{true}, 16)
	tests := []struct {
		name string
		// held are the charges of the accounts in the order of their opening, 100 ms apart; writing, progress and kept are parallel.
		held     []int64
		writing  []bool
		progress []bool
		wait     time.Duration
		take     int64
		taken    bool
		kept     []bool
	}{
		{"a stalled body for a body", []int64{3 * megabyte, 3 * megabyte}, []bool{false, false}, []bool{true, false}, 2 * time.Second, 2 * megabyte, true, []bool{true, false}},
		{"the one that stalled first", []int64{3 * megabyte, 3 * megabyte}, []bool{false, false}, []bool{false, false}, 2 * time.Second, 2 * megabyte, true, []bool{false, true}},
		{"no body in progress for a newer one", []int64{3 * megabyte, 3 * megabyte}, []bool{false, false}, []bool{true, true}, 2 * time.Second, 2 * megabyte, false, []bool{true, true}},
		{"a body in progress for a usual request", append([]int64{7 * megabyte}, slices.Repeat([]int64{smallBytes}, 16)...), append([]bool{false}, trueTimes16...), append([]bool{true}, trueTimes16...), 2 * time.Second, smallBytes, true, append([]bool{false}, trueTimes16...)},
		{"an idle connection for a usual request", []int64{7 * megabyte, smallBytes}, []bool{true, false}, []bool{true, false}, 2 * time.Second, megabyte / 8, false, []bool{true, true}},
		{"no response that is read slowly", []int64{7 * megabyte}, []bool{true}, []bool{false}, 2 * time.Second, megabyte, false, []bool{true}},
		{"a response that is not read", []int64{7 * megabyte}, []bool{true}, []bool{false}, 4 * time.Second, megabyte, true, []bool{false}},
		{"none if they do not hold enough", []int64{megabyte, 6 * megabyte}, []bool{false, true}, []bool{false, true}, 4 * time.Second, 2 * megabyte, false, []bool{true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBudget()
				var accounts []*Account
				for i, held := range tt.held {
					accounts = append(accounts, openDroppable(t, b, held, tt.writing[i]))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(tt.wait)
				for i, progress := range tt.progress {
					if progress {
						accounts[i].AddProgress(1)
					}
				}
				require.Equal(t, tt.taken, b.Open().Take(tt.take))
				synctest.Wait()
				for i, kept := range tt.kept {
					require.Equal(t, kept, isOpen(accounts[i]), "account %d", i)
				}
			})
		})
	}
}

// Guards against bodies that arrive at the same time, none of which can be completed because all hold a part: the oldest must be.
func TestOldestOfManyBodiesIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		var accounts []*Account
		for range 8 {
			accounts = append(accounts, openDroppable(t, b, 800<<10, false))
			time.Sleep(time.Millisecond)
		}
		for range 6 {
			require.True(t, accounts[0].Take(megabyte))
		}
		require.True(t, accounts[0].Keep())
	})
}

// Guards against responses that wait for each other: each must get its memory although all together need several times the budget.
func TestResponsesWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				a := b.Open()
				defer a.Close()
				for range 4 {
					if !a.Await(ctx, megabyte) {
						t.Error("a response got no memory")
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		wait.Wait()
		require.Zero(t, b.Held())
		require.Positive(t, b.Counters.Waited.Load())
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Bytes: 8 * megabyte, Now: time.Now})
		require.True(t, b.Open().Take(7*megabyte))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, b.Open().Await(ctx, 2*megabyte))
		require.Empty(t, b.waiters)
		require.Equal(t, int64(7*megabyte), b.Held())
	})
}

// Guards against charges that are lost or counted twice, and against more being held than the budget and its reserve, in any order of charges,
// drops and ends.
func TestChargesAddUpInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newBudget()
			var wait sync.WaitGroup
			for range 30 {
				plan := rand.New(rand.NewPCG(seed, random.Uint64()))
				wait.Go(func() { useAccount(b, plan) })
			}
			done := make(chan struct{})
			go func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(time.Millisecond):
					}
					if held := b.Held(); held > b.cfg.Bytes+b.cfg.ReserveBytes {
						t.Errorf("seed %d: %d bytes held", seed, held)
					}
				}
			}()
			wait.Wait()
			close(done)
			require.Zero(t, b.Held(), "seed %d", seed)
			require.Empty(t, b.waiters, "seed %d", seed)
			require.Empty(t, b.accounts, "seed %d", seed)
		})
	}
}

// useAccount reads a request, waits for its response and writes it, with random sizes and pauses.
func useAccount(b *Budget, plan *rand.Rand) {
	a := b.Open()
	defer a.Close()
	dropped := make(chan struct{})
	pause := func() {
		select {
		case <-dropped:
		case <-time.After(time.Duration(plan.IntN(2000)) * time.Millisecond):
		}
	}
	a.MayDrop(false, func() { close(dropped) })
	for range 1 + plan.IntN(4) {
		if pause(); !a.Take(plan.Int64N(megabyte)) {
			return
		}
		a.AddProgress(1)
	}
	if !a.Keep() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if !a.Await(ctx, plan.Int64N(3*megabyte)) {
		return
	}
	dropped = make(chan struct{})
	a.MayDrop(true, func() { close(dropped) })
	pause()
}

func TestReadAll(t *testing.T) {
	brokenError := errors.New("broken") //nolint:forbidigo // stands for any error of a reader
	data := strings.Repeat("x", 100<<10)
	tests := []struct {
		name     string
		reader   io.Reader
		expected int64
		room     int64
		failure  error
	}{
		{"of known size", strings.NewReader(data), int64(len(data)), megabyte, nil},
		{"of unknown size", strings.NewReader(data), -1, megabyte, nil},
		{"a byte at a time", iotest.OneByteReader(strings.NewReader(data)), int64(len(data)), megabyte, nil},
		{"longer than expected", strings.NewReader(data), 10, megabyte, nil},
		{"empty", strings.NewReader(""), 0, megabyte, nil},
		{"too large", strings.NewReader(strings.Repeat(data, 3)), -1, megabyte, &TooLargeError{Limit: 200 << 10}},
		{"without room", strings.NewReader(data), int64(len(data)), 150 << 10, &ExhaustedError{Bytes: 2 * (100<<10 + 1 - firstKnownBytes)}},
		{"broken", io.MultiReader(strings.NewReader(data), iotest.ErrReader(brokenError)), -1, megabyte, brokenError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			charged := int64(0)
			body, err := ReadAll(tt.reader, ReadConfig{Expected: tt.expected, MaxBytes: 200 << 10, OnProgress: func(int64) {}, Charge: func(bytes int64) bool {
				charged += bytes
				return charged <= tt.room
			}})
			require.Equal(t, tt.failure, err)
			if err == nil {
				require.GreaterOrEqual(t, charged, Copies*int64(cap(body)))
				require.True(t, tt.name == "empty" && len(body) == 0 || bytes.Equal(body, []byte(data)))
			}
		})
	}
}

// Guards against a budget in which one body of the largest size does not fit, and against one that takes the memory of the control path.
func TestSizes(t *testing.T) {
	tests := []struct{ memory, body, size, reserve int64 }{
		{184_000_000, 16 << 20, 53_000_000, 36_000_000},
		{536_000_000, 16 << 20, 280_000_000, 36_000_000},
		{96 << 20, 6 << 20, 22_000_000, 14_500_000},
		{64 << 20, 1 << 20, 12_400_000, 3_800_000},
	}
	for _, tt := range tests {
		size, reserve := Sizes(SoftLimit(tt.memory), tt.body)
		require.InEpsilon(t, tt.size, size, 0.1, "size for %d", tt.memory)
		require.InEpsilon(t, tt.reserve, reserve, 0.1, "reserve for %d", tt.memory)
		a := New(Config{Bytes: size, ReserveBytes: reserve, Now: time.Now}).Open()
		require.True(t, a.Take(MessageBytes(tt.body+1<<10, tt.body)))
		require.LessOrEqual(t, size+reserve, SoftLimit(tt.memory)-controlBytes+megabyte)
	}
}
