package member

import (
	"slices"
	"time"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// Status is what is believed about a member.
type Status string

// The states of a member, from the least to the most certain at equal incarnations.
const (
	Listed  Status = "listed" // Known from the list of hosts only.
	Alive   Status = "alive"
	Leaving Status = "leaving"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

func (s Status) rank() int {
	return slices.Index([]Status{Listed, Alive, Leaving, Suspect, Dead}, s)
}

// Update is what one member says about another, or about itself.
type Update struct {
	Member      board.Member `json:"member"`
	Status      Status       `json:"status"`
	Incarnation uint64       `json:"incarnation"`
}

// Heartbeat is a message between two members, and also its answer. It names its sender;
// the addresses of the sender travel only when the receiver does not know them.
type Heartbeat struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status,omitempty"` // Empty for alive.
	// Knows is the incarnation of the receiver that the sender knows.
	Knows uint64 `json:"knows,omitempty"`
	// Member is set if the receiver does not know this incarnation of the sender.
	Member   *board.Member   `json:"member,omitempty"`
	Revision object.Revision `json:"revision"`
	// StoreRevision is how far the sender has followed the platform's store.
	StoreRevision int64 `json:"store-revision,omitempty"`
	// StoreAgeMS is how long ago that was confirmed to be the newest.
	StoreAgeMS int64 `json:"store-age-ms,omitempty"`
	// Updates are the latest changes of members that the sender still passes on.
	Updates []Update `json:"updates,omitempty"`
	// Rumours are the updates under the name by which builds without digests send and read
	// them. Only members that have sent no digest yet get them.
	Rumours []Update `json:"rumours,omitempty"`
	// Digest is that of all live members as the sender knows them. Members whose digests
	// differ for long exchange all that they know.
	Digest uint32 `json:"digest,omitempty"`
	// WantAll asks for all live members in the answer.
	WantAll bool `json:"want-all,omitempty"`
	// All are all live members, the sender included.
	All []Update `json:"all,omitempty"`
	// LeavingVersion is the version of the list of leaving targets that the sender has.
	LeavingVersion int64 `json:"leaving-version,omitempty"`
	// Leaving is the list itself, set if the receiver is not known to have it.
	Leaving *LeavingList `json:"leaving,omitempty"`
}

// updates returns the updates of a message of any build.
func (h *Heartbeat) updates() []Update {
	if len(h.Updates) > 0 {
		return h.Updates
	}
	return h.Rumours
}

// knowledge returns what the sender knows.
func (h *Heartbeat) knowledge() Knowledge {
	return Knowledge{h.Revision, h.StoreRevision, time.Duration(h.StoreAgeMS) * time.Millisecond}
}

// LeavingList lists the targets that the platform is about to stop.
type LeavingList struct {
	Targets []object.TargetName `json:"targets"`
}
