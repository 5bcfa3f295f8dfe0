package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// inFlightRetryAfter is the retry hint when an account has too many requests in flight.
const inFlightRetryAfter = time.Second

// limits stores the request rate and the number of requests in flight of each account at this host.
type limits struct {
	accounts sync.Map // object.AccountName to *accountLimit.
}

type accountLimit struct {
	inFlight atomic.Int64
	rate     *rate.Limiter
}

func newLimits() *limits { return &limits{} }

// admit admits one request of an account if the limits of the account allow it. The returned
// function must be called when the request has ended.
func (l *limits) admit(a *object.Account) (func(), error) {
	value, found := l.accounts.Load(a.Name)
	if !found {
		value, _ = l.accounts.LoadOrStore(a.Name, &accountLimit{rate: rate.NewLimiter(rate.Inf, 1)})
	}
	limit := value.(*accountLimit)
	if a.RequestsPerSecond > 0 {
		if wait := limit.reserve(a.RequestsPerSecond); wait > 0 {
			return nil, outcome.Refuse(outcome.AccountLimit, wait, "the account may send %g requests per second to this host", a.RequestsPerSecond)
		}
	}
	if n := limit.inFlight.Add(1); a.MaxInFlight > 0 && n > int64(a.MaxInFlight) {
		limit.inFlight.Add(-1)
		return nil, outcome.Refuse(outcome.AccountLimit, inFlightRetryAfter, "the account may have %d requests in flight at this host", a.MaxInFlight)
	}
	return func() { limit.inFlight.Add(-1) }, nil
}

// reserve consumes one request of the rate limit. If none is available, it consumes nothing and
// returns the time until one is.
func (l *accountLimit) reserve(perSecond float64) time.Duration {
	if l.rate.Limit() != rate.Limit(perSecond) {
		l.rate.SetLimit(rate.Limit(perSecond))
		l.rate.SetBurst(max(int(perSecond), 1))
	}
	reservation := l.rate.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait
}
