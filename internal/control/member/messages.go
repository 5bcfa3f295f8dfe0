package member

import (
	"slices"
	"time"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// Status is the state of a member in the view of one host.
type Status string

// The states of a member in order of precedence: at equal incarnations, a later state in this
// list overrides an earlier one.
const (
	Listed  Status = "listed" // Appears in the platform's list of hosts, but no host has confirmed it.
	Alive   Status = "alive"
	Leaving Status = "leaving"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

func (s Status) precedence() int {
	return slices.Index([]Status{Listed, Alive, Leaving, Suspect, Dead}, s)
}

// Update is the state of one member as reported by another member or by itself.
type Update struct {
	Member      board.Member `json:"member"`
	Status      Status       `json:"status"`
	Incarnation uint64       `json:"incarnation"`
}

// Heartbeat is a probe between two members, and also the answer to a probe. It always contains
// the name of its sender, but the sender's addresses only if the receiver does not have them.
type Heartbeat struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status,omitempty"` // Empty for alive.
	// AckedIncarnation is the incarnation of the receiver that the sender has stored.
	AckedIncarnation uint64 `json:"knows,omitempty"`
	// Member is set if the receiver does not have this incarnation of the sender.
	Member *board.Member `json:"member,omitempty"`
	// Revision is the revision of the sender's active configuration.
	Revision object.Revision `json:"revision"`
	// StoreRevision is the revision of the platform's store that the sender has read.
	StoreRevision int64 `json:"store-revision,omitempty"`
	// StoreEra is the era of StoreRevision. Earlier builds send none.
	StoreEra store.Era `json:"store-era,omitempty"`
	// StoreAgeMS is the time since StoreRevision was last confirmed to be the latest.
	StoreAgeMS int64 `json:"store-age-ms,omitempty"`
	// Joined is true if the sender knows the other hosts, so that a new host can learn all of them from it. Earlier builds
	// do not send it.
	Joined bool `json:"joined,omitempty"`
	// Updates are recent member changes that the sender is still spreading.
	Updates []Update `json:"updates,omitempty"`
	// LegacyUpdates repeats Updates under the JSON name that builds without digests read and
	// send. It is sent only to members from which no digest has been received.
	LegacyUpdates []Update `json:"rumours,omitempty"`
	// Digest covers all live members in the sender's view. Two members whose digests keep
	// differing run an anti-entropy sync of all live members.
	Digest uint32 `json:"digest,omitempty"`
	// WantAll requests all live members in the answer.
	WantAll bool `json:"want-all,omitempty"`
	// All contains all live members, including the sender.
	All []Update `json:"all,omitempty"`
	// LeavingVersion is the version of the sender's list of leaving targets.
	LeavingVersion int64 `json:"leaving-version,omitempty"`
	// Leaving is the list itself, set unless the receiver is known to have this version.
	Leaving *LeavingList `json:"leaving,omitempty"`
}

// updates returns the updates of a message, whichever build sent it.
func (h *Heartbeat) updates() []Update {
	if len(h.Updates) > 0 {
		return h.Updates
	}
	return h.LegacyUpdates
}

// peerState returns the revisions that the sender has.
func (h *Heartbeat) peerState() PeerState {
	return PeerState{
		ConfigRevision: h.Revision, StorePosition: store.NewPosition(h.StoreEra, h.StoreRevision),
		StoreAge: time.Duration(h.StoreAgeMS) * time.Millisecond, Joined: h.Joined,
	}
}

// LeavingList lists the targets that the platform is about to stop.
type LeavingList struct {
	Targets []object.TargetName `json:"targets"`
}
