// Package wire is the frame layer that clients, workers, sentries, the list's service and the desk share: kinds of
// frames, their messages, and links that carry them over netpoll. It decides nothing.
//
// A frame is four bytes, big-endian, with the length of what follows; one byte with its kind; the message, in
// Protobuf. The first frame from the side that opened a connection is a Hello.
package wire

import (
	"encoding/binary"
	"fmt"
)

// Version is that of the protocol.
const ProtocolVersion = 1

// Kind says which message a frame carries.
type Kind uint8

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
	// MostFrame bounds the message of any frame, in bytes: a list of some tens of thousands of workers fits.
	MaxFrameBytes = 4 << 20
)

// FrameFault is what was wrong with a frame.
type FrameError struct {
	Found, Expected string
}

func (f *FrameError) Error() string {
	return fmt.Sprintf("frame: found %s, expected %s", f.Found, f.Expected)
}

// split takes the first frame off data. Where data does not hold a whole one, ok is false; a fault means that no
// frame can begin here.
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

// begin leaves room for a header; finish fills it in.
func beginFrame(buf []byte, kind Kind) ([]byte, int) {
	start := len(buf)
	return append(buf, 0, 0, 0, 0, byte(kind)), start
}

func finishFrame(buf []byte, start int) {
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-4))
}
