package object

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Defaults of optional fields.
const (
	DefaultWeight       = 1
	DefaultQueueTimeout = Duration(10 * time.Second)
	DefaultPreemptAfter = Duration(200 * time.Millisecond)
	DefaultQueueLimit   = 10_000
	DefaultIdleTimeout  = Duration(2 * time.Second)
	DefaultSlots        = 8

	DefaultSilenceTimeout = Duration(time.Minute)

	maxSlots   = 4096
	maxWeight  = 1_000_000
	keyHashLen = 64 // Hex digits of a SHA-256 digest.
)

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker collects every fault of a set.
type checker struct {
	faults   []error
	accounts map[AccountName]*Account
	tiers    map[TierName]*Tier
	pools    map[PoolName]*Pool
	targets  map[TargetName]*Target
	models   map[ModelName]*Model
	routes   map[RouteName]*Route
	keys     map[string]AccountName
	seen     map[Key]bool
}

func (c *checker) fault(o Object, field, format string, args ...any) {
	c.faults = append(c.faults, fmt.Errorf("%s: %s: %s", KeyOf(o), field, fmt.Sprintf(format, args...)))
}

// Check verifies a whole set of objects and returns every fault with object and field.
func Check(objects []Object) error {
	_, err := index(objects)
	return err
}

// index files the objects by name, fills in defaults and checks the set.
func index(objects []Object) (*checker, error) {
	c := &checker{
		accounts: map[AccountName]*Account{},
		tiers:    map[TierName]*Tier{},
		pools:    map[PoolName]*Pool{},
		targets:  map[TargetName]*Target{},
		models:   map[ModelName]*Model{},
		routes:   map[RouteName]*Route{},
		keys:     map[string]AccountName{},
		seen:     map[Key]bool{},
	}
	for _, o := range objects {
		c.add(o)
	}
	c.checkAccounts()
	c.checkTiers()
	c.checkPools()
	c.checkTargets()
	c.checkModels()
	c.checkRoutes()
	return c, errors.Join(c.faults...)
}

func (c *checker) add(o Object) {
	key := KeyOf(o)
	if !nameForm.MatchString(key.Name) {
		c.fault(o, "name", "%q is not made of lower-case letters, digits, dots and hyphens (at most 63)", key.Name)
	}
	if c.seen[key] {
		c.fault(o, "name", "defined more than once")
		return
	}
	c.seen[key] = true
	switch o := o.(type) {
	case *Account:
		account := *o
		setDefault(&account.Weight, DefaultWeight)
		c.accounts[o.Name] = &account
	case *Tier:
		tier := *o
		setDefault(&tier.QueueTimeout, DefaultQueueTimeout)
		setDefault(&tier.PreemptAfter, min(DefaultPreemptAfter, tier.QueueTimeout/2))
		c.tiers[o.Name] = &tier
	case *Pool:
		pool := *o
		setDefault(&pool.QueueLimit, DefaultQueueLimit)
		setDefault(&pool.EventTokens, 1)
		setDefault(&pool.IdleTimeout, DefaultIdleTimeout)
		setDefault(&pool.SilenceTimeout, max(DefaultSilenceTimeout, pool.IdleTimeout))
		c.pools[o.Name] = &pool
	case *Target:
		target := *o
		setDefault(&target.Slots, DefaultSlots)
		c.targets[o.Name] = &target
	case *Model:
		model := *o
		c.models[o.Name] = &model
	case *Route:
		route := *o
		setDefault(&route.MaxAttempts, 1)
		c.routes[o.Name] = &route
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *checker) checkAccounts() {
	for _, a := range c.accounts {
		if len(a.Tiers) == 0 {
			c.fault(a, "tiers", "at least one tier is needed")
		}
		for _, tier := range a.Tiers {
			if c.tiers[tier] == nil {
				c.fault(a, "tiers", "tier %q does not exist", tier)
			}
		}
		if a.Weight < 1 || a.Weight > maxWeight {
			c.fault(a, "weight", "%d is not between 1 and %d", a.Weight, maxWeight)
		}
		if a.MaxInFlight < 0 {
			c.fault(a, "max-in-flight", "%d is negative", a.MaxInFlight)
		}
		if a.RequestsPerSecond < 0 {
			c.fault(a, "requests-per-second", "%g is negative", a.RequestsPerSecond)
		}
		if a.RouteTier != "" && c.tiers[a.RouteTier] == nil {
			c.fault(a, "route-tier", "tier %q does not exist", a.RouteTier)
		}
		if a.Quota != nil && !a.Quota.valid() {
			c.fault(a, "quota", "needs a positive rate, and nothing may be negative")
		}
		c.checkKeyHashes(a)
	}
}

func (q *Quota) valid() bool {
	return q.PerSecond > 0 && min(q.Burst, q.PlainTokens, float64(q.Window), q.Overage, q.Slack) >= 0
}

func (c *checker) checkKeyHashes(a *Account) {
	if len(a.KeyHashes) == 0 && !a.Revoked {
		c.fault(a, "key-hashes", "at least one key is needed")
	}
	for _, hash := range a.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != keyHashLen {
			c.fault(a, "key-hashes", "a key hash is not a hex SHA-256 digest")
			continue
		}
		if other, taken := c.keys[hash]; taken {
			c.fault(a, "key-hashes", "a key is shared with account/%s", other)
		}
		c.keys[hash] = a.Name
	}
}

