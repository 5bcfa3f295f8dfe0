package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"redwinglock/platform/standin"
)

const (
	// restoreOdds says that one in this many runs has a store that comes back from an older copy.
	restoreOdds = 3
	// maxRestores is the maximum number of restores in a run.
	maxRestores = 2
	// copyAge bounds the age of the copy, and storeDownTime the time for which the store is away.
	minCopyAge, maxCopyAge             = 1 * time.Second, 6 * time.Second
	minStoreDownTime, maxStoreDownTime = 300 * time.Millisecond, 2 * time.Second
	// rewriteTime is the time within which the operator and the targets write again what was lost.
	rewriteTime = 1500 * time.Millisecond
	// lapseTime is the time after which the entries of targets that have left lapse.
	lapseTime = 3600 * time.Millisecond
)

// storeRestore is one planned restore of the store.
type storeRestore struct {
	// copyAt is the time of the copy since the start of the load, and downAt that of the outage.
	copyAt, downAt time.Duration
	down           time.Duration
	// rewrite is the time from the restore until the operator and the targets write again.
	rewrite time.Duration
	// servesWritersFirst is set if the hosts are served only after these writes, and another change.
	servesWritersFirst bool
}

// String describes a restore for the log of a run.
func (r storeRestore) String() string {
	return fmt.Sprintf("%6.2fs store away for %.2fs, then restored from a copy of %.2fs, serves writers first: %t",
		r.downAt.Seconds(), r.down.Seconds(), r.copyAt.Seconds(), r.servesWritersFirst)
}

// drawRestores draws the restores of a run. It has random numbers of its own, so that the faults of earlier seeds stay
// the same.
func drawRestores(seed uint64, period time.Duration) []storeRestore {
	random := rand.New(rand.NewPCG(seed, restoreOdds<<8))
	if random.IntN(restoreOdds) != 0 {
		return nil
	}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var restores []storeRestore
	at := warmUpTime
	for range 1 + random.IntN(maxRestores) {
		r := storeRestore{copyAt: at + between(0, period/3)}
		r.downAt = r.copyAt + between(minCopyAge, maxCopyAge)
		r.down = between(minStoreDownTime, maxStoreDownTime)
		r.rewrite = between(0, rewriteTime)
		r.servesWritersFirst = random.IntN(2) == 0
		restores = append(restores, r)
		at = r.downAt + r.down
	}
	return restores
}

// runRestores restores the store at the planned times.
func (s *soak) runRestores(start time.Time) {
	for _, r := range drawRestores(s.options.Seed, s.options.FaultPeriod) {
		time.Sleep(time.Until(start.Add(r.copyAt)))
		older := s.site.Store.Copy()
		time.Sleep(time.Until(start.Add(r.downAt)))
		s.restoreStore(older, r)
	}
}

// restoreStore lets the store go away and come back from a copy. Then its writers write again, and what nobody writes
// again lapses.
func (s *soak) restoreStore(older standin.StoreCopy, r storeRestore) {
	end := s.record.beginStoreFault()
	s.site.Store.SetFault(standin.Silent)
	time.Sleep(r.down)
	s.configMu.Lock()
	s.site.Store.Restore(older)
	if !r.servesWritersFirst {
		s.site.Store.SetFault(standin.Healthy)
	}
	time.Sleep(r.rewrite)
	s.site.Store.Configure(s.configuration())
	s.configMu.Unlock()
	if r.servesWritersFirst {
		s.changeConfig()
	}
	for _, t := range s.site.Targets() {
		t.WriteAgain()
	}
	s.site.Store.SetFault(standin.Healthy)
	end()
	time.Sleep(lapseTime)
	for _, t := range s.site.Targets() {
		t.Lapse()
	}
}
