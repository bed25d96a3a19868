package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// The messages on a transaction's path have hand-written codecs, which avoid the copies that generated code makes. Their
// encoding equals that of the generated messages, which a test checks. Byte slices of a message that was read point into the
// frame, and are valid only as long as the frame is. All durations are in microseconds.

// Ask is a client's request to run a transaction (pb.Ask).
type Ask struct {
	ID                 uint64 // chosen by the client; not reused on a connection while it is open
	Profile            uint32
	Account            uint32 // index plus one, 0 if none
	Key                []byte
	Timeout            uint64 // after which the client gives up this attempt
	ExpectedWork       uint64 // 0 if unknown
	Retry              bool
	DeduplicationToken []byte // by which workers recognise retries of a deduplicated transaction
	Payload            []byte

	Attributes []byte // an encoded pb.Attributes, nil if the field is absent
}

// Answer is the sentry's answer to an Ask (pb.Answer).
type Answer struct {
	ID         uint64
	Outcome    uint32 // a pb.Outcome
	RetryAfter uint64 // for a deferred transaction: delay before a retry, 0 if not given
	Payload    []byte
	Worker     []byte // for a satisfied transaction: the worker that ran it, for a complaint
	Profile    uint32 // of the transaction, for a complaint
}

// Work is a hand-off to a worker (pb.Work).
type Work struct {
	ID                 uint64 // of the hand-off on its connection
	Profile            uint32
	Key                []byte
	Timeout            uint64 // after which the sentry gives up the hand-off
	DeduplicationToken []byte
	Payload            []byte
	Transaction        []byte // the sentry's name for it
	HandOffNumber      uint32 // within its transaction, from 0
	ExpectedWork       uint64 // 0 if unknown
}

// Done is a worker's report of how a hand-off ended (pb.Done). InFlight, CPUUse (thousandths of the cores) and ServedRate
// (transactions in 1000 s) are the reported value plus one, 0 if the worker does not report it.
type Done struct {
	ID         uint64
	Ending     uint32 // a pb.Ended
	InFlight   uint32
	Payload    []byte
	CPUUse     uint32
	ServedRate uint32
}

// IDMessage is a message that consists of an ID: pb.Leave, pb.Cancel and pb.Probe.
type IDMessage struct{ ID uint64 }

// Message is a message that Link.Put can encode.
type Message interface{ appendTo([]byte) []byte }

// appendNumber appends a varint field, unless the value is 0.
func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// appendBytes appends a bytes field, unless the value is empty.
func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

func (m *Ask) appendTo(b []byte) []byte {
	b = appendNumber(b, 1, m.ID)
	b = appendNumber(b, 2, uint64(m.Profile))
	b = appendNumber(b, 3, uint64(m.Account))
	b = appendBytes(b, 4, m.Key)
	b = appendNumber(b, 5, m.Timeout)
	b = appendNumber(b, 6, m.ExpectedWork)
	b = appendNumber(b, 7, protowire.EncodeBool(m.Retry))
	b = appendBytes(b, 8, m.DeduplicationToken)
	b = appendBytes(b, 9, m.Payload)
	if m.Attributes != nil { // an empty list is encoded too: it means that routes decide profile, account and key
		b = protowire.AppendBytes(protowire.AppendTag(b, 10, protowire.BytesType), m.Attributes)
	}
	return b
}

func (m *Answer) appendTo(b []byte) []byte {
	b = appendNumber(b, 1, m.ID)
	b = appendNumber(b, 2, uint64(m.Outcome))
	b = appendNumber(b, 3, m.RetryAfter)
	b = appendBytes(b, 4, m.Payload)
	b = appendBytes(b, 5, m.Worker)
	return appendNumber(b, 6, uint64(m.Profile))
}

