package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

// TestRequestThatCrashesTargetsIsHeld guards against one request that returns again and again and ends every target of a
// service, although its hosts see each crash (issue 60, BUDGET).
func TestRequestThatCrashesTargetsIsHeld(t *testing.T) {
	rows := []struct {
		name    string
		targets int
		change  func(r *requestReplay)
		play    time.Duration
	}{
		{"three targets", 3, func(*requestReplay) {}, 30 * time.Second},
		{"three targets, seven at once", 3, func(r *requestReplay) { r.parallel = 7; r.interval = 4 * time.Second }, 30 * time.Second},
		{"not sent again by hosts and callers", 3, func(r *requestReplay) { r.attempts, r.tries = 1, 1 }, 40 * time.Second},
		{"targets return under their names", 3, func(r *requestReplay) { r.sameName = true }, 30 * time.Second},
		{"twelve targets", 12, func(r *requestReplay) { r.interval = 300 * time.Millisecond }, 30 * time.Second},
		{"twelve targets, nothing else", 12, func(r *requestReplay) { r.interval = 500 * time.Millisecond; r.soundPerSecond = 0 }, 30 * time.Second},
		{"twelve targets, six at once", 12, func(r *requestReplay) { r.parallel = 6 }, 30 * time.Second},
		{"each five seconds, nothing else", 12, func(r *requestReplay) {
			r.interval = 5 * time.Second
			r.soundPerSecond = 0.25
			r.attempts, r.tries = 1, 1
		}, time.Minute},
		{"each minute, and ten more", 12, func(r *requestReplay) {
			r.interval = 61 * time.Second
			r.soundPerSecond = 1
			r.attempts, r.tries = 1, 1
		}, 15 * time.Minute},
		{"prompts that share parts with sound ones", 12, func(r *requestReplay) { r.prefixes = true; r.soundPerSecond = 60; r.answer = 400 * time.Millisecond }, 30 * time.Second},
		{"two such requests", 12, func(r *requestReplay) { r.poisons = 2 }, 30 * time.Second},
		{"five such requests", 12, func(r *requestReplay) { r.poisons = 5; r.interval = 3 * time.Second }, time.Minute},
	}
	for _, row := range rows {
		for seed := range uint64(replaySeeds / 2) {
			t.Run(fmt.Sprintf("%s/seed=%d", row.name, seed), func(t *testing.T) {
				r := newRequestReplay(t, seed, row.targets)
				row.change(r)
				r.nextPoison = r.now.Add(2 * time.Second)
				r.play(row.play)
				for i := range r.poisons {
					f := crashedFingerprint + wire.Fingerprint(i)
					require.LessOrEqual(t, r.late(f), lateLimit, "%d crashes by request %d", len(r.crashed[f]), f)
				}
				sound, served := r.sound, r.served
				r.play(10 * time.Second)
				require.GreaterOrEqual(t, float64(r.served-served), 0.9*float64(r.sound-sound)-1, "sound requests run")
			})
		}
	}
}

// TestNewArbiterHoldsTheRequest moves the requests to a new arbiter after each of the first crashes. It knows what the
// former one has announced.
func TestNewArbiterHoldsTheRequest(t *testing.T) {
	for _, crashes := range []int{1, 2, 3, 4} {
		t.Run(fmt.Sprint("after crash ", crashes), func(t *testing.T) {
			r := newRequestReplay(t, 1, 12)
			r.attempts, r.tries, r.interval = 1, 1, time.Second
			for len(r.crashed[crashedFingerprint]) < crashes && r.now.Before(time.Unix(1030, 0)) {
				r.play(replayStep)
			}
			r.newArbiter()
			r.play(30 * time.Second)
			require.LessOrEqual(t, r.late(crashedFingerprint), lateLimit, "%d crashes", len(r.crashed[crashedFingerprint]))
		})
	}
}

// TestOrdinaryCrashesHoldNoRequest replays crashes that no request causes, among identical requests of one account.
func TestOrdinaryCrashesHoldNoRequest(t *testing.T) {
	faults := []struct {
		name    string
		targets int
		fault   func(r *requestReplay)
	}{
		{"a third of the targets at once", 12, func(r *requestReplay) {
			for i := range 4 {
				r.crash(targetName(i))
			}
		}},
		{"all targets at once", 3, func(r *requestReplay) {
			for i := range 3 {
				r.crash(targetName(i))
			}
		}},
		{"one target after the other", 12, func(r *requestReplay) {
			for i := range 12 {
				r.crash(targetName(i))
				r.play(300 * time.Millisecond)
			}
		}},
	}
	for _, row := range faults {
		for _, answer := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond} {
			for seed := range uint64(replaySeeds / 2) {
				t.Run(fmt.Sprintf("%s/%v/seed=%d", row.name, answer, seed), func(t *testing.T) {
					r := newRequestReplay(t, seed, row.targets)
					r.poisons, r.identical, r.answer, r.soundPerSecond = 0, true, answer, 10
					r.play(2 * time.Second)
					row.fault(r)
					r.play(5 * time.Second)
					require.Zero(t, r.refused[outcome.Reason("request-held")])
					sound, served := r.sound, r.served
					r.play(10 * time.Second)
					require.GreaterOrEqual(t, float64(r.served-served), 0.9*float64(r.sound-sound)-1, "identical requests run")
				})
			}
		}
	}
}
