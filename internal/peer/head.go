package peer

import (
	"bufio"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The fields of a call's message.
const (
	// callField and callIDField are the numbers of StreamHead.call and CallHead.call_id.
	callField   protowire.Number = 1
	callIDField protowire.Number = 1
)

// receivedHead is the first message of a stream, or one of its calls.
type receivedHead struct {
	head    *wirepb.StreamHead
	account *budget.Account
	// refusedID is the id of a call that was not read because there is no memory for it.
	refusedID string
}

// readHead reads a message. If it is a call, it is charged before it is read; other messages belong to the control path, which has memory of its own.
func (s *Server) readHead(reader *bufio.Reader) (*receivedHead, error) {
	received := &receivedHead{head: &wirepb.StreamHead{}}
	next, err := frame.PeekNext(reader, s.cfg.MaxHeadBytes)
	if err != nil {
		return nil, err
	}
	if call := startOfCall(next.Start); call != nil {
		received.account = s.cfg.Budget.Open()
		if !received.account.Take(budget.MessageBytes(next.Size, frame.LargestField(call))) {
			received.refusedID = parseCallID(call)
			if _, err := reader.Discard(int(next.PrefixBytes + next.Size)); err != nil || received.refusedID == "" {
				received.account.Close()
				return nil, &frame.ReadError{Message: "StreamHead", Cause: err}
			}
			return received, nil
		}
	}
	if err := frame.Read(reader, received.head, s.cfg.MaxHeadBytes); err != nil {
		received.account.Close()
		return nil, err
	}
	return received, nil
}

// startOfCall returns the start of the CallHead in the start of a StreamHead, or nil if it holds none.
func startOfCall(start []byte) []byte {
	field, kind, tagBytes := protowire.ConsumeTag(start)
	if field != callField || kind != protowire.BytesType {
		return nil
	}
	_, sizeBytes := protowire.ConsumeVarint(start[tagBytes:])
	if sizeBytes < 0 {
		return nil
	}
	return start[tagBytes+sizeBytes:]
}

// parseCallID returns the id of a call, or nothing if the start of its message does not hold it.
func parseCallID(call []byte) string {
	field, kind, tagBytes := protowire.ConsumeTag(call)
	if field != callIDField || kind != protowire.BytesType {
		return ""
	}
	id, idBytes := protowire.ConsumeBytes(call[tagBytes:])
	if idBytes < 0 {
		return ""
	}
	return string(id)
}
