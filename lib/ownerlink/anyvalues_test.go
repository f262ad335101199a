package ownerlink

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"anvilwick.example/anvilwick/lib/ownerpb"
)

// anyValues sets random fields of a message to random values, extremes among them, down to a depth.
func anyValues(rng *rand.Rand, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if rng.IntN(3) == 0 {
			continue
		}
		switch {
		case f.IsMap():
		case f.IsList():
			list := m.Mutable(f).List()
			for range rng.IntN(4) {
				if f.Message() == nil {
					list.Append(anyScalar(rng, f))
				} else if e := list.NewElement(); depth > 0 {
					anyValues(rng, e.Message(), depth-1)
					list.Append(e)
				}
			}
		case f.Message() == nil:
			m.Set(f, anyScalar(rng, f))
		case depth > 0:
			anyValues(rng, m.Mutable(f).Message(), depth-1)
		}
	}
}

// anyScalar returns a random value for a field.
func anyScalar(rng *rand.Rand, f protoreflect.FieldDescriptor) protoreflect.Value {
	n := []uint64{0, 1, 2, 255, math.MaxInt32, math.MaxUint32, math.MaxInt64, math.MaxUint64, rng.Uint64()}[rng.IntN(9)]
	text := []string{"", "a", "b", "c", "s", "e0", "127.0.0.1:1", "\x00"}[rng.IntN(8)]
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n%2 == 1)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(int32(n)))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(math.Float32frombits(uint32(n)))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(math.Float64frombits(n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(text))
	default:
		return protoreflect.ValueOfString(text)
	}
}

// Guards against an instance that ends by a panic because a datagram of a peer holds values that it did not expect: datagrams are handled outside of any
// request, where nothing recovers.
func TestDatagramsOfAnyValuesDoNotPanic(t *testing.T) {
	members, _ := site(t, 3, "a", "b")
	m := members["a"]
	rng := rand.New(rand.NewPCG(68, 1))
	for range 20000 {
		var d ownerpb.Datagram
		anyValues(rng, d.ProtoReflect(), 4)
		b, err := proto.Marshal(&d)
		must.NoError(t, err)
		m.ReceiveBroadcast(b)
		if len(b) > 0 { // and one that was damaged
			b[rng.IntN(len(b))] = byte(rng.Uint32())
			m.ReceiveBroadcast(b)
		}
	}
	time.Sleep(100 * time.Millisecond) // for goroutines that handling has started
}
