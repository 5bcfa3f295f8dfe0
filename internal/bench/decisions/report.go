package decisions

import (
	"fmt"
	"io"
	"slices"
	"time"

	"redwinglock/internal/state/object"
)

// outcome is what one run gave.
type outcome struct {
	goodput map[object.TierName]float64 // Share of the requests of a tier that were good.
	good    int                         // Good requests.
	goodAll map[key]int                 // Good requests by account and tier.
	offered map[key]int
	wasted  float64 // Share of computed prompt tokens without a good answer.
	first   map[object.TierName]time.Duration
	broken  int
}

// key names the requests of one account in one tier.
type key struct {
	account object.AccountName
	tier    object.TierName
}

func measure(jobs []*job, broken int) outcome {
	o := outcome{
		goodput: map[object.TierName]float64{}, goodAll: map[key]int{}, offered: map[key]int{},
		first: map[object.TierName]time.Duration{}, broken: broken,
	}
	offered, good := map[object.TierName]int{}, map[object.TierName]int{}
	waits := map[object.TierName][]time.Duration{}
	var computed, wasted int
	for _, j := range jobs {
		k := key{j.account, j.tier}
		offered[j.tier]++
		o.offered[k]++
		computed += j.computed
		if !j.good() {
			wasted += j.computed
			continue
		}
		o.good++
		good[j.tier]++
		o.goodAll[k]++
		waits[j.tier] = append(waits[j.tier], j.firstToken-j.arrived)
	}
	for _, t := range tiers {
		if offered[t.name] > 0 {
			o.goodput[t.name] = float64(good[t.name]) / float64(offered[t.name])
		}
		if w := waits[t.name]; len(w) > 0 {
			slices.Sort(w)
			o.first[t.name] = w[len(w)*95/100]
		}
	}
	if computed > 0 {
		o.wasted = float64(wasted) / float64(computed)
	}
	return o
}

// others returns the good requests of a tier that are not of the flooding account.
func (o outcome) others(tier object.TierName) float64 {
	good := 0
	for _, a := range accounts[1:] {
		good += o.goodAll[key{a.name, tier}]
	}
	return float64(good)
}

// worstSmall returns the least share of its requests that a small account got answered.
func (o outcome) worstSmall(tier object.TierName) float64 {
	worst := 1.0
	for _, a := range accounts[2:] {
		k := key{a.name, tier}
		if o.offered[k] > 0 {
			worst = min(worst, float64(o.goodAll[k])/float64(o.offered[k]))
		}
	}
	return worst
}

// jain returns Jain's index of the answered shares of all accounts.
func (o outcome) jain() float64 {
	var sum, squares float64
	for _, a := range accounts {
		good, offered := 0, 0
		for _, t := range tiers {
			good += o.goodAll[key{a.name, t.name}]
			offered += o.offered[key{a.name, t.name}]
		}
		share := float64(good) / float64(max(offered, 1))
		sum += share
		squares += share * share
	}
	return sum * sum / (float64(len(accounts)) * squares)
}

// bound is one comparison of a measured value with its target.
type bound struct {
	name  string
	value float64
	least bool // The value must be at least the target, else at most.
	want  float64
}

func (b bound) holds() bool {
	if b.least {
		return b.value >= b.want
	}
	return b.value <= b.want
}

// Run measures all scenarios with all policies and prints a table each. It returns the
// number of bounds that were missed.
func Run(out io.Writer, seeds int) (int, error) {
	missed := 0
	for _, st := range sites {
		capacity, err := measureCapacity(st)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "\n# %s: %d engines, capacity %.0f requests/s\n", st.name, st.engines, capacity)
		ours := map[string][]outcome{}
		for _, s := range scenarios {
			fmt.Fprintf(out, "\n%-26s %8s %8s %8s %8s %8s %8s %8s %9s %9s\n", s.name, "urgent", "normal", "night", "good", "wasted", "jain", "small", "first p95", "range")
			for _, name := range policyNames {
				runs, err := repeat(st, s, name, capacity, seeds)
				if err != nil {
					return 0, err
				}
				if name == policyNames[0] {
					ours[s.name] = runs
				}
				printRow(out, name, runs)
			}
		}
		missed += printBounds(out, bounds(ours))
	}
	sheets, err := runSheets(out, seeds)
	if err != nil {
		return 0, err
	}
	return missed + sheets, nil
}

