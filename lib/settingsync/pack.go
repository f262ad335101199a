package settingsync

import (
	"github.com/klauspost/compress/zstd"

	"anvilwick.example/anvilwick/lib/settings"
)

// dictionaryID marks frames that refer to a base text; its value is of no meaning.
const dictionaryID = 1

// pack compresses text. With a base, what they share costs next to nothing.
func pack(text, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression),
		zstd.WithWindowSize(2 * settings.MaxFile),
	}
	if base != nil {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer enc.Close()
	return enc.EncodeAll(text, nil), nil
}

// unpack reverses pack with the same base. What would unpack to more than a settings file may hold is refused.
func unpack(body, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(settings.MaxFile),
		zstd.WithDecoderMaxWindow(2 * settings.MaxFile),
	}
	if base != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer dec.Close()
	return dec.DecodeAll(body, nil)
}
