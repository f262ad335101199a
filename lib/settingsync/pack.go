package settingsync

import (
	"github.com/klauspost/compress/zstd"

	"anvilwick.example/anvilwick/lib/settings"
)

// dictionaryID marks frames that are encoded against a base text. The value is arbitrary.
const dictionaryID = 1

// pack compresses text. With a base it encodes a delta: content shared with the base costs almost nothing.
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

// unpack reverses pack with the same base. Output larger than settings.MaxFile is rejected.
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
