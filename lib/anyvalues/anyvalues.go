// Package anyvalues makes messages of random values for tests of what handles messages of others.
package anyvalues

import (
	"math"
	"math/rand/v2"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Fill sets random fields of a message to random values, extremes among them, down to a depth.
func Fill(rng *rand.Rand, m protoreflect.Message, depth int) {
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
					list.Append(scalar(rng, f))
				} else if e := list.NewElement(); depth > 0 {
					Fill(rng, e.Message(), depth-1)
					list.Append(e)
				}
			}
		case f.Message() == nil:
			m.Set(f, scalar(rng, f))
		case depth > 0:
			Fill(rng, m.Mutable(f).Message(), depth-1)
		}
	}
}

// scalar returns a random value for a field.
func scalar(rng *rand.Rand, f protoreflect.FieldDescriptor) protoreflect.Value {
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
