// Package wire implements the framed protocol between clients, sentries, workers, discovery and the control plane.
//
// It defines the kinds of frames, encodes and decodes their messages, and carries them over TCP connections: a Link is one
// connection, opened by Dial or accepted by a Server. DialRaw and ServeRaw give links that carry plain bytes, for other
// protocols. Connections are read by netpoll's single poller, and written by the package itself.
//
// A frame consists of the length of what follows (four bytes, big-endian), its kind (one byte) and the message in Protobuf.
// The first frame from the side that opened a connection is a Hello.
package wire

import (
	"encoding/binary"
	"fmt"
)

// ProtocolVersion is the version of the protocol.
const ProtocolVersion = 1

// Kind is the type of the message that a frame carries.
type Kind uint8

// The kinds of frames. Each is named after its message in package pb.
const (
	KindHello Kind = 1 + iota
	KindAsk
	KindAnswer
	KindLeave
	KindComplain
	KindWork
	KindDone
	KindCancel
	KindProbe
	KindProbed
	KindListAsk
	KindReport
	KindVote
	KindNews
	KindSay
	KindWelcome
	KindCounts
	kindCount
)

const (
	headerSize = 5
	// MaxFrameBytes is the maximum size of a frame's message. A list of some tens of thousands of workers fits.
	MaxFrameBytes = 4 << 20
)

// FrameError reports a frame whose header is invalid.
type FrameError struct {
	Found, Expected string
}

func (f *FrameError) Error() string {
	return fmt.Sprintf("frame: found %s, expected %s", f.Found, f.Expected)
}

// nextFrame returns the first frame of data and the bytes after it. ok is false if data does not hold a whole frame. An error
// means that the header is invalid.
func nextFrame(data []byte, maxBytes int) (kind Kind, body, rest []byte, ok bool, err error) {
	if len(data) < headerSize {
		return 0, nil, data, false, nil
	}
	size := int(binary.BigEndian.Uint32(data))
	kind = Kind(data[4])
	switch {
	case size < 1 || size-1 > maxBytes:
		return 0, nil, data, false, &FrameError{fmt.Sprintf("length %d", size), fmt.Sprintf("1 to %d", maxBytes+1)}
	case kind < KindHello || kind >= kindCount:
		return 0, nil, data, false, &FrameError{fmt.Sprintf("kind %d", kind), fmt.Sprintf("1 to %d", kindCount-1)}
	case len(data) < 4+size:
		return 0, nil, data, false, nil
	}
	return kind, data[headerSize : 4+size], data[4+size:], true, nil
}

// beginFrame appends a header without its length and returns the frame's start; finishFrame fills in the length.
func beginFrame(buf []byte, kind Kind) ([]byte, int) {
	start := len(buf)
	return append(buf, 0, 0, 0, 0, byte(kind)), start
}

// finishFrame fills in the length of the frame that begins at start and ends at the end of buf.
func finishFrame(buf []byte, start int) {
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-4))
}
