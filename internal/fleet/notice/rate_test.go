package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinglock/internal/peer/wire"
)

// named returns a notice of an answer whose request was sent at the first time and that arrived at the
// second one, both in milliseconds. now is the time in milliseconds at which it is read.
func named(perSecond wire.RequestRate, sent, answered, now int64) wire.TargetNotice {
	return wire.TargetNotice{Target: "t", StartedMS: 5, Rate: &wire.RateNotice{
		PerSecond: perSecond, SentAgeUS: (now - sent) * 1000, AnsweredAgeUS: (now - answered) * 1000,
	}}
}

// TestRateLimitFollowsTheOrderOfSending reads answers in the order of their arrival, which is not the
// order in which the target sent them.
func TestRateLimitFollowsTheOrderOfSending(t *testing.T) {
	type read struct {
		perSecond           wire.RequestRate
		sent, answered, now int64
	}
	rows := []struct {
		name  string
		reads []read
		want  wire.RequestRate
	}{
		{"first named", []read{{3, 100, 200, 200}}, 3},
		{"lowered", []read{{3, 100, 200, 200}, {1, 300, 400, 400}}, 1},
		{"raised", []read{{1, 100, 200, 200}, {3, 300, 400, 400}}, 3},
		{"ended", []read{{1, 100, 200, 200}, {0, 300, 400, 400}}, 0},
		{"an old answer does not raise it", []read{{1, 300, 400, 400}, {3, 100, 200, 500}}, 1},
		{"an old answer does not end it", []read{{1, 300, 400, 400}, {0, 100, 200, 500}}, 1},
		{"an old answer does not lower it", []read{{3, 300, 400, 400}, {1, 100, 200, 500}}, 3},
		{"an old answer does not name it again", []read{{3, 0, 50, 50}, {0, 300, 400, 400}, {3, 100, 200, 500}}, 0},
		{"order unknown: the lower applies, lower first", []read{{1, 100, 400, 400}, {3, 200, 300, 400}}, 1},
		{"order unknown: the lower applies, higher first", []read{{3, 100, 400, 400}, {1, 200, 300, 400}}, 1},
		{"order unknown: a limit does not end", []read{{3, 100, 400, 400}, {0, 200, 300, 400}}, 3},
		{"named again after the answer that ends it was requested", []read{{3, 100, 200, 200}, {3, 100, 900, 900}, {0, 500, 600, 950}}, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var b *Book
			for _, r := range row.reads {
				b = b.With(time.UnixMilli(r.now), named(r.perSecond, r.sent, r.answered, r.now))
			}
			require.Equal(t, row.want, b.State("t", 5).RateLimit)
			require.Zero(t, b.State("t", 6).RateLimit, "a new run begins without a limit")
		})
	}
}

// TestRateLimitTravelsUnchanged passes a limit from book to book. The ages of the answer must grow with
// the way, so that a later answer still replaces it everywhere.
func TestRateLimitTravelsUnchanged(t *testing.T) {
	var first, second *Book
	first = first.With(time.UnixMilli(200), named(1.6, 100, 200, 200))
	n, found := first.Notice(time.UnixMilli(700), "t", 5)
	require.True(t, found)
	second = second.With(time.UnixMilli(700), n)
	require.InDelta(t, 1.6, float64(second.State("t", 5).RateLimit), 0)
	second = second.With(time.UnixMilli(800), named(0, 201, 300, 800))
	require.Zero(t, second.State("t", 5).RateLimit)
	again, _ := first.Notice(time.UnixMilli(900), "t", 5)
	require.Same(t, second, second.With(time.UnixMilli(900), again), "an older answer changes nothing")
}

func TestRateLimitsOfNoticesAreBounded(t *testing.T) {
	rows := []struct {
		name      string
		perSecond wire.RequestRate
		want      wire.RequestRate
	}{
		{"negative", -1, 0},
		{"too low", 0.0001, MinRateLimit},
		{"too high", 1e300, MaxRateLimit},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var b *Book
			b = b.With(time.UnixMilli(1000), named(row.perSecond, 1, 2, 3))
			require.Equal(t, row.want, b.State("t", 5).RateLimit)
		})
	}
}

