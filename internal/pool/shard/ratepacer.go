package shard

import (
	"math"
	"time"
)

// rateBurst is the time whose requests may be sent to a target at once.
const rateBurst = 100 * time.Millisecond

// RatePacer spaces the requests to a target evenly by a rate limit. It starts without a reserve of
// requests, so that a new arbiter, which has no record of what others have just sent, adds no burst.
// It is not safe for concurrent use.
type RatePacer struct {
	perSecond float64
	bucket    tokenBucket
}

// NewRatePacer creates a pacer. level is the part of the next request that has already accumulated,
// from 0 to 1.
func NewRatePacer(now time.Time, perSecond, level float64) RatePacer {
	return RatePacer{perSecond: perSecond, bucket: tokenBucket{level: level, updatedAt: now}}
}

// SetRate changes the rate.
func (p *RatePacer) SetRate(now time.Time, perSecond float64) {
	p.refill(now)
	p.perSecond = perSecond
	p.bucket.level = min(p.bucket.level, p.capacity())
}

// Allows reports whether a request may be sent now.
func (p *RatePacer) Allows(now time.Time) bool {
	p.refill(now)
	return p.bucket.level >= 1-levelTolerance
}

// Take counts a request that is sent now.
func (p *RatePacer) Take(now time.Time) {
	p.refill(now)
	p.bucket.level--
}

// OpensAt returns when the next request may be sent.
func (p *RatePacer) OpensAt(now time.Time) time.Time {
	if p.Allows(now) {
		return now
	}
	seconds := (1 - p.bucket.level) / p.perSecond
	return now.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
}

// levelTolerance is the rounding error of the level.
const levelTolerance = 1e-6

func (p *RatePacer) refill(now time.Time) { p.bucket.refill(now, p.perSecond, p.capacity()) }

func (p *RatePacer) capacity() float64 { return max(1, p.perSecond*rateBurst.Seconds()) }