func (c *checker) checkTiers() {
	used := map[TierName]bool{}
	for _, a := range c.accounts {
		for _, tier := range a.Tiers {
			used[tier] = true
		}
	}
	for _, a := range c.accounts {
		used[a.RouteTier] = true
	}
	for _, r := range c.routes {
		used[r.Tier] = true
	}
	priorities := map[int]TierName{}
	for _, t := range c.tiers {
		if !used[t.Name] {
			c.fault(t, "name", "no account may use this tier and no route has it")
		}
		if other, taken := priorities[t.Priority]; taken {
			c.fault(t, "priority", "%d is also the priority of tier/%s", t.Priority, other)
		}
		priorities[t.Priority] = t.Name
		if t.QueueTimeout < 0 {
			c.fault(t, "queue-timeout", "is negative")
		}
		// Preemption must have time to free a slot before the wait ends.
		if t.PreemptAfter < 0 || t.PreemptAfter > t.QueueTimeout/2 {
			c.fault(t, "preempt-after", "is not between 0 and half of queue-timeout")
		}
	}
}

func (c *checker) checkPools() {
	size := map[PoolName]int{}
	for _, t := range c.targets {
		size[t.Pool]++
	}
	for _, p := range c.pools {
		if p.Type != EnginePool && p.Type != ServicePool {
			c.fault(p, "type", "%q is neither %q nor %q", p.Type, EnginePool, ServicePool)
		}
		if size[p.Name] == 0 && !p.Discovered {
			c.fault(p, "name", "no target belongs to this pool")
		}
		if p.QueueLimit < 1 {
			c.fault(p, "queue-limit", "%d is less than 1", p.QueueLimit)
		}
		if p.EventTokens < 1 {
			c.fault(p, "event-tokens", "%d is less than 1", p.EventTokens)
		}
		if p.IdleTimeout < 0 {
			c.fault(p, "idle-timeout", "is negative")
		}
		if p.SilenceTimeout < p.IdleTimeout {
			c.fault(p, "silence-timeout", "is shorter than idle-timeout")
		}
	}
}

func (c *checker) checkTargets() {
	for _, t := range c.targets {
		if c.pools[t.Pool] == nil {
			c.fault(t, "pool", "pool %q does not exist", t.Pool)
		}
		c.checkTarget(t)
	}
}

func (c *checker) checkTarget(t *Target) {
	if t.Zone == "" {
		c.fault(t, "zone", "is missing")
	}
	address, err := url.Parse(t.Address)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		c.fault(t, "address", "%q is not an http or https URL", t.Address)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		c.fault(t, "slots", "%d is not between 1 and %d", t.Slots, maxSlots)
	}
}

// CheckTarget checks a target that was found by service discovery, and fills in its
// defaults. Its pool may not exist yet.
func CheckTarget(t *Target) error {
	setDefault(&t.Slots, DefaultSlots)
	c := &checker{seen: map[Key]bool{}}
	if !nameForm.MatchString(string(t.Name)) {
		c.fault(t, "name", "%q is not made of lower-case letters, digits, dots and hyphens (at most 63)", t.Name)
	}
	c.checkTarget(t)
	return errors.Join(c.faults...)
}

func (c *checker) checkModels() {
	for _, m := range c.models {
		if len(m.Versions) == 0 {
			c.fault(m, "versions", "at least one version is needed")
		}
		found := false
		names := map[VersionName]bool{}
		for _, v := range m.Versions {
			found = found || v.Name == m.Default
			if names[v.Name] {
				c.fault(m, "versions", "version %q is defined more than once", v.Name)
			}
			names[v.Name] = true
			pool := c.pools[v.Pool]
			if pool == nil {
				c.fault(m, "versions", "version %q: pool %q does not exist", v.Name, v.Pool)
			} else if pool.Type != EnginePool {
				c.fault(m, "versions", "version %q: pool %q is not an engine pool", v.Name, v.Pool)
			}
		}
		if !found {
			c.fault(m, "default", "version %q does not exist", m.Default)
		}
	}
}

func (c *checker) checkRoutes() {
	taken := map[routeKey]RouteName{}
	for _, r := range c.routes {
		key := routeKey{r.Host, r.PathPrefix}
		if other, found := taken[key]; found {
			c.fault(r, "path-prefix", "host and path are also those of route/%s", other)
		}
		taken[key] = r.Name
		if r.Host == "" {
			c.fault(r, "host", "is missing")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			c.fault(r, "path-prefix", "%q does not begin and end with a slash", r.PathPrefix)
		}
		if r.Execution != Idempotent && r.Execution != NonIdempotent && r.Execution != Stream {
			c.fault(r, "execution", "%q is not %q, %q or %q", r.Execution, Idempotent, NonIdempotent, Stream)
		}
		if c.tiers[r.Tier] == nil {
			c.fault(r, "tier", "tier %q does not exist", r.Tier)
		}
		if r.Timeout < 0 || r.Objective < 0 || r.EventGap < 0 {
			c.fault(r, "timeout", "timeout, objective or event-gap is negative")
		}
		if r.MaxAttempts < 1 {
			c.fault(r, "max-attempts", "%d is less than 1", r.MaxAttempts)
		}
		c.checkRoutePools(r)
	}
}

func (c *checker) checkRoutePools(r *Route) {
	total := 0
	for _, share := range r.Pools {
		total += share.Weight
		if c.pools[share.Pool] == nil {
			c.fault(r, "pools", "pool %q does not exist", share.Pool)
		}
		if share.Weight < 0 {
			c.fault(r, "pools", "the weight of pool %q is negative", share.Pool)
		}
	}
	if total <= 0 {
		c.fault(r, "pools", "no pool has a weight")
	}
}
