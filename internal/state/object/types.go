// Package object defines the named configuration objects that operators publish. It
// validates a whole set of objects and compiles it into an immutable snapshot.
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
	// Generation names a hardware generation. In a discovered pool, it is the version that
	// the target runs.
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

// Duration is a duration that is encoded as text such as "250ms".
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

// Object is one named object: an *Account, *Tier, *Pool, *Target, *Model or *Route.
type Object interface {
	isObject()
}

// Account is a client account.
type Account struct {
	Name AccountName `json:"name" yaml:"name"`
	// Group labels the account in metrics.
	Group string `json:"group,omitempty" yaml:"group,omitempty"`
	// Tiers are the tiers that the account may use. The first one is the default.
	Tiers []TierName `json:"tiers" yaml:"tiers"`
	// Weight is the relative weight of the account within its tier. Default 1.
	Weight int `json:"weight,omitempty" yaml:"weight,omitempty"`
	// KeyHashes are the hex SHA-256 digests of the keys of the account.
	KeyHashes []string `json:"key-hashes" yaml:"key-hashes"`
	// MaxInFlight limits the requests in flight of the account at one entry host.
	// Zero: no limit.
	MaxInFlight int `json:"max-in-flight,omitempty" yaml:"max-in-flight,omitempty"`
	// RequestsPerSecond limits the request rate of the account at one entry host.
	// Zero: no limit.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty" yaml:"requests-per-second,omitempty"`
	// Quota limits the usage of the account on all entry hosts together. Nil: no limit.
	Quota *Quota `json:"quota,omitempty" yaml:"quota,omitempty"`
	// RouteTier overrides the tier of the routes that the account uses. Empty: the tier of
	// the route applies.
	RouteTier TierName `json:"route-tier,omitempty" yaml:"route-tier,omitempty"`
	// Revoked marks an account without keys, which nobody can use.
	Revoked bool `json:"revoked,omitempty" yaml:"revoked,omitempty"`
}

// Quota limits the usage of an account by a rate and a burst.
type Quota struct {
	// PerSecond is the rate in tokens or requests per second.
	PerSecond float64 `json:"per-second" yaml:"per-second"`
	// Burst is the amount that may be used at once beyond the rate, in the same unit.
	Burst float64 `json:"burst" yaml:"burst"`
	// DefaultTokens is the size in tokens of a request that does not state its size. Zero: the
	// quota counts requests.
	DefaultTokens float64 `json:"plain-tokens,omitempty" yaml:"plain-tokens,omitempty"`
	// Window is the period over which usage is measured. Within one window, usage may exceed
	// rate and burst by the fraction Overage plus the amount Slack. Zero: it may not.
	Window  Duration `json:"window,omitempty" yaml:"window,omitempty"`
	Overage float64  `json:"overage,omitempty" yaml:"overage,omitempty"`
	Slack   float64  `json:"slack,omitempty" yaml:"slack,omitempty"`
}

// AllowedOverage returns how much may be used in one window beyond rate and burst.
func (q *Quota) AllowedOverage() float64 {
	return (q.PerSecond*time.Duration(q.Window).Seconds()+q.Burst)*q.Overage + q.Slack
}

// Cost returns how much of the quota a request of the given size uses.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case q.DefaultTokens == 0:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.DefaultTokens
}

// Tier is a priority class of requests.
type Tier struct {
	Name TierName `json:"name" yaml:"name"`
	// Priority orders the tiers. A higher priority is served first.
	Priority int `json:"priority" yaml:"priority"`
	// QueueTimeout is the maximum wait for a target. Default 10s.
	QueueTimeout Duration `json:"queue-timeout,omitempty" yaml:"queue-timeout,omitempty"`
	// PreemptAfter is the wait after which a request may preempt requests of lower tiers.
	// Default 200ms, or half of QueueTimeout if that is shorter.
	PreemptAfter Duration `json:"preempt-after,omitempty" yaml:"preempt-after,omitempty"`
}

// PoolType is the type of the targets of a pool.
type PoolType string

// The types of pools.
const (
	EnginePool  PoolType = "engine"
	ServicePool PoolType = "service"
)