func (m *Work) appendTo(b []byte) []byte {
	b = appendNumber(b, 1, m.ID)
	b = appendNumber(b, 2, uint64(m.Profile))
	b = appendBytes(b, 3, m.Key)
	b = appendNumber(b, 4, m.Timeout)
	b = appendBytes(b, 5, m.DeduplicationToken)
	b = appendBytes(b, 6, m.Payload)
	b = appendBytes(b, 7, m.Transaction)
	b = appendNumber(b, 8, uint64(m.HandOffNumber))
	return appendNumber(b, 9, m.ExpectedWork)
}

func (m *Done) appendTo(b []byte) []byte {
	b = appendNumber(b, 1, m.ID)
	b = appendNumber(b, 2, uint64(m.Ending))
	b = appendNumber(b, 3, uint64(m.InFlight))
	b = appendBytes(b, 4, m.Payload)
	b = appendNumber(b, 5, uint64(m.CPUUse))
	return appendNumber(b, 6, uint64(m.ServedRate))
}

func (m *IDMessage) appendTo(b []byte) []byte { return appendNumber(b, 1, m.ID) }

// forEachField calls varint or bytes for each field of a message. Fields of other wire types are skipped, as generated code
// skips unknown fields.
func forEachField(b []byte, varint func(protowire.Number, uint64), bytes func(protowire.Number, []byte)) error {
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		switch wireType {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return protowire.ParseError(n)
			}
			varint(field, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return protowire.ParseError(n)
			}
			bytes(field, v)
			b = b[n:]
		default:
			n := protowire.ConsumeFieldValue(field, wireType, b)
			if n < 0 {
				return protowire.ParseError(n)
			}
			b = b[n:]
		}
	}
	return nil
}

// Read decodes the message from a frame's body.
func (m *Ask) Read(b []byte) error {
	*m = Ask{}
	return forEachField(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Profile = uint32(v)
		case 3:
			m.Account = uint32(v)
		case 5:
			m.Timeout = v
		case 6:
			m.ExpectedWork = v
		case 7:
			m.Retry = protowire.DecodeBool(v)
		}
	}, func(f protowire.Number, v []byte) {
		switch f {
		case 4:
			m.Key = v
		case 8:
			m.DeduplicationToken = v
		case 9:
			m.Payload = v
		case 10:
			m.Attributes = v
		}
	})
}

// Read decodes the message from a frame's body.
func (m *Answer) Read(b []byte) error {
	*m = Answer{}
	return forEachField(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Outcome = uint32(v)
		case 3:
			m.RetryAfter = v
		case 6:
			m.Profile = uint32(v)
		}
	}, func(f protowire.Number, v []byte) {
		switch f {
		case 4:
			m.Payload = v
		case 5:
			m.Worker = v
		}
	})
}

// Read decodes the message from a frame's body.
func (m *Work) Read(b []byte) error {
	*m = Work{}
	return forEachField(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Profile = uint32(v)
		case 4:
			m.Timeout = v
		case 8:
			m.HandOffNumber = uint32(v)
		case 9:
			m.ExpectedWork = v
		}
	}, func(f protowire.Number, v []byte) {
		switch f {
		case 3:
			m.Key = v
		case 5:
			m.DeduplicationToken = v
		case 6:
			m.Payload = v
		case 7:
			m.Transaction = v
		}
	})
}

// Read decodes the message from a frame's body.
func (m *Done) Read(b []byte) error {
	*m = Done{}
	return forEachField(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Ending = uint32(v)
		case 3:
			m.InFlight = uint32(v)
		case 5:
			m.CPUUse = uint32(v)
		case 6:
			m.ServedRate = uint32(v)
		}
	}, func(f protowire.Number, v []byte) {
		if f == 4 {
			m.Payload = v
		}
	})
}

// Read decodes the message from a frame's body.
func (m *IDMessage) Read(b []byte) error {
	*m = IDMessage{}
	return forEachField(b, func(f protowire.Number, v uint64) {
		if f == 1 {
			m.ID = v
		}
	}, func(protowire.Number, []byte) {})
}
