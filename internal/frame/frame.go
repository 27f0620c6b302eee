package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// ReadError says that a message could not be read or decoded.
type ReadError struct {
	Message string
	Cause   error
}

func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Message, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// EncodeError says that a message cannot be encoded, such as one with text that is not UTF-8; nothing was sent.
type EncodeError struct {
	Message string
	Cause   error
}

func (e *EncodeError) Error() string { return fmt.Sprintf("encode %s: %v", e.Message, e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// maxWriteBytes is the size of the pieces of a large message. A stream of a session sends one piece at a time, so that messages
// of other streams do not wait for the whole of it.
const maxWriteBytes = 16 << 10

// Write encodes a message and sends it, in a single write unless it is large; it returns *EncodeError or the writer's error.
func Write(w io.Writer, message proto.Message) error {
	encoded, err := Encode(message)
	if err != nil {
		return err
	}
	return WriteEncoded(w, encoded)
}

// Encode encodes a message as WriteEncoded sends it; it returns *EncodeError.
func Encode(message proto.Message) ([]byte, error) {
	options := proto.MarshalOptions{}
	size := options.Size(message)
	buffer := make([]byte, 0, size+binary.MaxVarintLen64)
	buffer = binary.AppendUvarint(buffer, uint64(size))
	buffer, err := options.MarshalAppend(buffer, message)
	if err != nil {
		return nil, &EncodeError{Message: messageName(message), Cause: err}
	}
	return buffer, nil
}

// WriteEncoded sends an encoded message, in a single write unless it is large; it returns the writer's error.
func WriteEncoded(w io.Writer, encoded []byte) error {
	for len(encoded) > 0 {
		piece := encoded[:min(len(encoded), maxWriteBytes)]
		if _, err := w.Write(piece); err != nil {
			return errors.Wrap(err, "write message")
		}
		encoded = encoded[len(piece):]
	}
	return nil
}

// Read receives one message of at most limit bytes; it returns io.EOF if the stream ends between messages, or *ReadError.
func Read(r *bufio.Reader, message proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, message)
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &ReadError{Message: messageName(message), Cause: err}
}

// Next is what is known of a message before it is read.
type Next struct {
	// Size is the size of the message, and PrefixBytes that of the size before it.
	Size        int64
	PrefixBytes int64
	// Start is the message, or as much of it as the reader's buffer holds. It is valid until the next read.
	Start []byte
}

// PeekNext waits for the start of the next message, of at most limit bytes, without reading it; it returns io.EOF if the stream ends between
// messages, or *ReadError.
func PeekNext(r *bufio.Reader, limit int64) (Next, error) {
	for n := 1; ; n++ {
		prefix, err := r.Peek(n)
		switch {
		case err != nil && n == 1 && errors.Is(err, io.EOF):
			return Next{}, err
		case err != nil:
			return Next{}, &ReadError{Message: "size", Cause: err}
		case prefix[n-1] >= 1<<7 && n < binary.MaxVarintLen64:
			continue
		}
		size, width := binary.Uvarint(prefix)
		if width <= 0 || size > uint64(limit) {
			return Next{}, &ReadError{Message: "size", Cause: &SizeError{}}
		}
		start, err := r.Peek(int(min(int64(width)+int64(size), int64(r.Size()))))
		if err != nil {
			return Next{}, &ReadError{Message: "start", Cause: err}
		}
		return Next{Size: int64(size), PrefixBytes: int64(width), Start: start[width:]}, nil
	}
}

// LargestField returns the size of the largest field with bytes that a message starts with, which is the body of a call or an answer with a large one.
// The rest of the message is headers and other small fields.
func LargestField(start []byte) int64 {
	largest := int64(0)
	for len(start) > 0 {
		_, kind, tagBytes := protowire.ConsumeTag(start)
		if tagBytes < 0 {
			break
		}
		start = start[tagBytes:]
		if kind == protowire.BytesType {
			size, sizeBytes := protowire.ConsumeVarint(start)
			if sizeBytes < 0 || size > math.MaxInt64 {
				break
			}
			largest = max(largest, int64(size))
			start = start[min(int64(sizeBytes)+int64(size), int64(len(start))):]
			continue
		}
		valueBytes := protowire.ConsumeFieldValue(1, kind, start)
		if valueBytes < 0 {
			break
		}
		start = start[valueBytes:]
	}
	return largest
}

// SizeError says that the size of a message is not a number or exceeds the limit.
type SizeError struct{}

func (e *SizeError) Error() string { return "the size is invalid or too large" }

func messageName(message proto.Message) string {
	return string(message.ProtoReflect().Descriptor().Name())
}
