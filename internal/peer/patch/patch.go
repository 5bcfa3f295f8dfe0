// Package patch encodes a value relative to an earlier one that the receiver has, as Zstandard with a dictionary.
package patch

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// Digest names a value by its content: the hex SHA-256 digest.
type Digest string

// DigestOf returns the digest of a value.
func DigestOf(value []byte) Digest {
	sum := sha256.Sum256(value)
	return Digest(hex.EncodeToString(sum[:]))
}

// ErrCorrupt is returned if a patch does not lead to the value with the expected digest.
var ErrCorrupt = errors.New("patch is corrupt")

const (
	// dictionaryID is the ID of the base in the header of a patch.
	dictionaryID = 1
	// minWindow and maxWindow bound the distance in bytes over which repetitions are found.
	minWindow = 1 << 16
	maxWindow = 8 << 20
)

// window returns the smallest window that covers a base and a value.
func window(base, value []byte) int {
	size := len(base) + len(value)
	return max(minWindow, min(1<<bits.Len(uint(size)), maxWindow))
}

// Encode returns a patch from a base to a value. Without a base the patch is the compressed value.
func Encode(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(base, value)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode patch: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Decode applies a patch to its base and returns the value, of at most maxBytes, if it has the digest.
func Decode(base, patch []byte, digest Digest, maxBytes int64) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes)), zstd.WithDecoderMaxWindow(maxWindow)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if DigestOf(value) != digest {
		return nil, fmt.Errorf("%w: another value", ErrCorrupt)
	}
	return value, nil
}
