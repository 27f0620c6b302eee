package route

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// memoryRetryDelay is the shortest wait before a request that was refused for lack of memory may be repeated: after it, callers that send or read
// nothing have been dropped.
const memoryRetryDelay = time.Second

// NoMemoryError says that there was no memory for a message before the time of its call was over.
type NoMemoryError struct{}

func (e *NoMemoryError) Error() string { return "no memory for the response in the time left" }

// RefuseForMemory refuses a request for which the process has no memory.
func (p *Proxy) RefuseForMemory(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(p.cfg.Headers.GetRequestId())
	p.cfg.Logger.Info("request refused: memory for callers is used up", zap.String("id", id), zap.String("path", requestPath(r)))
	w.Header().Set("Retry-After", formatSeconds(memoryRetryDelay+rand.N(memoryRetryDelay)))
	writeFailure(w, http.StatusServiceUnavailable, &wirepb.Failure{Kind: "memory", Message: "this node has no memory for the request", NotRun: true})
}

// wholeBody is implemented by bodies that were read before the request was served.
func wholeBody(r *http.Request) ([]byte, bool) {
	body, found := r.Body.(interface{ Bytes() []byte })
	if !found {
		return nil, false
	}
	return body.Bytes(), true
}

// awaitMemory waits for the memory of the next message of a stream, of at most limit bytes; it returns *NoMemoryError or *frame.ReadError.
func awaitMemory(ctx context.Context, reader *bufio.Reader, limit int64) error {
	account := budget.FromContext(ctx)
	if account == nil {
		return nil
	}
	next, err := frame.PeekNext(reader, limit)
	if err != nil {
		return err
	}
	if !account.Await(ctx, budget.MessageBytes(next.Size, frame.LargestField(next.Start))) {
		return &NoMemoryError{}
	}
	return nil
}
