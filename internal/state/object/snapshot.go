package object

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// Snapshot is a checked and compiled set of objects. It is immutable: a request uses
// one snapshot from start to end.
type Snapshot struct {
	Revision Revision
	Digest   string

	accounts map[AccountName]*Account
	byKey    map[string]*Account
	tiers    map[TierName]*Tier
	pools    map[PoolName]*PoolView
	models   map[ModelName]*Model
}

// PoolView is a pool with its targets, sorted by name.
type PoolView struct {
	Pool
	Targets []*Target
	// Zones are the availability zones that have targets of the pool.
	Zones map[Zone]bool
}

// Route is where a request for a model goes.
type Route struct {
	Pool       *PoolView
	Version    VersionName
	ServedName string
}

// Compile checks the objects and builds a snapshot.
func Compile(revision Revision, digest string, objects []Object) (*Snapshot, error) {
	c, err := index(objects)
	if err != nil {
		return nil, fmt.Errorf("compile revision %d: %w", revision, err)
	}
	s := &Snapshot{
		Revision: revision,
		Digest:   digest,
		accounts: c.accounts,
		byKey:    make(map[string]*Account, len(c.keys)),
		tiers:    c.tiers,
		pools:    make(map[PoolName]*PoolView, len(c.pools)),
		models:   c.models,
	}
	for hash, name := range c.keys {
		s.byKey[hash] = c.accounts[name]
	}
	for name, pool := range c.pools {
		s.pools[name] = &PoolView{Pool: *pool, Zones: map[Zone]bool{}}
	}
	for _, target := range c.targets {
		view := s.pools[target.Pool]
		view.Targets = append(view.Targets, target)
		view.Zones[target.Zone] = true
	}
	for _, view := range s.pools {
		slices.SortFunc(view.Targets, func(a, b *Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	return s, nil
}

// HashKey returns the hex SHA-256 digest under which a key is stored.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// AccountByKey returns the account that a bearer key belongs to, or nil. The look-up
// goes by the digest of the key, so its timing reveals nothing about stored keys.
func (s *Snapshot) AccountByKey(key string) *Account { return s.byKey[HashKey(key)] }

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

// Route finds the pool for a model named as "model" or "model@version". It returns
// false if the model or version does not exist.
func (s *Snapshot) Route(requested string) (Route, bool) {
	name, version, _ := strings.Cut(requested, "@")
	model := s.models[ModelName(name)]
	if model == nil {
		return Route{}, false
	}
	wanted := VersionName(version)
	if wanted == "" {
		wanted = model.Default
	}
	for _, v := range model.Versions {
		if v.Name != wanted {
			continue
		}
		served := v.ServedName
		if served == "" {
			served = name
		}
		return Route{Pool: s.pools[v.Pool], Version: v.Name, ServedName: served}, true
	}
	return Route{}, false
}
