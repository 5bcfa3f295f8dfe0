// Package digest hashes names to numbers. The numbers are the same in all processes and their
// bits are uniformly distributed, so they can be used to order items and to assign them.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
)

// Of returns the digest of a list of texts. It depends on where one text ends and the next
// begins: Of("ab", "c") differs from Of("a", "bc").
func Of(texts ...string) uint64 {
	hash := fnv.New64a()
	for i, text := range texts {
		if i > 0 {
			hash.Write([]byte{0})
		}
		hash.Write([]byte(text))
	}
	return Mix(hash.Sum64())
}

// OfUntrusted returns the digest of a list of texts and of a content that a caller chooses. A caller cannot make a content
// with the digest of another one.
func OfUntrusted(content []byte, texts ...string) uint64 {
	hash := sha256.New()
	for _, text := range texts {
		hash.Write([]byte(text))
		hash.Write([]byte{0})
	}
	hash.Write(content)
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// Mix mixes the bits of a number with the finalizer of SplitMix64. FNV alone mixes the last
// bytes poorly.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