// Pool is a set of interchangeable targets.
type Pool struct {
	Name PoolName `json:"name" yaml:"name"`
	Type PoolType `json:"type" yaml:"type"`
	// QueueLimit is the maximum number of waiting requests of the pool. Default 10000.
	QueueLimit int `json:"queue-limit,omitempty" yaml:"queue-limit,omitempty"`
	// IdleTimeout is the time without data after which a stream is resumed on a new
	// connection. Default 2s.
	IdleTimeout Duration `json:"idle-timeout,omitempty" yaml:"idle-timeout,omitempty"`
	// SilenceTimeout is the time without data after which a stream that cannot be resumed
	// is aborted. Default 60s, or IdleTimeout if that is longer.
	SilenceTimeout Duration `json:"silence-timeout,omitempty" yaml:"silence-timeout,omitempty"`
	// NonIdempotent marks every call to the pool as non-idempotent.
	NonIdempotent bool `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`
	// EventTokens is the number of answer tokens in one event of a stream. Default 1.
	EventTokens int `json:"event-tokens,omitempty" yaml:"event-tokens,omitempty"`
	// FixedSlots keeps the concurrency limit of each target at its Slots. Otherwise the limit
	// adapts to measurements.
	FixedSlots bool `json:"fixed-slots,omitempty" yaml:"fixed-slots,omitempty"`
	// NonPreemptible protects running requests from preemption by requests of higher tiers.
	NonPreemptible bool `json:"run-to-end,omitempty" yaml:"run-to-end,omitempty"`
	// Discovered means that the targets come from service discovery. There may be none.
	Discovered bool `json:"discovered,omitempty" yaml:"discovered,omitempty"`
	// MemoryTokens is the number of tokens that a target can hold in memory, for running requests and for
	// kept prompts together. 0 means unknown.
	MemoryTokens int `json:"memory-tokens,omitempty" yaml:"memory-tokens,omitempty"`
}

// Target is one instance of a model engine or a plain service.
type Target struct {
	Name TargetName `json:"name" yaml:"name"`
	Pool PoolName   `json:"pool" yaml:"pool"`
	Zone Zone       `json:"zone" yaml:"zone"`
	// Address is the base URL of the target.
	Address string `json:"address" yaml:"address"`
	// Generation is the hardware generation. Straggler detection compares only targets of
	// the same generation.
	Generation Generation `json:"generation,omitempty" yaml:"generation,omitempty"`
	// Slots is the initial limit on requests in flight. Default 8.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Drain keeps new requests away from the target.
	Drain bool `json:"drain,omitempty" yaml:"drain,omitempty"`
	// StartedMS is the start time of the target in Unix milliseconds, 0 if not known. It
	// reveals a restart under the same name, after which the caches of the target are empty.
	StartedMS int64 `json:"started-ms,omitempty" yaml:"started-ms,omitempty"`
}

// Model is a model that callers name in requests.
type Model struct {
	Name ModelName `json:"name" yaml:"name"`
	// Default is the version for requests that do not name one.
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

// Execution defines how often a request may run and how it is answered.
type Execution string

// The execution modes of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Execution = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Execution = "non-idempotent"
	// Stream requests run at most once and are answered with server-sent events.
	Stream Execution = "stream"
)

// Route forwards the requests for a host name and path to pools, unchanged.
type Route struct {
	Name RouteName `json:"name" yaml:"name"`
	// Host is the host name in the request.
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash. The longest match wins.
	PathPrefix string    `json:"path-prefix" yaml:"path-prefix"`
	Execution  Execution `json:"execution" yaml:"execution"`
	// Pools receive the requests in proportion to their weights.
	Pools []WeightedPool `json:"pools" yaml:"pools"`
	Tier  TierName       `json:"tier" yaml:"tier"`
	// Timeout is the maximum time until the final answer. Zero: no limit.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Objective is the latency objective: the time within which the answer should begin.
	// Zero: none.
	Objective Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// EventGap is the maximum time between two events of a stream. Zero: no limit.
	EventGap Duration `json:"event-gap,omitempty" yaml:"event-gap,omitempty"`
	// MaxAttempts is the maximum number of targets to which a request is sent. Default 1.
	MaxAttempts int `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
	// Resumable streams may continue at another target after their last event.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
}

// WeightedPool is one pool of a route with its relative weight.
type WeightedPool struct {
	Pool   PoolName `json:"pool" yaml:"pool"`
	Weight int      `json:"weight" yaml:"weight"`
}

// Retryable reports whether a request of the route may be retried from the beginning.
func (r *Route) Retryable() bool { return r.Execution == Idempotent }

func (*Account) isObject() {}
func (*Tier) isObject()    {}
func (*Pool) isObject()    {}
func (*Target) isObject()  {}
func (*Model) isObject()   {}
func (*Route) isObject()   {}

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
