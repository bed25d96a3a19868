package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// The four messages of a transaction's path, read and written without the copies that generated code makes. The
// bytes are those of the generated messages (a test holds both against each other). Byte slices point into the
// frame they were read from and are good only as long as it is.

// Ask is pb.Ask.
type Ask struct {
	ID      uint64
	Profile uint32
	Account uint32
	Key     []byte
	Left    uint64
	Hint    uint64
	Again   bool
	Mark    []byte
	Payload []byte

	Attributes []byte // pb.Attributes, nil if there are none
}

// Answer is pb.Answer.
type Answer struct {
	ID       uint64
	Outcome  uint32
	ComeBack uint64
	Payload  []byte
	Worker   []byte
	Profile  uint32
}

// Work is pb.Work.
type Work struct {
	ID          uint64
	Profile     uint32
	Key         []byte
	Left        uint64
	Mark        []byte
	Payload     []byte
	Transaction []byte
	Number      uint32
	Hint        uint64
}

// Done is pb.Done.
type Done struct {
	ID      uint64
	Ended   uint32
	Held    uint32
	Payload []byte
	Busy    uint32
	Served  uint32
}

// Plain is pb.Leave, pb.Cancel and pb.Probe: one number.
type Plain struct{ ID uint64 }

// Message is what a link can put into a frame.
type Message interface{ appendTo([]byte) []byte }

func number(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func bytesField(b []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

func (m *Ask) appendTo(b []byte) []byte {
	b = number(b, 1, m.ID)
	b = number(b, 2, uint64(m.Profile))
	b = number(b, 3, uint64(m.Account))
	b = bytesField(b, 4, m.Key)
	b = number(b, 5, m.Left)
	b = number(b, 6, m.Hint)
	b = number(b, 7, protowire.EncodeBool(m.Again))
	b = bytesField(b, 8, m.Mark)
	b = bytesField(b, 9, m.Payload)
	if m.Attributes != nil { // that there are none is said too
		b = protowire.AppendBytes(protowire.AppendTag(b, 10, protowire.BytesType), m.Attributes)
	}
	return b
}

func (m *Answer) appendTo(b []byte) []byte {
	b = number(b, 1, m.ID)
	b = number(b, 2, uint64(m.Outcome))
	b = number(b, 3, m.ComeBack)
	b = bytesField(b, 4, m.Payload)
	b = bytesField(b, 5, m.Worker)
	return number(b, 6, uint64(m.Profile))
}

func (m *Work) appendTo(b []byte) []byte {
	b = number(b, 1, m.ID)
	b = number(b, 2, uint64(m.Profile))
	b = bytesField(b, 3, m.Key)
	b = number(b, 4, m.Left)
	b = bytesField(b, 5, m.Mark)
	b = bytesField(b, 6, m.Payload)
	b = bytesField(b, 7, m.Transaction)
	b = number(b, 8, uint64(m.Number))
	return number(b, 9, m.Hint)
}

func (m *Done) appendTo(b []byte) []byte {
	b = number(b, 1, m.ID)
	b = number(b, 2, uint64(m.Ended))
	b = number(b, 3, uint64(m.Held))
	b = bytesField(b, 4, m.Payload)
	b = number(b, 5, uint64(m.Busy))
	return number(b, 6, uint64(m.Served))
}

func (m *Plain) appendTo(b []byte) []byte { return number(b, 1, m.ID) }

// each walks the fields of a message. What has another type than the schema gives it is passed over, as generated
// code does with unknown fields.
func each(b []byte, varint func(protowire.Number, uint64), data func(protowire.Number, []byte)) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		switch kind {
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
			data(field, v)
			b = b[n:]
		default:
			n := protowire.ConsumeFieldValue(field, kind, b)
			if n < 0 {
				return protowire.ParseError(n)
			}
			b = b[n:]
		}
	}
	return nil
}

// Read takes the message from a frame's body.
func (m *Ask) Read(b []byte) error {
	*m = Ask{}
	return each(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Profile = uint32(v)
		case 3:
			m.Account = uint32(v)
		case 5:
			m.Left = v
		case 6:
			m.Hint = v
		case 7:
			m.Again = protowire.DecodeBool(v)
		}
	}, func(f protowire.Number, v []byte) {
		switch f {
		case 4:
			m.Key = v
		case 8:
			m.Mark = v
		case 9:
			m.Payload = v
		case 10:
			m.Attributes = v
		}
	})
}

// Read takes the message from a frame's body.
func (m *Answer) Read(b []byte) error {
	*m = Answer{}
	return each(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Outcome = uint32(v)
		case 3:
			m.ComeBack = v
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

// Read takes the message from a frame's body.
func (m *Work) Read(b []byte) error {
	*m = Work{}
	return each(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Profile = uint32(v)
		case 4:
			m.Left = v
		case 8:
			m.Number = uint32(v)
		case 9:
			m.Hint = v
		}
	}, func(f protowire.Number, v []byte) {
		switch f {
		case 3:
			m.Key = v
		case 5:
			m.Mark = v
		case 6:
			m.Payload = v
		case 7:
			m.Transaction = v
		}
	})
}

// Read takes the message from a frame's body.
func (m *Done) Read(b []byte) error {
	*m = Done{}
	return each(b, func(f protowire.Number, v uint64) {
		switch f {
		case 1:
			m.ID = v
		case 2:
			m.Ended = uint32(v)
		case 3:
			m.Held = uint32(v)
		case 5:
			m.Busy = uint32(v)
		case 6:
			m.Served = uint32(v)
		}
	}, func(f protowire.Number, v []byte) {
		if f == 4 {
			m.Payload = v
		}
	})
}

// Read takes the message from a frame's body.
func (m *Plain) Read(b []byte) error {
	*m = Plain{}
	return each(b, func(f protowire.Number, v uint64) {
		if f == 1 {
			m.ID = v
		}
	}, func(protowire.Number, []byte) {})
}