func TestParseRateLimit(t *testing.T) {
	rows := []struct {
		name    string
		values  []string
		want    wire.RequestRate
		unknown bool
		wrong   bool
	}{
		{name: "none"},
		{name: "whole number", values: []string{"3"}, want: 3},
		{name: "fraction", values: []string{"1.6"}, want: 1.6},
		{name: "spaces", values: []string{" 0.3 "}, want: 0.3},
		{name: "zero", values: []string{"0"}, want: MinRateLimit, wrong: true},
		{name: "very low", values: []string{"0.001"}, want: MinRateLimit, wrong: true},
		{name: "very high", values: []string{"1e300"}, want: MaxRateLimit, wrong: true},
		{name: "beyond all numbers", values: []string{"1e999"}, want: MaxRateLimit, wrong: true},
		{name: "empty", values: []string{""}, unknown: true, wrong: true},
		{name: "negative", values: []string{"-2"}, unknown: true, wrong: true},
		{name: "no number", values: []string{"few"}, unknown: true, wrong: true},
		{name: "not a number", values: []string{"NaN"}, unknown: true, wrong: true},
		{name: "infinite", values: []string{"Inf"}, unknown: true, wrong: true},
		{name: "twice", values: []string{"4", "2"}, want: 2},
		{name: "twice in one line", values: []string{"2, 4"}, want: 2},
		{name: "one of two is valid", values: []string{"NaN", "4"}, want: 4, wrong: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, known, err := ParseRateLimit(row.values)
			require.InDelta(t, float64(row.want), float64(got), 0)
			require.Equal(t, !row.unknown, known)
			require.Equal(t, row.wrong, err != nil, err)
		})
	}
}

// FuzzParseRateLimit reads any text that a target may send as its rate limit.
func FuzzParseRateLimit(f *testing.F) {
	for _, text := range []string{"", "1.6", "0", "-1", "NaN", "+Inf", "1e300", "1e999", "2, 4", "0x1p-2", "1_000", ",,", " 3 ", "٣"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		limit, known, err := ParseRateLimit([]string{first, second})
		if !known {
			require.Zero(t, limit)
			require.Error(t, err)
			return
		}
		require.GreaterOrEqual(t, limit, MinRateLimit)
		require.LessOrEqual(t, limit, MaxRateLimit)
	})
}

// TestGeneratedAnswersConverge delivers the answers of a target that changes its limit, in any order and
// through several hosts that tell each other at any time. Once all are delivered, an answer to a later
// request decides on all hosts.
func TestGeneratedAnswersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := make([]*Book, 3)
		now := int64(1_000_000)
		pick := func(label string) int { return rapid.IntRange(0, len(books)-1).Draw(t, label) }
		rate := func() wire.RequestRate {
			return wire.RequestRate(rapid.SampledFrom([]float64{0, 0.3, 1.6, 12}).Draw(t, "rate"))
		}
		tell := func(from, to int) {
			if n, found := books[from].Notice(time.UnixMilli(now), "t", 5); found {
				books[to] = books[to].With(time.UnixMilli(now), n)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.Int64Range(1, 500).Draw(t, "pause")
			if rapid.Bool().Draw(t, "told") {
				tell(pick("from"), pick("to"))
				continue
			}
			host := pick("host")
			sent := now - rapid.Int64Range(0, 3000).Draw(t, "duration")
			books[host] = books[host].With(time.UnixMilli(now), named(rate(), sent, now, now))
		}
		last := rate()
		sent := now + 1
		now += 500
		books[0] = books[0].With(time.UnixMilli(now), named(last, sent, now, now))
		for host := range books {
			tell(0, host)
			require.Equal(t, last, books[host].State("t", 5).RateLimit)
		}
		for range 5 {
			now += 100
			from, to := pick("from"), pick("to")
			before := books[to].State("t", 5)
			tell(from, to)
			require.Equal(t, before, books[to].State("t", 5), "all hosts agree")
		}
	})
}
