package notice

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// MinRateLimit is the lowest rate limit that is applied, in requests per second. A target with
	// less would get no request in whose answer it could raise its limit.
	MinRateLimit wire.RequestRate = 0.1
	// MaxRateLimit is the highest rate limit that is applied, in requests per second.
	MaxRateLimit wire.RequestRate = 1e6
)

// confirmInterval is the resolution of the time at which a limit was last named.
const confirmInterval = 100 * time.Millisecond

// rateReport is the rate limit that one or several answers of a target named. The zero value means
// that no answer is known.
type rateReport struct {
	// perSecond is 0 if the answers named no limit.
	perSecond wire.RequestRate
	// sentAt is when the request of the latest of these answers was sent, answeredAt when the answer
	// arrived. The target sent the answer in between.
	sentAt, answeredAt time.Time
}

func newRateReport(now time.Time, n wire.RateNotice) rateReport {
	answeredAge := max(n.AnsweredAgeUS, 0)
	sentAge := max(n.SentAgeUS, answeredAge)
	return rateReport{
		perSecond:  boundRate(n.PerSecond),
		sentAt:     now.Add(-time.Duration(sentAge) * time.Microsecond),
		answeredAt: now.Add(-time.Duration(answeredAge) * time.Microsecond),
	}
}

// boundRate returns a valid rate limit: 0, or one between MinRateLimit and MaxRateLimit.
func boundRate(perSecond wire.RequestRate) wire.RequestRate {
	if !(perSecond > 0) {
		return 0
	}
	return min(max(perSecond, MinRateLimit), MaxRateLimit)
}

// merge returns the report that applies after another one. Answers may arrive in another order than
// the target sent them, directly or through other hosts. If the times cannot tell which of two answers
// was sent later, the lower limit applies: the next answer corrects it.
func (r rateReport) merge(other rateReport) rateReport {
	switch {
	case r.answeredAt.IsZero() || other.sentAt.After(r.answeredAt):
		return other.confirmed(r)
	case other.answeredAt.Before(r.sentAt):
		return r
	case other.perSecond == r.perSecond:
		return other.confirmed(r)
	case other.stricterThan(r):
		return other
	}
	return r
}

// confirmed returns the report with the later times of both if both name the same limit. Small
// differences are ignored.
func (r rateReport) confirmed(previous rateReport) rateReport {
	if r.perSecond != previous.perSecond || previous.answeredAt.IsZero() {
		return r
	}
	if r.answeredAt.Sub(previous.answeredAt) < confirmInterval {
		return previous
	}
	return r
}

func (r rateReport) stricterThan(other rateReport) bool {
	return r.perSecond > 0 && (other.perSecond == 0 || r.perSecond < other.perSecond)
}

// notice returns the report as part of a message, nil if no answer is known.
func (r rateReport) notice(now time.Time) *wire.RateNotice {
	if r.answeredAt.IsZero() {
		return nil
	}
	return &wire.RateNotice{
		PerSecond: r.perSecond, SentAgeUS: now.Sub(r.sentAt).Microseconds(), AnsweredAgeUS: now.Sub(r.answeredAt).Microseconds(),
	}
}

// ParseRateLimit reads the rate limits that one answer names, and returns the lowest valid one within
// the bounds, or 0 if the answer names none. known is false if none of the values is valid. The
// error names an invalid or bounded value.
func ParseRateLimit(values []string) (limit wire.RequestRate, known bool, err error) {
	if len(values) == 0 {
		return 0, true, nil
	}
	for value := range strings.SplitSeq(strings.Join(values, ","), ",") {
		rate, parseErr := parseRate(strings.TrimSpace(value))
		if parseErr != nil {
			err = parseErr
			continue
		}
		bounded := min(max(rate, MinRateLimit), MaxRateLimit)
		if bounded != rate {
			err = fmt.Errorf("rate limit: %q is not between %g and %g", value, MinRateLimit, MaxRateLimit)
		}
		if !known || bounded < limit {
			limit, known = bounded, true
		}
	}
	return limit, known, err
}

// parseRate reads a decimal number of requests per second. It returns an infinite rate for a number
// that is too large.
func parseRate(text string) (wire.RequestRate, error) {
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return wire.RequestRate(value), nil
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, fmt.Errorf("rate limit: %q is not a number of requests per second", text)
	case value < 0:
		return 0, fmt.Errorf("rate limit: %q is negative", text)
	}
	return wire.RequestRate(value), nil
}
