package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
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

// NextSize returns the size of the next message without reading it; it returns io.EOF if the stream ends between messages, or *ReadError.
func NextSize(r *bufio.Reader) (int64, error) {
	for n := 1; ; n++ {
		prefix, err := r.Peek(n)
		switch {
		case err != nil && n == 1 && errors.Is(err, io.EOF):
			return 0, err
		case err != nil:
			return 0, &ReadError{Message: "size", Cause: err}
		}
		if prefix[n-1] < 1<<7 || n == binary.MaxVarintLen64 {
			size, width := binary.Uvarint(prefix)
			if width <= 0 || size > math.MaxInt64 {
				return 0, &ReadError{Message: "size", Cause: &SizeError{}}
			}
			return int64(size), nil
		}
	}
}

// SizeError says that the size of a message is not valid.
type SizeError struct{}

func (e *SizeError) Error() string { return "invalid size" }

func messageName(message proto.Message) string {
	return string(message.ProtoReflect().Descriptor().Name())
}
