package wire

import (
	"math"
	"unsafe"

	"google.golang.org/protobuf/encoding/protowire"

	"scalechute/internal/match"
)

// Attributes are encoded and decoded as pb.Attributes without copies: the texts that an AttributeReader returns point into the
// frame, and are valid only as long as the frame is.

// AppendAttribute appends an attribute to an encoded pb.Attributes. An element of a list has an empty name.
func AppendAttribute(b []byte, name string, value *match.RawValue) []byte {
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(attributeSize(name, value)))
	if name != "" {
		b = protowire.AppendString(protowire.AppendTag(b, 1, protowire.BytesType), name)
	}
	switch value.Kind {
	case match.Int:
		b = protowire.AppendVarint(protowire.AppendTag(b, 3, protowire.VarintType), protowire.EncodeZigZag(value.Int))
	case match.Measure:
		if value.Unit != "" {
			b = protowire.AppendString(protowire.AppendTag(b, 8, protowire.BytesType), value.Unit)
		}
		b = protowire.AppendFixed64(protowire.AppendTag(b, 4, protowire.Fixed64Type), math.Float64bits(value.Float))
	case match.Bool:
		b = protowire.AppendVarint(protowire.AppendTag(b, 5, protowire.VarintType), uint64(value.Int))
	case match.Duration:
		b = protowire.AppendVarint(protowire.AppendTag(b, 6, protowire.VarintType), protowire.EncodeZigZag(value.Int))
	case match.List:
		b = protowire.AppendVarint(protowire.AppendTag(b, 7, protowire.BytesType), uint64(listSize(value.Items)))
		for i := range value.Items {
			b = AppendAttribute(b, "", &value.Items[i])
		}
	default:
		b = protowire.AppendString(protowire.AppendTag(b, 2, protowire.BytesType), value.Text)
	}
	return b
}

// attributeSize returns the encoded size of an attribute in bytes, without its tag and length.
func attributeSize(name string, value *match.RawValue) (size int) {
	if name != "" {
		size = 1 + protowire.SizeBytes(len(name))
	}
	switch value.Kind {
	case match.Int, match.Duration:
		return size + 1 + protowire.SizeVarint(protowire.EncodeZigZag(value.Int))
	case match.Measure:
		if value.Unit != "" {
			size += 1 + protowire.SizeBytes(len(value.Unit))
		}
		return size + 9
	case match.Bool:
		return size + 1 + protowire.SizeVarint(uint64(value.Int))
	case match.List:
		return size + 1 + protowire.SizeBytes(listSize(value.Items))
	}
	return size + 1 + protowire.SizeBytes(len(value.Text))
}

// listSize returns the encoded size of a list's elements in bytes.
func listSize(items []match.RawValue) (size int) {
	for i := range items {
		size += 1 + protowire.SizeBytes(attributeSize("", &items[i]))
	}
	return size
}

// AttributeReader decodes pb.Attributes. It reuses its memory from one call to the next.
type AttributeReader struct {
	value match.RawValue
	items []match.RawValue
}

// maxListItems is the maximum number of elements that are kept of a list. A longer one exceeds every declared list type.
const maxListItems = 1025

// Read calls handle for each attribute of b whose name is wanted. The name is expected to come first, as most senders write
// it; an attribute that is not wanted is then skipped without being decoded. An attribute with its name elsewhere is decoded
// before its name is checked.
func (r *AttributeReader) Read(b []byte, wanted func(name []byte) bool, handle func(v *match.RawValue)) error {
	return forEachAttribute(b, func(body []byte) error {
		if len(body) > 1 && body[0] == 1<<3|byte(protowire.BytesType) && body[1] < 0x80 && len(body) >= 2+int(body[1]) {
			name := body[2 : 2+int(body[1])]
			body = body[2+len(name):]
			if !wanted(name) {
				return nil
			}
			_, err := r.readTopLevel(body)
			if err == nil {
				handle(&r.value)
			}
			return err
		}
		name, err := r.readTopLevel(body)
		if err == nil && wanted(name) {
			handle(&r.value)
		}
		return err
	})
}

