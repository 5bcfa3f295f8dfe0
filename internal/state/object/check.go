package object

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/url"
	"regexp"
	"slices"
	"strconv"
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
	keyHashLen = 64 // Number of hex digits of a SHA-256 digest.
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker indexes a set of objects by name and collects all its errors.
type checker struct {
	errs                 []error
	accounts             map[AccountName]*Account
	tiers                map[TierName]*Tier
	pools                map[PoolName]*Pool
	targets              map[TargetName]*Target
	models               map[ModelName]*Model
	routes               map[RouteName]*Route
	accountNameByKeyHash map[string]AccountName
	seen                 map[Key]bool
}

func (c *checker) addError(o Object, field, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", KeyOf(o), field, fmt.Sprintf(format, args...)))
}

// Check validates a whole set of objects. The returned error lists every error with its
// object and field.
func Check(objects []Object) error {
	_, err := indexObjects(objects)
	return err
}

// indexObjects indexes the objects by name, sets defaults and validates the set.
func indexObjects(objects []Object) (*checker, error) {
	c := &checker{
		accounts:             map[AccountName]*Account{},
		tiers:                map[TierName]*Tier{},
		pools:                map[PoolName]*Pool{},
		targets:              map[TargetName]*Target{},
		models:               map[ModelName]*Model{},
		routes:               map[RouteName]*Route{},
		accountNameByKeyHash: map[string]AccountName{},
		seen:                 map[Key]bool{},
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
	return c, errors.Join(c.errs...)
}

func (c *checker) add(o Object) {
	key := KeyOf(o)
	if !namePattern.MatchString(key.Name) {
		c.addError(o, "name", "%q is not made of lower-case letters, digits, dots and hyphens (at most 63)", key.Name)
	}
	if c.seen[key] {
		c.addError(o, "name", "defined more than once")
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

// byName returns the objects sorted by name, so that of two objects in conflict the errors always
// name the same one.
func byName[N ~string, O any](objects map[N]O) []O {
	result := make([]O, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		result = append(result, objects[name])
	}
	return result
}

func (c *checker) checkAccounts() {
	for _, a := range byName(c.accounts) {
		if len(a.Tiers) == 0 {
			c.addError(a, "tiers", "at least one tier is needed")
		}
		for _, tier := range a.Tiers {
			if c.tiers[tier] == nil {
				c.addError(a, "tiers", "tier %q does not exist", tier)
			}
		}
		if a.Weight < 1 || a.Weight > maxWeight {
			c.addError(a, "weight", "%d is not between 1 and %d", a.Weight, maxWeight)
		}
		if a.MaxInFlight < 0 {
			c.addError(a, "max-in-flight", "%d is negative", a.MaxInFlight)
		}
		if a.RequestsPerSecond < 0 {
			c.addError(a, "requests-per-second", "%g is negative", a.RequestsPerSecond)
		}
		if a.RouteTier != "" && c.tiers[a.RouteTier] == nil {
			c.addError(a, "route-tier", "tier %q does not exist", a.RouteTier)
		}
		if a.Quota != nil && !a.Quota.valid() {
			c.addError(a, "quota", "needs a positive rate, and nothing may be negative")
		}
		c.checkKeyHashes(a)
	}
}

func (q *Quota) valid() bool {
	return q.PerSecond > 0 && min(q.Burst, q.DefaultTokens, float64(q.Window), q.Overage, q.Slack) >= 0
}

func (c *checker) checkKeyHashes(a *Account) {
	if len(a.KeyHashes) == 0 && !a.Revoked {
		c.addError(a, "key-hashes", "at least one key is needed")
	}
	for _, hash := range a.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != keyHashLen {
			c.addError(a, "key-hashes", "a key hash is not a hex SHA-256 digest")
			continue
		}
		if other, exists := c.accountNameByKeyHash[hash]; exists {
			c.addError(a, "key-hashes", "a key is shared with account/%s", other)
		}
		c.accountNameByKeyHash[hash] = a.Name
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
			c.addError(t, "name", "no account may use this tier and no route has it")
		}
		if other, exists := priorities[t.Priority]; exists {
			c.addError(t, "priority", "%d is also the priority of tier/%s", t.Priority, other)
		}
		priorities[t.Priority] = t.Name
		if t.QueueTimeout < 0 {
			c.addError(t, "queue-timeout", "is negative")
		}
		// Preemption needs time to free a slot before the queue timeout.
		if t.PreemptAfter < 0 || t.PreemptAfter > t.QueueTimeout/2 {
			c.addError(t, "preempt-after", "is not between 0 and half of queue-timeout")
		}
	}
}

func (c *checker) checkPools() {
	targetCount := map[PoolName]int{}
	for _, t := range c.targets {
		targetCount[t.Pool]++
	}
	for _, p := range c.pools {
		if p.Type != EnginePool && p.Type != ServicePool {
			c.addError(p, "type", "%q is neither %q nor %q", p.Type, EnginePool, ServicePool)
		}
		if targetCount[p.Name] == 0 && !p.Discovered {
			c.addError(p, "name", "no target belongs to this pool")
		}
		if p.QueueLimit < 1 {
			c.addError(p, "queue-limit", "%d is less than 1", p.QueueLimit)
		}
		if p.EventTokens < 1 {
			c.addError(p, "event-tokens", "%d is less than 1", p.EventTokens)
		}
		if p.IdleTimeout < 0 {
			c.addError(p, "idle-timeout", "is negative")
		}
		if p.SilenceTimeout < p.IdleTimeout {
			c.addError(p, "silence-timeout", "is shorter than idle-timeout")
		}
	}
}

func (c *checker) checkTargets() {
	for _, t := range c.targets {
		if c.pools[t.Pool] == nil {
			c.addError(t, "pool", "pool %q does not exist", t.Pool)
		}
		c.checkTarget(t)
	}
}

func (c *checker) checkTarget(t *Target) {
	if t.Zone == "" {
		c.addError(t, "zone", "is missing")
	}
	address, err := url.Parse(t.Address)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		c.addError(t, "address", "%q is not an http or https URL", t.Address)
	} else if !validPort(address.Port()) {
		c.addError(t, "address", "%q has a port that is not between 1 and %d", t.Address, math.MaxUint16)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		c.addError(t, "slots", "%d is not between 1 and %d", t.Slots, maxSlots)
	}
}

