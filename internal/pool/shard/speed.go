package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// measuredPrompt is the size in tokens from which the time until an answer begins is
	// mostly that of reading the prompt.
	measuredPrompt = 2000
	// medianStep is the factor by which one sample moves the estimate of a median.
	medianStep = 1.03
	// startedPrompt is the time in microseconds for a token of a prompt until one is measured.
	startedPrompt = 20
)

// speeds is what a pool has learned about the speed of its targets.
type speeds struct {
	// decode is the mean time between tokens over all targets, in microseconds.
	decode float64
	// prompt is the time for one token of a prompt at a target of mean speed, in microseconds.
	// Targets read prompts as much slower than others as they generate slower.
	prompt float64
}

// learn takes in a completed answer of a target.
func (p *speeds) learn(t *target, f wire.Finish) {
	if f.DecodeUS > 0 {
		if p.decode == 0 {
			p.decode = float64(f.DecodeUS)
		}
		p.decode += (float64(f.DecodeUS) - p.decode) / meanWeight
	}
	if f.PromptTokens < measuredPrompt || f.FirstTokenMS <= 0 {
		return
	}
	sample := float64(f.FirstTokenMS) * 1000 / float64(f.PromptTokens) / p.slowness(t)
	switch {
	case p.prompt == 0:
		p.prompt = sample
	case sample > p.prompt:
		p.prompt *= medianStep
	default:
		p.prompt /= medianStep
	}
}

// slowness returns how many times as long as others a target needs.
func (p *speeds) slowness(t *target) float64 {
	if p.decode == 0 || t.samples < minSamples {
		return 1
	}
	return t.decode / p.decode
}

// reading returns how long the target reads a prompt.
func (p *speeds) reading(t *target, q *request) time.Duration {
	perToken := p.prompt
	if perToken == 0 {
		perToken = startedPrompt
	}
	return time.Duration(float64(q.PromptTokens) * perToken * p.slowness(t) * float64(time.Microsecond))
}

// begins returns when the answer to the request would begin at the target, which reads the
// prompts that it has got one after the other.
func (s *Shard) begins(now time.Time, q *request, t *target) time.Time {
	start := now
	if t.readingUntil.After(now) {
		start = t.readingUntil
	}
	return start.Add(s.speeds.reading(t, q))
}

// inTime reports whether the answer would probably begin in time at the target. It is
// always true of a request that is late or has no objective.
func (s *Shard) inTime(now time.Time, q *request, t *target) bool {
	if !t.engine || q.tier.late || q.beginBy.IsZero() {
		return true
	}
	return !s.begins(now, q, t).After(q.beginBy)
}