// readTopLevel decodes an attribute that is not an element of a list into r.value.
func (r *AttributeReader) readTopLevel(body []byte) (name []byte, err error) {
	r.items = r.items[:0]
	return r.readAttribute(body, &r.value, true)
}

// field is a decoded field of a message.
type field struct {
	number   protowire.Number
	wireType protowire.Type
	data     []byte
	varint   uint64
}

// nextField decodes the first field of b into f and returns the bytes after it. It has a fast path without protowire for
// one-byte tags with a one-byte varint or length, which most fields have.
func nextField(b []byte, f *field) (rest []byte, err error) {
	if len(b) > 1 && b[0] >= 8 && b[0] < 0x80 && b[1] < 0x80 {
		f.number, f.wireType = protowire.Number(b[0]>>3), protowire.Type(b[0]&7)
		switch n := 2 + int(b[1]); {
		case f.wireType == protowire.VarintType:
			f.varint = uint64(b[1])
			return b[2:], nil
		case f.wireType == protowire.BytesType && n <= len(b):
			f.data = b[2:n]
			return b[n:], nil
		}
	}
	var n int
	if f.number, f.wireType, n = protowire.ConsumeTag(b); n < 0 {
		return nil, protowire.ParseError(n)
	}
	b = b[n:]
	switch f.wireType {
	case protowire.VarintType:
		f.varint, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.varint, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.data, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(f.number, f.wireType, b)
	}
	if n < 0 {
		return nil, protowire.ParseError(n)
	}
	return b[n:], nil
}

// forEachAttribute calls handle for each encoded attribute of a pb.Attributes.
func forEachAttribute(b []byte, handle func([]byte) error) (err error) {
	var f field
	for len(b) > 0 {
		if b, err = nextField(b, &f); err != nil {
			return err
		}
		if f.number == 1 && f.wireType == protowire.BytesType {
			if err := handle(f.data); err != nil {
				return err
			}
		}
	}
	return nil
}

// readAttribute decodes an attribute into value. Without allowList, a list is decoded with no elements: no declared type is
// a list of lists.
func (r *AttributeReader) readAttribute(b []byte, value *match.RawValue, allowList bool) (name []byte, err error) {
	value.Kind, value.Text, value.Unit, value.Items = match.Text, "", "", nil // fields left unchanged are not used by this kind
	var f field
	for len(b) > 0 {
		if b, err = nextField(b, &f); err != nil {
			return nil, err
		}
		switch f.wireType {
		case protowire.BytesType:
			switch f.number {
			case 1:
				name = f.data
			case 2:
				value.Kind, value.Text = match.Text, unsafeString(f.data)
			case 7:
				value.Kind = match.List
				if allowList {
					if err := r.readList(f.data); err != nil {
						return nil, err
					}
					value.Items = r.items
				}
			case 8:
				value.Unit = unsafeString(f.data)
			}
		case protowire.VarintType:
			switch f.number {
			case 3:
				value.Kind, value.Int = match.Int, protowire.DecodeZigZag(f.varint)
			case 5:
				value.Kind, value.Int = match.Bool, int64(min(1, f.varint))
			case 6:
				value.Kind, value.Int = match.Duration, protowire.DecodeZigZag(f.varint)
			}
		case protowire.Fixed64Type:
			if f.number == 4 {
				value.Kind, value.Float = match.Measure, math.Float64frombits(f.varint)
			}
		}
	}
	return name, nil
}

// readList decodes the elements of a list into r.items, at most maxListItems of them.
func (r *AttributeReader) readList(b []byte) error {
	return forEachAttribute(b, func(body []byte) error {
		if len(r.items) >= maxListItems {
			return nil
		}
		r.items = append(r.items, match.RawValue{})
		_, err := r.readAttribute(body, &r.items[len(r.items)-1], false)
		return err
	})
}

// unsafeString returns a string that shares the memory of b.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }
