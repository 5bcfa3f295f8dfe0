// Package object defines the named objects that operators publish, checks a whole
// set of them and compiles it to an immutable snapshot.
package object

import (
	"fmt"
	"time"
)

// Names of objects.
type (
	// AccountName names a client account.
	AccountName string
	// TierName names a tier.
	TierName string
	// PoolName names a pool of targets.
	PoolName string
	// TargetName names a target.
	TargetName string
	// ModelName names a model.
	ModelName string
	// VersionName names a version of a model.
	VersionName string
	// RouteName names a route.
	RouteName string
	// Zone names an availability zone.
	Zone string
	// Generation names a hardware generation.
	Generation string
)

// Kind is the kind of a named object.
type Kind string

// The kinds of objects.
const (
	KindAccount Kind = "account"
	KindTier    Kind = "tier"
	KindPool    Kind = "pool"
	KindTarget  Kind = "target"
	KindModel   Kind = "model"
	KindRoute   Kind = "route"
)

// Revision counts accepted change sets; a higher one is newer.
type Revision int64

// Duration is a time span written as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Object is one named object. It is one of *Account, *Tier, *Pool, *Target, *Model,
// *Route.
type Object interface {
	sealed()
}

// Account is a client account.
type Account struct {
	Name AccountName `json:"name" yaml:"name"`
	// Group labels the account in metrics.
	Group string `json:"group,omitempty" yaml:"group,omitempty"`
	// Tiers that the account may use; the first is the default.
	Tiers []TierName `json:"tiers" yaml:"tiers"`
	// Weight is the share of the account within its tier. Default 1.
	Weight int `json:"weight,omitempty" yaml:"weight,omitempty"`
	// KeyHashes are the hex SHA-256 digests of the keys of the account.
	KeyHashes []string `json:"key-hashes" yaml:"key-hashes"`
	// MaxInFlight bounds the requests of the account at one entry host. Zero: no bound.
	MaxInFlight int `json:"max-in-flight,omitempty" yaml:"max-in-flight,omitempty"`
	// RequestsPerSecond bounds the rate of the account at one entry host. Zero: no bound.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty" yaml:"requests-per-second,omitempty"`
	// Quota bounds what the account may run on all entry hosts together. Nil: no bound.
	Quota *Quota `json:"quota,omitempty" yaml:"quota,omitempty"`
	// RouteTier replaces the tier of the routes that the account uses. Empty: it does not.
	RouteTier TierName `json:"route-tier,omitempty" yaml:"route-tier,omitempty"`
	// Revoked accounts hold no key and cannot be used.
	Revoked bool `json:"revoked,omitempty" yaml:"revoked,omitempty"`
}

// Quota is a rate of work with a burst.
type Quota struct {
	// PerSecond is the rate, in tokens or requests.
	PerSecond float64 `json:"per-second" yaml:"per-second"`
	// Burst is what may be used at once beyond the rate, in the same unit.
	Burst float64 `json:"burst" yaml:"burst"`
	// PlainTokens is the size in tokens of a request that states none. Zero: the quota
	// counts requests.
	PlainTokens float64 `json:"plain-tokens,omitempty" yaml:"plain-tokens,omitempty"`
	// Window is the span over which the use is judged. Within one, rate and burst may be
	// passed by the share Overage and by Slack. Zero: they may not.
	Window  Duration `json:"window,omitempty" yaml:"window,omitempty"`
	Overage float64  `json:"overage,omitempty" yaml:"overage,omitempty"`
	Slack   float64  `json:"slack,omitempty" yaml:"slack,omitempty"`
}

// Tolerated returns what may be used in one window beyond rate and burst.
func (q *Quota) Tolerated() float64 {
	return (q.PerSecond*time.Duration(q.Window).Seconds()+q.Burst)*q.Overage + q.Slack
}

// Cost returns what a request of the given size uses of the quota.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case q.PlainTokens == 0:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// Tier is a class of urgency.
type Tier struct {
	Name TierName `json:"name" yaml:"name"`
	// Priority orders tiers; the higher one is served first.
	Priority int `json:"priority" yaml:"priority"`
	// QueueTimeout is the longest wait for a target. Default 10s.
	QueueTimeout Duration `json:"queue-timeout,omitempty" yaml:"queue-timeout,omitempty"`
	// PreemptAfter is the wait after which lower-tier work is cancelled. Default 200ms.
	PreemptAfter Duration `json:"preempt-after,omitempty" yaml:"preempt-after,omitempty"`
}

// PoolType says what the targets of a pool are.
type PoolType string

// The types of pools.
const (
	EnginePool  PoolType = "engine"
	ServicePool PoolType = "service"
)

// Pool is a set of targets that can stand in for each other.
type Pool struct {
	Name PoolName `json:"name" yaml:"name"`
	Type PoolType `json:"type" yaml:"type"`
	// QueueLimit bounds the waiting requests of the pool. Default 10000.
	QueueLimit int `json:"queue-limit,omitempty" yaml:"queue-limit,omitempty"`
	// IdleTimeout is the silence after which a stream is resumed on a new connection. Default 2s.
	IdleTimeout Duration `json:"idle-timeout,omitempty" yaml:"idle-timeout,omitempty"`
	// SilenceTimeout is the silence after which a stream that cannot be resumed is given
	// up. Default 60s.
	SilenceTimeout Duration `json:"silence-timeout,omitempty" yaml:"silence-timeout,omitempty"`
	// NonIdempotent marks every call to the pool as non-idempotent.
	NonIdempotent bool `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`
	// EventTokens is how many tokens of an answer one event of a stream holds. Default 1.
	EventTokens int `json:"event-tokens,omitempty" yaml:"event-tokens,omitempty"`
	// FixedSlots keeps the limit of each target at its slots instead of learning it.
	FixedSlots bool `json:"fixed-slots,omitempty" yaml:"fixed-slots,omitempty"`
	// RunToEnd keeps running requests from being cancelled for more urgent ones.
	RunToEnd bool `json:"run-to-end,omitempty" yaml:"run-to-end,omitempty"`
	// Discovered pools get their targets from service discovery and may have none.
	Discovered bool `json:"discovered,omitempty" yaml:"discovered,omitempty"`
}

// Target is one model engine or plain service instance.
type Target struct {
	Name TargetName `json:"name" yaml:"name"`
	Pool PoolName   `json:"pool" yaml:"pool"`
	Zone Zone       `json:"zone" yaml:"zone"`
	// Address is the base URL of the target.
	Address string `json:"address" yaml:"address"`
	// Generation is the hardware generation, compared when looking for stragglers.
	Generation Generation `json:"generation,omitempty" yaml:"generation,omitempty"`
	// Slots is the initial limit of requests in flight. Default 8.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Drain stops new work for the target.
	Drain bool `json:"drain,omitempty" yaml:"drain,omitempty"`
	// StartedMS is when the target started, in Unix milliseconds; 0 if not known. A target
	// that starts again under its name has lost what was cached there.
	StartedMS int64 `json:"started-ms,omitempty" yaml:"started-ms,omitempty"`
}

// Model is a model that callers name in requests.
type Model struct {
	Name ModelName `json:"name" yaml:"name"`
	// Default is the version used when the caller names none.
	Default  VersionName `json:"default" yaml:"default"`
	Versions []Version   `json:"versions" yaml:"versions"`
}

// Version is one version of a model.
type Version struct {
	Name VersionName `json:"name" yaml:"name"`
	Pool PoolName    `json:"pool" yaml:"pool"`
	// ServedName is the model name sent to the engine. Default: the name of the model.
	ServedName string `json:"served-name,omitempty" yaml:"served-name,omitempty"`
}

// Execution says how often a request may run and how its answer comes.
type Execution string

// The executions of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Execution = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Execution = "non-idempotent"
	// Stream requests run at most once and are answered with server-sent events.
	Stream Execution = "stream"
)

// Route sends the requests of a host name and path to pools as they are.
type Route struct {
	Name RouteName `json:"name" yaml:"name"`
	// Host is the host name that callers ask for.
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash. The longest match wins.
	PathPrefix string    `json:"path-prefix" yaml:"path-prefix"`
	Execution  Execution `json:"execution" yaml:"execution"`
	// Pools share the requests by weight.
	Pools []WeightedPool `json:"pools" yaml:"pools"`
	Tier  TierName       `json:"tier" yaml:"tier"`
	// Timeout is the longest time until the final answer. Zero: no bound.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Objective is the time within which the answer should begin. Zero: none.
	Objective Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// EventGap is the longest pause between two events of a stream. Zero: none.
	EventGap Duration `json:"event-gap,omitempty" yaml:"event-gap,omitempty"`
	// MaxAttempts is how many targets one request may be sent to. Default 1.
	MaxAttempts int `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
	// Resumable streams may go on at another target after their last event.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
}

// WeightedPool is one pool of a route with its share of the requests.
type WeightedPool struct {
	Pool   PoolName `json:"pool" yaml:"pool"`
	Weight int      `json:"weight" yaml:"weight"`
}

// Repeatable reports whether a request of the route may run again from its start.
func (r *Route) Repeatable() bool { return r.Execution == Idempotent }

func (*Account) sealed() {}
func (*Tier) sealed()    {}
func (*Pool) sealed()    {}
func (*Target) sealed()  {}
func (*Model) sealed()   {}
func (*Route) sealed()   {}

// Key identifies an object within a set.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// KeyOf returns the key of an object.
func KeyOf(o Object) Key {
	switch o := o.(type) {
	case *Account:
		return Key{KindAccount, string(o.Name)}
	case *Tier:
		return Key{KindTier, string(o.Name)}
	case *Pool:
		return Key{KindPool, string(o.Name)}
	case *Target:
		return Key{KindTarget, string(o.Name)}
	case *Model:
		return Key{KindModel, string(o.Name)}
	case *Route:
		return Key{KindRoute, string(o.Name)}
	}
	return Key{}
}

// New returns an empty object of the kind, or an error for an unknown kind.
func New(kind Kind) (Object, error) {
	switch kind {
	case KindAccount:
		return &Account{}, nil
	case KindTier:
		return &Tier{}, nil
	case KindPool:
		return &Pool{}, nil
	case KindTarget:
		return &Target{}, nil
	case KindModel:
		return &Model{}, nil
	case KindRoute:
		return &Route{}, nil
	}
	return nil, fmt.Errorf("kind: unknown kind %q", kind)
}