// printBounds prints a line for each bound and returns the number of those missed.
func printBounds(out io.Writer, bounds []bound) int {
	missed := 0
	for _, b := range bounds {
		verdict := "ok    "
		if !b.holds() {
			verdict = "MISSED"
			missed++
		}
		sign := "<="
		if b.least {
			sign = ">="
		}
		fmt.Fprintf(out, "%s %-75s %.4f %s %.4f\n", verdict, b.name, b.value, sign, b.want)
	}
	return missed
}

func repeat(st site, s scenario, name string, capacity float64, seeds int) ([]outcome, error) {
	var runs []outcome
	for seed := range seeds {
		jobs, broken, err := simulate(st, s, name, capacity, uint64(seed+1))
		if err != nil {
			return nil, err
		}
		runs = append(runs, measure(jobs, broken))
	}
	return runs, nil
}

// median returns the median of a value over runs.
func median(runs []outcome, value func(outcome) float64) float64 {
	values := make([]float64, len(runs))
	for i, o := range runs {
		values[i] = value(o)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func printRow(out io.Writer, name string, runs []outcome) {
	tier := func(name object.TierName) float64 {
		return median(runs, func(o outcome) float64 { return o.goodput[name] })
	}
	least, most := runs[0].good, runs[0].good
	for _, o := range runs {
		least, most = min(least, o.good), max(most, o.good)
	}
	fmt.Fprintf(out, "  %-24s %8.3f %8.3f %8.3f %8.0f %8.3f %8.3f %8.3f %8.2fs %d-%d\n", name,
		tier("urgent"), tier("normal"), tier("night"),
		median(runs, func(o outcome) float64 { return float64(o.good) }),
		median(runs, func(o outcome) float64 { return o.wasted }),
		median(runs, outcome.jain),
		median(runs, func(o outcome) float64 { return o.worstSmall("urgent") }),
		median(runs, func(o outcome) float64 { return o.first["urgent"].Seconds() }), least, most)
}

// bounds compares the scheduler's runs with the stated targets.
func bounds(ours map[string][]outcome) []bound {
	urgent := func(o outcome) float64 { return o.goodput["urgent"] }
	good := func(o outcome) float64 { return float64(o.good) }
	others := func(o outcome) float64 { return o.others("urgent") }
	small := func(o outcome) float64 { return o.worstSmall("urgent") }
	steady := ours["steady"]
	broken := 0
	for _, runs := range ours {
		for _, o := range runs {
			broken += o.broken
		}
	}
	engines := float64(sites[0].engines)
	return []bound{
		{"urgent goodput in a flood of the least urgent, against none", median(ours["flood of the least urgent"], urgent) / median(steady, urgent), true, 0.99},
		{"urgent goodput when the arbiter is lost in that flood, against none", median(ours["arbiter lost in a flood"], urgent) / median(steady, urgent), true, 0.99},
		{"other accounts in a flood of the most urgent by one, against none", median(ours["flood of the most urgent"], others) / median(steady, others), true, 0.95},
		{"worst small account in a flood of the most urgent", median(ours["flood of the most urgent"], small), true, 0.95},
		{"refusals while lower-tier work was served", float64(broken), false, 0},
		{"wasted prefill at twice capacity", median(ours["twice capacity"], func(o outcome) float64 { return o.wasted }), false, 0.03},
		{"goodput at twice capacity, against at capacity", median(ours["twice capacity"], good) / median(ours["at capacity"], good), true, 0.95},
		{"goodput with a straggler, against none", median(ours["straggler at a fifth"], good) / median(steady, good), true, 1 - 0.8/engines - 0.02},
	}
}
