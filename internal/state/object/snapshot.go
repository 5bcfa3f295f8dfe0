package object

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Snapshot is a validated and compiled set of objects. It is immutable, and a request uses
// the same snapshot from start to end.
type Snapshot struct {
	Revision Revision
	// TargetRevision counts the changes of the discovered targets. It is 0 without service
	// discovery.
	TargetRevision Revision
	// Digest is the digest of the set of objects. It is empty if the set comes from the
	// platform's store.
	Digest string

	accounts         map[AccountName]*Account
	accountByKeyHash map[string]*Account
	tiers            map[TierName]*Tier
	pools            map[PoolName]*PoolView
	models           map[ModelName]*Model
	routes           map[routeKey]*Route
	rollouts         map[PoolName]*Rollout
	// streamTimeouts holds the longest timeout of the resumable streams of each pool that has some.
	streamTimeouts map[PoolName]time.Duration
}

// routeKey identifies a route by the host name and path prefix of its requests.
type routeKey struct{ host, pathPrefix string }

// PoolView is a pool with its targets, sorted by name.
type PoolView struct {
	Pool
	Targets []*Target
	// Zones are the availability zones that have targets of the pool.
	Zones map[Zone]bool
}

// ModelRoute is the destination of a request for a model.
type ModelRoute struct {
	Pool       *PoolView
	Version    VersionName
	ServedName string
}

// Compile validates the objects and builds a snapshot from them.
func Compile(revision Revision, digest string, objects []Object) (*Snapshot, error) {
	c, err := indexObjects(objects)
	if err != nil {
		return nil, fmt.Errorf("compile revision %d: %w", revision, err)
	}
	s := &Snapshot{
		Revision:         revision,
		Digest:           digest,
		accounts:         c.accounts,
		accountByKeyHash: make(map[string]*Account, len(c.accountNameByKeyHash)),
		tiers:            c.tiers,
		pools:            make(map[PoolName]*PoolView, len(c.pools)),
		models:           c.models,
		routes:           make(map[routeKey]*Route, len(c.routes)),
		streamTimeouts:   map[PoolName]time.Duration{},
	}
	for _, r := range c.routes {
		s.routes[routeKey{r.Host, r.PathPrefix}] = r
		s.addStreamTimeout(r)
	}
	for hash, name := range c.accountNameByKeyHash {
		s.accountByKeyHash[hash] = c.accounts[name]
	}
	for name, pool := range c.pools {
		s.pools[name] = &PoolView{Pool: *pool, Zones: map[Zone]bool{}}
	}
	targets := make([]*Target, 0, len(c.targets))
	for _, target := range c.targets {
		targets = append(targets, target)
	}
	s.addTargets(targets)
	return s, nil
}

func (s *Snapshot) addTargets(targets []*Target) {
	for _, target := range targets {
		view := s.pools[target.Pool]
		if view == nil {
			continue // A discovered target whose pool is not configured yet.
		}
		view.Targets = append(view.Targets, target)
		view.Zones[target.Zone] = true
	}
	for _, view := range s.pools {
		slices.SortFunc(view.Targets, func(a, b *Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
}

// WithTargets returns a copy of the snapshot in which the discovered targets replace all
// others.
func (s *Snapshot) WithTargets(revision Revision, targets []*Target) *Snapshot {
	next := *s
	next.TargetRevision = revision
	next.pools = make(map[PoolName]*PoolView, len(s.pools))
	for name, view := range s.pools {
		next.pools[name] = &PoolView{Pool: view.Pool, Zones: map[Zone]bool{}}
	}
	next.addTargets(targets)
	return &next
}

// Newer reports whether the snapshot replaces another one: it has a newer configuration, or
// the same configuration with newer targets.
func (s *Snapshot) Newer(other *Snapshot) bool {
	if other == nil || s.Revision != other.Revision {
		return other == nil || s.Revision > other.Revision
	}
	return s.TargetRevision > other.TargetRevision
}

// RouteFor returns the route with the longest path prefix that matches, or nil.
func (s *Snapshot) RouteFor(host, path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := s.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// HashKey returns the hex SHA-256 digest of a key. Only the digest of a key is stored.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// StreamTimeout returns the longest timeout of the routes to a pool whose streams may be resumed, and false if there is no
// such route.
func (s *Snapshot) StreamTimeout(pool PoolName) (time.Duration, bool) {
	timeout, found := s.streamTimeouts[pool]
	return timeout, found
}

// addStreamTimeout records the timeout of a route for the pools to which its streams go.
func (s *Snapshot) addStreamTimeout(r *Route) {
	if !r.Resumable {
		return
	}
	for _, p := range r.Pools {
		s.streamTimeouts[p.Pool] = max(s.streamTimeouts[p.Pool], time.Duration(r.Timeout))
	}
}

// AccountByKey returns the account of a bearer key, or nil. It looks up the digest of the
// key, so that its timing reveals nothing about the stored keys.
func (s *Snapshot) AccountByKey(key string) *Account { return s.accountByKeyHash[HashKey(key)] }

// Account returns an account by name, or nil.
func (s *Snapshot) Account(name AccountName) *Account { return s.accounts[name] }

// Accounts returns all accounts by name. The map must not be changed.
func (s *Snapshot) Accounts() map[AccountName]*Account { return s.accounts }

// Tier returns a tier by name, or nil.
func (s *Snapshot) Tier(name TierName) *Tier { return s.tiers[name] }

// Tiers returns all tiers by name. The map must not be changed.
func (s *Snapshot) Tiers() map[TierName]*Tier { return s.tiers }

// Pool returns a pool by name, or nil.
func (s *Snapshot) Pool(name PoolName) *PoolView { return s.pools[name] }

// Pools returns all pools by name. The map must not be changed.
func (s *Snapshot) Pools() map[PoolName]*PoolView { return s.pools }

// Models returns the names of all models, sorted.
func (s *Snapshot) Models() []ModelName {
	names := make([]ModelName, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ModelRoute returns the destination for a model requested as "model" or "model@version".
// It returns false if the model or version does not exist.
func (s *Snapshot) ModelRoute(requested string) (ModelRoute, bool) {
	name, version, _ := strings.Cut(requested, "@")
	model := s.models[ModelName(name)]
	if model == nil {
		return ModelRoute{}, false
	}
	requestedVersion := VersionName(version)
	if requestedVersion == "" {
		requestedVersion = model.Default
	}
	for _, v := range model.Versions {
		if v.Name != requestedVersion {
			continue
		}
		served := v.ServedName
		if served == "" {
			served = name
		}
		return ModelRoute{Pool: s.pools[v.Pool], Version: v.Name, ServedName: served}, true
	}
	return ModelRoute{}, false
}
