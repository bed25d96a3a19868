package wire

import (
	"math"
	"unsafe"

	"google.golang.org/protobuf/encoding/protowire"

	"scalechute/internal/match"
)

// Attributes as pb.Attributes has them, read and written without copies: the texts that a reader gives lie in the frame
// and are good only as long as it is.

// AppendAttribute adds one to a body of attributes.
func AppendAttribute(b []byte, name string, v *match.Carried) []byte {
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(sizeAttribute(name, v)))
	if name != "" {
		b = protowire.AppendString(protowire.AppendTag(b, 1, protowire.BytesType), name)
	}
	switch v.Kind {
	case match.Whole:
		b = protowire.AppendVarint(protowire.AppendTag(b, 3, protowire.VarintType), protowire.EncodeZigZag(v.Num))
	case match.Measure:
		if v.Unit != "" {
			b = protowire.AppendString(protowire.AppendTag(b, 8, protowire.BytesType), v.Unit)
		}
		b = protowire.AppendFixed64(protowire.AppendTag(b, 4, protowire.Fixed64Type), math.Float64bits(v.Fig))
	case match.Flag:
		b = protowire.AppendVarint(protowire.AppendTag(b, 5, protowire.VarintType), uint64(v.Num))
	case match.Span:
		b = protowire.AppendVarint(protowire.AppendTag(b, 6, protowire.VarintType), protowire.EncodeZigZag(v.Num))
	case match.List:
		b = protowire.AppendVarint(protowire.AppendTag(b, 7, protowire.BytesType), uint64(sizeItems(v.Items)))
		for i := range v.Items {
			b = AppendAttribute(b, "", &v.Items[i])
		}
	default:
		b = protowire.AppendString(protowire.AppendTag(b, 2, protowire.BytesType), v.Text)
	}
	return b
}

// sizeAttribute is the bytes of one, without its own tag and length.
func sizeAttribute(name string, v *match.Carried) (n int) {
	if name != "" {
		n = 1 + protowire.SizeBytes(len(name))
	}
	switch v.Kind {
	case match.Whole, match.Span:
		return n + 1 + protowire.SizeVarint(protowire.EncodeZigZag(v.Num))
	case match.Measure:
		if v.Unit != "" {
			n += 1 + protowire.SizeBytes(len(v.Unit))
		}
		return n + 9
	case match.Flag:
		return n + 1 + protowire.SizeVarint(uint64(v.Num))
	case match.List:
		return n + 1 + protowire.SizeBytes(sizeItems(v.Items))
	}
	return n + 1 + protowire.SizeBytes(len(v.Text))
}

func sizeItems(all []match.Carried) (n int) {
	for i := range all {
		n += 1 + protowire.SizeBytes(sizeAttribute("", &all[i]))
	}
	return n
}

// AttributeReader reads attributes and keeps what it needs for that from one body to the next.
type AttributeReader struct {
	v     match.Carried
	items []match.Carried
}

// mostItems bounds what is kept of a list: with more it is too long for any declared one.
const mostItems = 1025

// Read calls a function for each attribute of a body. Those whose name is not wanted, when it comes first as it does from
// most senders, are passed over unread.
func (r *AttributeReader) Read(b []byte, wanted func(name []byte) bool, each func(v *match.Carried)) error {
	return eachEntry(b, func(body []byte) error {
		if len(body) > 1 && body[0] == 1<<3|byte(protowire.BytesType) && body[1] < 0x80 && len(body) >= 2+int(body[1]) {
			name := body[2 : 2+int(body[1])]
			body = body[2+len(name):]
			if !wanted(name) {
				return nil
			}
			_, err := r.read(body)
			if err == nil {
				each(&r.v)
			}
			return err
		}
		name, err := r.read(body)
		if err == nil && wanted(name) {
			each(&r.v)
		}
		return err
	})
}

func (r *AttributeReader) read(body []byte) (name []byte, err error) {
	r.items = r.items[:0]
	return r.one(body, &r.v, true)
}

// field is one field of a message. Short ones, which most are, are read without protowire's steps.
type field struct {
	is     protowire.Number
	kind   protowire.Type
	data   []byte
	number uint64
}

func next(b []byte, f *field) (rest []byte, err error) {
	if len(b) > 1 && b[0] >= 8 && b[0] < 0x80 && b[1] < 0x80 {
		f.is, f.kind = protowire.Number(b[0]>>3), protowire.Type(b[0]&7)
		switch n := 2 + int(b[1]); {
		case f.kind == protowire.VarintType:
			f.number = uint64(b[1])
			return b[2:], nil
		case f.kind == protowire.BytesType && n <= len(b):
			f.data = b[2:n]
			return b[n:], nil
		}
	}
	var n int
	if f.is, f.kind, n = protowire.ConsumeTag(b); n < 0 {
		return nil, protowire.ParseError(n)
	}
	b = b[n:]
	switch f.kind {
	case protowire.VarintType:
		f.number, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.number, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.data, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(f.is, f.kind, b)
	}
	if n < 0 {
		return nil, protowire.ParseError(n)
	}
	return b[n:], nil
}

// eachEntry walks the entries of pb.Attributes.
func eachEntry(b []byte, entry func([]byte) error) (err error) {
	var f field
	for len(b) > 0 {
		if b, err = next(b, &f); err != nil {
			return err
		}
		if f.is == 1 && f.kind == protowire.BytesType {
			if err := entry(f.data); err != nil {
				return err
			}
		}
	}
	return nil
}

// one reads an attribute. A list within a list has no elements for it: no declared type takes one.
func (r *AttributeReader) one(b []byte, v *match.Carried, lists bool) (name []byte, err error) {
	v.Kind, v.Text, v.Unit, v.Items = match.Text, "", "", nil // what else is left in it belongs to other kinds
	var f field
	for len(b) > 0 {
		if b, err = next(b, &f); err != nil {
			return nil, err
		}
		switch f.kind {
		case protowire.BytesType:
			switch f.is {
			case 1:
				name = f.data
			case 2:
				v.Kind, v.Text = match.Text, inPlace(f.data)
			case 7:
				v.Kind = match.List
				if lists {
					if err := r.list(f.data); err != nil {
						return nil, err
					}
					v.Items = r.items
				}
			case 8:
				v.Unit = inPlace(f.data)
			}
		case protowire.VarintType:
			switch f.is {
			case 3:
				v.Kind, v.Num = match.Whole, protowire.DecodeZigZag(f.number)
			case 5:
				v.Kind, v.Num = match.Flag, int64(min(1, f.number))
			case 6:
				v.Kind, v.Num = match.Span, protowire.DecodeZigZag(f.number)
			}
		case protowire.Fixed64Type:
			if f.is == 4 {
				v.Kind, v.Fig = match.Measure, math.Float64frombits(f.number)
			}
		}
	}
	return name, nil
}

func (r *AttributeReader) list(b []byte) error {
	return eachEntry(b, func(body []byte) error {
		if len(r.items) >= mostItems {
			return nil
		}
		r.items = append(r.items, match.Carried{})
		_, err := r.one(body, &r.items[len(r.items)-1], false)
		return err
	})
}

func inPlace(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }
