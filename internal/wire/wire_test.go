package wire

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"scalechute/internal/match"
	"scalechute/internal/wire/pb"
)

// The hand-written codecs and the generated ones encode and decode the same messages.
func TestMessagesMatchSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 40)
		n64, n32 := rapid.Uint64(), rapid.Uint32()
		ask := Ask{n64.Draw(t, "id"), n32.Draw(t, "p"), n32.Draw(t, "a"), data.Draw(t, "k"), n64.Draw(t, "l"), n64.Draw(t, "h"),
			rapid.Bool().Draw(t, "again"), data.Draw(t, "m"), data.Draw(t, "pl"), nil}
		var attributes *pb.Attributes
		if rapid.Bool().Draw(t, "attributes") {
			ask.Attributes, attributes = []byte{}, &pb.Attributes{}
			for range rapid.IntRange(0, 4).Draw(t, "n") {
				name, v := rapid.StringMatching("[a-z]{0,9}").Draw(t, "name"), drawValue(t, true)
				ask.Attributes = AppendAttribute(ask.Attributes, name, &v)
				attributes.All = append(attributes.All, toProto(name, &v))
			}
			checkDecoded(t, ask.Attributes, attributes)
		}
		checkCodec(t, &ask, &pb.Ask{Attributes: attributes, Id: ask.ID, Profile: ask.Profile, Account: ask.Account, Key: ask.Key, Left: ask.Timeout,
			Hint: ask.ExpectedWork, Again: ask.Retry, Mark: ask.DeduplicationToken, Payload: ask.Payload}, &Ask{}, (*Ask).Read)
		answer := Answer{n64.Draw(t, "id"), uint32(rapid.IntRange(0, 4).Draw(t, "o")), n64.Draw(t, "c"), data.Draw(t, "p"), data.Draw(t, "w"), n32.Draw(t, "profile")}
		checkCodec(t, &answer, &pb.Answer{Id: answer.ID, Outcome: pb.Outcome(answer.Outcome), ComeBack: answer.RetryAfter,
			Payload: answer.Payload, Worker: answer.Worker, Profile: answer.Profile}, &Answer{}, (*Answer).Read)
		work := Work{n64.Draw(t, "id"), n32.Draw(t, "p"), data.Draw(t, "k"), n64.Draw(t, "l"), data.Draw(t, "m"), data.Draw(t, "pl"),
			data.Draw(t, "t"), n32.Draw(t, "n"), n64.Draw(t, "h")}
		checkCodec(t, &work, &pb.Work{Id: work.ID, Profile: work.Profile, Key: work.Key, Left: work.Timeout, Mark: work.DeduplicationToken,
			Payload: work.Payload, Transaction: work.Transaction, Number: work.HandOffNumber, Hint: work.ExpectedWork}, &Work{}, (*Work).Read)
		done := Done{n64.Draw(t, "id"), uint32(rapid.IntRange(0, 2).Draw(t, "e")), n32.Draw(t, "h"), data.Draw(t, "p"), n32.Draw(t, "b"), n32.Draw(t, "s")}
		checkCodec(t, &done, &pb.Done{Id: done.ID, Ended: pb.Ended(done.Ending), Held: done.InFlight, Payload: done.Payload, Busy: done.CPUUse, Served: done.ServedRate}, &Done{}, (*Done).Read)
	})
}

func drawValue(t *rapid.T, lists bool) (v match.RawValue) {
	kinds := []match.Kind{match.Text, match.Int, match.Measure, match.Bool, match.Duration}
	if lists {
		kinds = append(kinds, match.List)
	}
	v.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
	switch v.Kind {
	case match.Text:
		v.Text = rapid.String().Draw(t, "text")
	case match.Int, match.Duration:
		v.Int = rapid.Int64().Draw(t, "number")
	case match.Bool:
		v.Int = int64(rapid.IntRange(0, 1).Draw(t, "flag"))
	case match.Measure:
		v.Float, v.Unit = rapid.Float64().Draw(t, "figure"), rapid.SampledFrom([]string{"", "kg"}).Draw(t, "unit")
	case match.List:
		for range rapid.IntRange(0, 3).Draw(t, "items") {
			v.Items = append(v.Items, drawValue(t, false))
		}
	}
	return v
}

func toProto(name string, v *match.RawValue) *pb.Attribute {
	a := &pb.Attribute{Name: name, Unit: v.Unit}
	switch v.Kind {
	case match.Text:
		a.Value = &pb.Attribute_Text{Text: []byte(v.Text)}
	case match.Int:
		a.Value = &pb.Attribute_Whole{Whole: v.Int}
	case match.Duration:
		a.Value = &pb.Attribute_Span{Span: v.Int}
	case match.Bool:
		a.Value = &pb.Attribute_Flag{Flag: v.Int == 1}
	case match.Measure:
		a.Value = &pb.Attribute_Figure{Figure: v.Float}
	case match.List:
		list := &pb.Attributes{}
		for i := range v.Items {
			list.All = append(list.All, toProto("", &v.Items[i]))
		}
		a.Value = &pb.Attribute_List{List: list}
	}
	return a
}

// checkDecoded compares what an AttributeReader decodes with what was encoded.
func checkDecoded(t *rapid.T, body []byte, written *pb.Attributes) {
	var r AttributeReader
	n, name := 0, ""
	err := r.Read(body, func(b []byte) bool { name = string(b); return true }, func(v *match.RawValue) {
		if want := written.All[n]; !proto.Equal(toProto(name, v), want) {
			t.Fatalf("read %s %+v, wrote %v", name, v, want)
		}
		n++
	})
	if err != nil || n != len(written.All) {
		t.Fatalf("%d of %d read, %v", n, len(written.All), err)
	}
}

// Whatever the input, the reader terminates, returns at most maxListItems elements, and rejects nothing that the generated code
// accepts.
func FuzzAttributes(f *testing.F) {
	f.Add(AppendAttribute(nil, "a", &match.RawValue{Kind: match.List, Items: []match.RawValue{{Kind: match.Measure, Float: 1, Unit: "kg"}}}))
	f.Add([]byte{10, 4, 58, 2, 10, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r AttributeReader
		err := r.Read(data, func([]byte) bool { return true }, func(v *match.RawValue) {
			if len(v.Items) > maxListItems {
				t.Errorf("%d elements", len(v.Items))
			}
		})
		if good := proto.Unmarshal(data, &pb.Attributes{}) == nil; good && err != nil {
			t.Errorf("the generated code decodes %x, the reader returns %v", data, err)
		}
	})
}

func checkCodec[M any, P interface {
	*M
	Message
}](t *rapid.T, m P, generated proto.Message, into P, read func(P, []byte) error) {
	wire, err := proto.MarshalOptions{Deterministic: true}.Marshal(generated)
	if err != nil {
		t.Fatal(err)
	}
	if got := m.appendTo(nil); !bytes.Equal(got, wire) {
		t.Fatalf("encoded %x, the generated code encodes %x", got, wire)
	}
	if err := read(into, wire); err != nil {
		t.Fatal(err)
	}
	if got := into.appendTo(nil); !bytes.Equal(got, wire) {
		t.Fatalf("re-encoded as %x from %x", got, wire)
	}
}

// Whatever the input, and wherever it is cut in two, the same frames are read, or the same error occurs.
func FuzzSplit(f *testing.F) {
	encoded, start := beginFrame(nil, KindAsk)
	encoded = (&Ask{ID: 7, Key: []byte("k")}).appendTo(encoded)
	finishFrame(encoded, start)
	f.Add(encoded, 3)
	f.Add(append(encoded, 0, 0, 0, 0, 1), 9)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2}, 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		type frame struct {
			kind Kind
			body string
		}
		splitAll := func(parts ...[]byte) (out []frame, invalid bool) {
			var data []byte
			for _, p := range parts {
				data = append(data, p...)
				for {
					kind, body, rest, ok, err := nextFrame(data, 1<<16)
					if err != nil {
						return out, true
					}
					if !ok {
						break
					}
					out, data = append(out, frame{kind, string(body)}), rest
				}
			}
			return out, false
		}
		if len(data) == 0 {
			return
		}
		cut = max(0, cut) % len(data)
		whole, invalid := splitAll(data)
		cutFrames, cutInvalid := splitAll(data[:cut], data[cut:])
		if len(whole) != len(cutFrames) || invalid != cutInvalid {
			t.Fatalf("whole: %d frames, error %v; cut at %d: %d, %v", len(whole), invalid, cut, len(cutFrames), cutInvalid)
		}
		for i := range whole {
			if whole[i] != cutFrames[i] {
				t.Fatalf("frame %d: %v and %v", i, whole[i], cutFrames[i])
			}
			var a Ask
			var d Done
			_, _ = a.Read([]byte(whole[i].body)), d.Read([]byte(whole[i].body))
		}
	})
}

// A dialled link whose peer reads nothing refuses frames beyond its limit of pending bytes, and does not block.
func TestSlowReader(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
		}
	}()
	link, err := Dial(l.Addr().String(), time.Second, Limits{MaxFrameBytes: 1 << 20, MaxPendingBytes: 1 << 20}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close(ErrClosed)
	big, refused := &Work{Payload: make([]byte, 256<<10)}, false
	for range 200 {
		if !link.Put(KindWork, big) {
			refused = true
			break
		}
		link.Flush()
	}
	if !refused {
		t.Error("50 MB were accepted for a peer that reads nothing")
	}
}

// Frames arrive in order in both directions, each side is notified once that the other has closed, and an error names
// what is wrong with a frame.
func TestLink(t *testing.T) {
	type end struct {
		l      *Link
		reason error
	}
	got, ended := make(chan uint64, 1000), make(chan end, 4)
	server, err := Serve("127.0.0.1:0", DefaultLimits, func(*Link) (Handler, func(*Link, error)) {
		return func(l *Link, kind Kind, body []byte) error {
			var p IDMessage
			if err := p.Read(body); err != nil {
				return err
			}
			l.Put(KindCancel, &IDMessage{ID: p.ID * 2})
			l.Flush()
			return nil
		}, func(l *Link, reason error) { ended <- end{l, reason} }
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	dial := func() *Link {
		l, err := Dial(server.Address, time.Second, DefaultLimits, func(_ *Link, _ Kind, body []byte) error {
			var p IDMessage
			err := p.Read(body)
			got <- p.ID
			return err
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := dial()
	for i := range 500 {
		l.Put(KindCancel, &IDMessage{ID: uint64(i + 1)})
		if i%7 == 0 {
			l.Flush()
		}
	}
	l.Flush()
	for i := range 500 {
		if id := <-got; id != uint64(i+1)*2 {
			t.Fatalf("answer %d is %d", i, id)
		}
	}
	l.Close(ErrClosed)
	if e := <-ended; e.reason != nil {
		t.Errorf("peer closed: reason %v", e.reason)
	}
	for _, c := range []struct {
		raw  []byte
		want string
	}{
		{[]byte{0, 0, 0, 0, 1}, "frame: found length 0, expected 1 to 4194305"},
		{[]byte{0xff, 0, 0, 0, 1}, "frame: found length 4278190080, expected 1 to 4194305"},
		{[]byte{0, 0, 0, 1, 99}, "frame: found kind 99, expected 1 to 17"},
	} {
		l := dial()
		l.PutRaw(c.raw)
		l.Flush()
		e := <-ended
		var frameErr *FrameError
		if !errors.As(e.reason, &frameErr) || e.reason.Error() != c.want {
			t.Errorf("%x: %v, expected %s", c.raw, e.reason, c.want)
		}
		l.Close(ErrClosed)
	}
	half := dial()
	half.PutRaw([]byte{0, 0, 0, 9, byte(KindCancel), 8})
	half.Flush()
	time.Sleep(20 * time.Millisecond)
	half.Close(ErrClosed)
	if e := <-ended; e.reason != nil {
		t.Errorf("half a frame, then a close: %v", e.reason)
	}
	if len(got) != 0 {
		t.Error("half a frame was handled")
	}
}
