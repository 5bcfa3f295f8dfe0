// Package digest hashes names to numbers that are the same in all processes and whose bits
// are all alike, so that they can order and place things.
package digest

import "hash/fnv"

// Of returns the digest of some texts. Texts that are split otherwise have another digest.
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

// Mix spreads the bits of a number, as the last step of SplitMix64 does. FNV alone mixes the
// last bytes badly.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
