package peer

import (
	"bufio"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// maxCallIDBytes is the part of a call's message in which its id is looked for.
	maxCallIDBytes = 1 << 10
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
	size, err := frame.NextSize(reader)
	if err != nil {
		return nil, err
	}
	if size > s.cfg.MaxHeadBytes {
		return nil, &frame.ReadError{Message: "StreamHead", Cause: &frame.SizeError{}}
	}
	width := int64(protowire.SizeVarint(uint64(size)))
	prefix, err := reader.Peek(int(min(width+size, maxCallIDBytes)))
	if err != nil {
		return nil, &frame.ReadError{Message: "StreamHead", Cause: err}
	}
	if id, isCall := parseCallID(prefix[width:]); isCall {
		received.account = s.cfg.Budget.Open()
		if !received.account.Take(budget.MessageBytes(size)) {
			received.refusedID = id
			if _, err := reader.Discard(int(width + size)); err != nil || id == "" {
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

// parseCallID returns the id of a call from the first bytes of its message, and whether the message is a call.
func parseCallID(message []byte) (id string, isCall bool) {
	field, kind, tagBytes := protowire.ConsumeTag(message)
	if field != callField || kind != protowire.BytesType {
		return "", false
	}
	_, sizeBytes := protowire.ConsumeVarint(message[tagBytes:])
	if sizeBytes < 0 {
		return "", true
	}
	head := message[tagBytes+sizeBytes:]
	field, kind, tagBytes = protowire.ConsumeTag(head)
	if field != callIDField || kind != protowire.BytesType {
		return "", true
	}
	value, valueBytes := protowire.ConsumeBytes(head[tagBytes:])
	if valueBytes < 0 {
		return "", true
	}
	return string(value), true
}
