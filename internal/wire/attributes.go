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

// Read calls a function for each attribute of a body.
func (r *AttributeReader) Read(b []byte, each func(name []byte, v *match.Carried)) error {
	return eachEntry(b, func(body []byte) error {
		r.items = r.items[:0]
		name, err := r.one(body, &r.v, true)
		if err == nil {
			each(name, &r.v)
		}
		return err
	})
}

// eachEntry walks the entries of pb.Attributes.
func eachEntry(b []byte, entry func([]byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		m := protowire.ConsumeFieldValue(field, kind, b[n:])
		if m < 0 {
			return protowire.ParseError(m)
		}
		if field == 1 && kind == protowire.BytesType {
			body, _ := protowire.ConsumeBytes(b[n:])
			if err := entry(body); err != nil {
				return err
			}
		}
		b = b[n+m:]
	}
	return nil
}

// one reads an attribute. A list within a list has no elements for it: no declared type takes one.
func (r *AttributeReader) one(b []byte, v *match.Carried, lists bool) (name []byte, err error) {
	*v = match.Carried{}
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(field, kind, b); n < 0 {
			return nil, protowire.ParseError(n)
		}
		var data []byte
		var number uint64
		switch kind {
		case protowire.BytesType:
			data, _ = protowire.ConsumeBytes(b)
		case protowire.VarintType:
			number, _ = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, _ = protowire.ConsumeFixed64(b)
		}
		b = b[n:]
		switch {
		case field == 1 && kind == protowire.BytesType:
			name = data
		case field == 2 && kind == protowire.BytesType:
			v.Kind, v.Text = match.Text, inPlace(data)
		case field == 3 && kind == protowire.VarintType:
			v.Kind, v.Num = match.Whole, protowire.DecodeZigZag(number)
		case field == 4 && kind == protowire.Fixed64Type:
			v.Kind, v.Fig = match.Measure, math.Float64frombits(number)
		case field == 5 && kind == protowire.VarintType:
			v.Kind, v.Num = match.Flag, int64(min(1, number))
		case field == 6 && kind == protowire.VarintType:
			v.Kind, v.Num = match.Span, protowire.DecodeZigZag(number)
		case field == 7 && kind == protowire.BytesType:
			v.Kind = match.List
			if !lists {
				continue
			}
			if err := eachEntry(data, func(body []byte) error {
				if len(r.items) >= mostItems {
					return nil
				}
				r.items = append(r.items, match.Carried{})
				_, err := r.one(body, &r.items[len(r.items)-1], false)
				return err
			}); err != nil {
				return nil, err
			}
			v.Items = r.items
		case field == 8 && kind == protowire.BytesType:
			v.Unit = inPlace(data)
		}
	}
	return name, nil
}

func inPlace(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }
