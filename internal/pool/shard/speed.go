package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// minMeasuredPromptTokens is the smallest prompt that is used as a sample. Below it, prefill is
	// not the main part of the time to the first token.
	minMeasuredPromptTokens = 2000
	// medianStep is the factor by which one sample changes the estimated median.
	medianStep = 1.03
	// defaultPromptTokenUS is the prefill time per prompt token until one has been measured.
	defaultPromptTokenUS = 20
)

// speeds holds estimates of the speed of a pool's targets.
type speeds struct {
	// decodeUS is the mean time between tokens over all targets.
	decodeUS float64
	// promptTokenUS is the prefill time per prompt token at a target of average speed. A target is
	// assumed to be slower at prefill by the same factor as at decoding.
	promptTokenUS float64
}

// record adds the sample of a completed answer.
func (p *speeds) record(t *target, f wire.Finish) {
	if f.DecodeUS > 0 {
		if p.decodeUS == 0 {
			p.decodeUS = float64(f.DecodeUS)
		}
		p.decodeUS += (float64(f.DecodeUS) - p.decodeUS) / meanDivisor
	}
	if f.PromptTokens < minMeasuredPromptTokens || f.FirstTokenMS <= 0 {
		return
	}
	sample := float64(f.FirstTokenMS) * 1000 / float64(f.PromptTokens) / p.slowness(t)
	switch {
	case p.promptTokenUS == 0:
		p.promptTokenUS = sample
	case sample > p.promptTokenUS:
		p.promptTokenUS *= medianStep
	default:
		p.promptTokenUS /= medianStep
	}
}

// slowness returns the target's time per token relative to the mean of the pool.
func (p *speeds) slowness(t *target) float64 {
	if p.decodeUS == 0 || t.speedSamples < minSamples {
		return 1
	}
	return t.decodeUS / p.decodeUS
}

// prefillTime estimates the time that the target needs to process the part of the prompt that it does not
// hold.
func (p *speeds) prefillTime(t *target, q *request) time.Duration {
	return p.readTime(t, q.PromptTokens-t.cachedTokens(q))
}

// readTime estimates the time that the target needs to process prompt tokens.
func (p *speeds) readTime(t *target, tokens int) time.Duration {
	perToken := p.promptTokenUS
	if perToken == 0 {
		perToken = defaultPromptTokenUS
	}
	return time.Duration(float64(tokens) * perToken * p.slowness(t) * float64(time.Microsecond))
}

// answerStart estimates when the answer would begin at the target, which processes prompts one
// after another.
func (s *Shard) answerStart(now time.Time, q *request, t *target) time.Time {
	start := now
	if t.prefillUntil.After(now) {
		start = t.prefillUntil
	}
	return start.Add(s.speeds.prefillTime(t, q))
}

// startsInTime reports whether the answer would probably begin in time at the target. It is true
// for plain services and for requests that are late or have no objective.
func (s *Shard) startsInTime(now time.Time, q *request, t *target) bool {
	if !t.engine || q.tier.late || q.answerStartBy.IsZero() {
		return true
	}
	return !s.answerStart(now, q, t).After(q.answerStartBy)
}