// validPort reports whether the port of an address is in range or not given.
func validPort(port string) bool {
	if port == "" {
		return true
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// CheckTarget sets the defaults of a discovered target and validates it. The pool of the
// target need not exist yet.
func CheckTarget(t *Target) error {
	setDefault(&t.Slots, DefaultSlots)
	c := &checker{seen: map[Key]bool{}}
	if !namePattern.MatchString(string(t.Name)) {
		c.addError(t, "name", "%q is not made of lower-case letters, digits, dots and hyphens (at most 63)", t.Name)
	}
	c.checkTarget(t)
	return errors.Join(c.errs...)
}

func (c *checker) checkModels() {
	for _, m := range c.models {
		if len(m.Versions) == 0 {
			c.addError(m, "versions", "at least one version is needed")
		}
		defaultExists := false
		defined := map[VersionName]bool{}
		for _, v := range m.Versions {
			defaultExists = defaultExists || v.Name == m.Default
			if defined[v.Name] {
				c.addError(m, "versions", "version %q is defined more than once", v.Name)
			}
			defined[v.Name] = true
			pool := c.pools[v.Pool]
			if pool == nil {
				c.addError(m, "versions", "version %q: pool %q does not exist", v.Name, v.Pool)
			} else if pool.Type != EnginePool {
				c.addError(m, "versions", "version %q: pool %q is not an engine pool", v.Name, v.Pool)
			}
		}
		if !defaultExists {
			c.addError(m, "default", "version %q does not exist", m.Default)
		}
	}
}

func (c *checker) checkRoutes() {
	routeByKey := map[routeKey]RouteName{}
	for _, r := range byName(c.routes) {
		key := routeKey{r.Host, r.PathPrefix}
		if other, exists := routeByKey[key]; exists {
			c.addError(r, "path-prefix", "host and path are also those of route/%s", other)
		}
		routeByKey[key] = r.Name
		if r.Host == "" {
			c.addError(r, "host", "is missing")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			c.addError(r, "path-prefix", "%q does not begin and end with a slash", r.PathPrefix)
		}
		if r.Execution != Idempotent && r.Execution != NonIdempotent && r.Execution != Stream {
			c.addError(r, "execution", "%q is not %q, %q or %q", r.Execution, Idempotent, NonIdempotent, Stream)
		}
		if c.tiers[r.Tier] == nil {
			c.addError(r, "tier", "tier %q does not exist", r.Tier)
		}
		if r.Timeout < 0 || r.Objective < 0 || r.EventGap < 0 {
			c.addError(r, "timeout", "timeout, objective or event-gap is negative")
		}
		if r.MaxAttempts < 1 {
			c.addError(r, "max-attempts", "%d is less than 1", r.MaxAttempts)
		}
		c.checkRoutePools(r)
	}
}

func (c *checker) checkRoutePools(r *Route) {
	total := 0
	for _, weighted := range r.Pools {
		total += weighted.Weight
		if c.pools[weighted.Pool] == nil {
			c.addError(r, "pools", "pool %q does not exist", weighted.Pool)
		}
		if weighted.Weight < 0 {
			c.addError(r, "pools", "the weight of pool %q is negative", weighted.Pool)
		}
	}
	if total <= 0 {
		c.addError(r, "pools", "no pool has a weight")
	}
}
