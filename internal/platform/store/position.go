package store

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrRestored is returned if the store was restored from an older copy after the given position. The caller must
// list the items again. A write may or may not have taken effect.
var ErrRestored = errors.New("store restored from a copy")

// Era counts how often a store was restored from an older copy. A store that names none is in era 0.
type Era int64

// Position is a point in the history of a store: an era and a revision in it. After a restore, revisions go back
// and are given out again, so they are comparable within an era only. Positions are ordered: all of a later era come
// after those of an earlier one. Position 0 comes before all others and, in a condition, means that a key does not
// exist.
type Position int64

// revisionBits is the number of bits of a position that hold the revision.
const revisionBits = 40

// NewPosition returns the position of a revision, which must be less than 2^40, in an era.
func NewPosition(era Era, revision int64) Position {
	return Position(int64(era)<<revisionBits | revision)
}

// Era returns the era of a position.
func (p Position) Era() Era { return Era(p >> revisionBits) }

// Revision returns the revision of a position in its era.
func (p Position) Revision() int64 { return int64(p) & (1<<revisionBits - 1) }

// String implements fmt.Stringer.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Revision()) }

// itemJSON is an item as hosts send it to each other. Earlier builds send and read no era.
type itemJSON struct {
	Key      string
	Data     []byte
	Era      Era `json:",omitempty"`
	Revision int64
	Deleted  bool
}

// MarshalJSON implements json.Marshaler.
func (i Item) MarshalJSON() ([]byte, error) {
	return json.Marshal(itemJSON{i.Key, i.Data, i.Position.Era(), i.Position.Revision(), i.Deleted})
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Item) UnmarshalJSON(content []byte) error {
	var decoded itemJSON
	if err := json.Unmarshal(content, &decoded); err != nil {
		return fmt.Errorf("decode item: %w", err)
	}
	*i = Item{decoded.Key, decoded.Data, NewPosition(decoded.Era, decoded.Revision), decoded.Deleted}
	return nil
}
