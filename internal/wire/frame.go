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
	kinds
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
func split(data []byte, most int) (kind Kind, body, rest []byte, ok bool, err error) {
	if len(data) < headerSize {
		return 0, nil, data, false, nil
	}
	size := int(binary.BigEndian.Uint32(data))
	kind = Kind(data[4])
	switch {
	case size < 1 || size-1 > most:
		return 0, nil, data, false, &FrameError{fmt.Sprintf("length %d", size), fmt.Sprintf("1 to %d", most+1)}
	case kind < KindHello || kind >= kinds:
		return 0, nil, data, false, &FrameError{fmt.Sprintf("kind %d", kind), fmt.Sprintf("1 to %d", kinds-1)}
	case len(data) < 4+size:
		return 0, nil, data, false, nil
	}
	return kind, data[headerSize : 4+size], data[4+size:], true, nil
}

// begin leaves room for a header; finish fills it in.
func begin(to []byte, kind Kind) ([]byte, int) {
	at := len(to)
	return append(to, 0, 0, 0, 0, byte(kind)), at
}

func finish(to []byte, at int) {
	binary.BigEndian.PutUint32(to[at:], uint32(len(to)-at-4))
}
