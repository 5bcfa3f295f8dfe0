package notice

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"time"

	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// bucketCount is the number of parts of a book that are compared and copied separately.
const bucketCount = 32

// bucket holds the entries of some targets. It is immutable.
type bucket struct {
	byTarget map[object.TargetName]entry
	// digest depends on all entries, but not on pauses, which end soon, and not on times, which differ
	// between hosts. It is 0 if there is nothing to compare.
	digest uint64
}

// bucketOf returns the index of the bucket of a target.
func bucketOf(target object.TargetName) int { return int(digest.Of(string(target)) % bucketCount) }

// with returns the bucket with an entry replaced and expired entries removed.
func (b bucket) with(now time.Time, target object.TargetName, e entry) bucket {
	next := bucket{byTarget: make(map[object.TargetName]entry, len(b.byTarget)+1)}
	maps.Copy(next.byTarget, b.byTarget)
	next.byTarget[target] = e
	for name, e := range next.byTarget {
		if now.Sub(e.updatedAt) > retention {
			delete(next.byTarget, name)
			continue
		}
		next.digest ^= e.digest(name)
	}
	return next
}

// digest returns a hash of the state that is compared between hosts, 0 if there is none.
func (e entry) digest(target object.TargetName) uint64 {
	if !e.leaving && !e.moved && e.rate.perSecond == 0 {
		return 0
	}
	hash := digest.Mix(digest.Of(string(target)) + uint64(e.startedMS))
	hash = digest.Mix(hash + math.Float64bits(float64(e.rate.perSecond)))
	if e.leaving {
		hash = digest.Mix(hash + 1)
	}
	if e.moved {
		hash = digest.Mix(hash + 2)
	}
	return hash
}

// Digests summarise the content of a book. Two hosts compare them, so that each sends the other only
// what it may not know. The zero value is that of an empty book.
type Digests [bucketCount]uint64

// Digests returns the digests of the book.
func (b *Book) Digests() Digests {
	var all Digests
	if b == nil {
		return all
	}
	for i := range b.buckets {
		all[i] = b.buckets[i].digest
	}
	return all
}

// String returns the digests as the text of a header.
func (d Digests) String() string {
	raw := make([]byte, 0, bucketCount*8)
	for _, value := range d {
		raw = binary.BigEndian.AppendUint64(raw, value)
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// ParseDigests reads the text of a header. Hosts of builds without digests send none, which stands for an
// empty book.
func ParseDigests(text string) (Digests, error) {
	var all Digests
	if text == "" {
		return all, nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return all, fmt.Errorf("digests of notices: %w", err)
	}
	if len(raw) != bucketCount*8 {
		return all, fmt.Errorf("digests of notices: %d bytes instead of %d", len(raw), bucketCount*8)
	}
	for i := range all {
		all[i] = binary.BigEndian.Uint64(raw[i*8:])
	}
	return all, nil
}
