package decisions

import (
	"fmt"
	"io"
	"slices"
	"time"

	"redwinglock/internal/state/object"
)

// outcome has the measurements of one run.
type outcome struct {
	goodput              map[object.TierName]float64 // Good requests as a share of all requests, by tier.
	good                 int                         // Good requests.
	goodByAccountTier    map[accountTier]int         // Good requests.
	offeredByAccountTier map[accountTier]int
	wastedPrefill        float64 // Share of the computed prompt tokens that belong to requests that were not good.
	firstTokenP95        map[object.TierName]time.Duration
	inversions           int
}

// accountTier identifies the requests of one account in one tier.
type accountTier struct {
	account object.AccountName
	tier    object.TierName
}

func measure(jobs []*job, inversions int) outcome {
	o := outcome{
		goodput: map[object.TierName]float64{}, goodByAccountTier: map[accountTier]int{}, offeredByAccountTier: map[accountTier]int{},
		firstTokenP95: map[object.TierName]time.Duration{}, inversions: inversions,
	}
	offered, good := map[object.TierName]int{}, map[object.TierName]int{}
	waits := map[object.TierName][]time.Duration{}
	var computed, wasted int
	for _, j := range jobs {
		k := accountTier{j.account, j.tier}
		offered[j.tier]++
		o.offeredByAccountTier[k]++
		computed += j.computed
		if !j.good() {
			wasted += j.computed
			continue
		}
		o.good++
		good[j.tier]++
		o.goodByAccountTier[k]++
		waits[j.tier] = append(waits[j.tier], j.firstToken-j.arrived)
	}
	for _, t := range tiers {
		if offered[t.name] > 0 {
			o.goodput[t.name] = float64(good[t.name]) / float64(offered[t.name])
		}
		if w := waits[t.name]; len(w) > 0 {
			slices.Sort(w)
			o.firstTokenP95[t.name] = w[len(w)*95/100]
		}
	}
	if computed > 0 {
		o.wastedPrefill = float64(wasted) / float64(computed)
	}
	return o
}

// goodOfOtherAccounts returns the number of good requests of a tier without those of the
// flooding account.
func (o outcome) goodOfOtherAccounts(tier object.TierName) float64 {
	good := 0
	for _, a := range accounts[1:] {
		good += o.goodByAccountTier[accountTier{a.name, tier}]
	}
	return float64(good)
}

// worstSmallAccount returns the lowest goodput of a small account in a tier, as a share of its
// requests.
func (o outcome) worstSmallAccount(tier object.TierName) float64 {
	worst := 1.0
	for _, a := range accounts[2:] {
		k := accountTier{a.name, tier}
		if o.offeredByAccountTier[k] > 0 {
			worst = min(worst, float64(o.goodByAccountTier[k])/float64(o.offeredByAccountTier[k]))
		}
	}
	return worst
}

// jain returns Jain's fairness index over the goodput shares of all accounts.
func (o outcome) jain() float64 {
	var sum, squares float64
	for _, a := range accounts {
		good, offered := 0, 0
		for _, t := range tiers {
			good += o.goodByAccountTier[accountTier{a.name, t.name}]
			offered += o.offeredByAccountTier[accountTier{a.name, t.name}]
		}
		share := float64(good) / float64(max(offered, 1))
		sum += share
		squares += share * share
	}
	return sum * sum / (float64(len(accounts)) * squares)
}

// bound is a measured value with its limit.
type bound struct {
	name      string
	value     float64
	isMinimum bool // The value must be at least the limit; otherwise at most.
	limit     float64
}

func (b bound) holds() bool {
	if b.isMinimum {
		return b.value >= b.limit
	}
	return b.value <= b.limit
}

// Run measures all policies in all scenarios and prints a table for each scenario. It returns
// the number of missed bounds.
func Run(out io.Writer, seeds int) (int, error) {
	missed := 0
	for _, st := range sites {
		capacity, err := measureCapacity(st)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "\n# %s: %d engines, capacity %.0f requests/s\n", st.name, st.engines, capacity)
		schedulerRuns := map[string][]outcome{}
		for _, s := range scenarios {
			fmt.Fprintf(out, "\n%-26s %8s %8s %8s %8s %8s %8s %8s %9s %9s\n", s.name, "urgent", "normal", "night", "good", "wasted", "jain", "small", "first p95", "range")
			for _, name := range policyNames {
				runs, err := runSeeds(st, s, name, capacity, seeds)
				if err != nil {
					return 0, err
				}
				if name == policyNames[0] {
					schedulerRuns[s.name] = runs
				}
				printRow(out, name, runs)
			}
		}
		missed += printBounds(out, bounds(schedulerRuns))
	}
	missedAtPeak, err := runPeakLoads(out, seeds)
	if err != nil {
		return 0, err
	}
	return missed + missedAtPeak, nil
}

// printBounds prints a line for each bound and returns the number of missed bounds.
func printBounds(out io.Writer, bounds []bound) int {
	missed := 0
	for _, b := range bounds {
		verdict := "ok    "
		if !b.holds() {
			verdict = "MISSED"
			missed++
		}
		sign := "<="
		if b.isMinimum {
			sign = ">="
		}
		fmt.Fprintf(out, "%s %-75s %.4f %s %.4f\n", verdict, b.name, b.value, sign, b.limit)
	}
	return missed
}

func runSeeds(st site, s scenario, name string, capacity float64, seeds int) ([]outcome, error) {
	var runs []outcome
	for seed := range seeds {
		jobs, inversions, err := simulate(st, s, name, capacity, uint64(seed+1))
		if err != nil {
			return nil, err
		}
		runs = append(runs, measure(jobs, inversions))
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
		median(runs, func(o outcome) float64 { return o.wastedPrefill }),
		median(runs, outcome.jain),
		median(runs, func(o outcome) float64 { return o.worstSmallAccount("urgent") }),
		median(runs, func(o outcome) float64 { return o.firstTokenP95["urgent"].Seconds() }), least, most)
}

// bounds returns the bounds that the runs of the scheduler must meet.
func bounds(byScenario map[string][]outcome) []bound {
	urgent := func(o outcome) float64 { return o.goodput["urgent"] }
	good := func(o outcome) float64 { return float64(o.good) }
	others := func(o outcome) float64 { return o.goodOfOtherAccounts("urgent") }
	small := func(o outcome) float64 { return o.worstSmallAccount("urgent") }
	steady := byScenario["steady"]
	inversions := 0
	for _, runs := range byScenario {
		for _, o := range runs {
			inversions += o.inversions
		}
	}
	engines := float64(sites[0].engines)
	return []bound{
		{"urgent goodput in a flood of the least urgent, against none", median(byScenario["flood of the least urgent"], urgent) / median(steady, urgent), true, 0.99},
		{"urgent goodput when the arbiter is lost in that flood, against none", median(byScenario["arbiter lost in a flood"], urgent) / median(steady, urgent), true, 0.99},
		{"other accounts in a flood of the most urgent by one, against none", median(byScenario["flood of the most urgent"], others) / median(steady, others), true, 0.95},
		{"worst small account in a flood of the most urgent", median(byScenario["flood of the most urgent"], small), true, 0.95},
		{"refusals while lower-tier work was served", float64(inversions), false, 0},
		{"wasted prefill at twice capacity", median(byScenario["twice capacity"], func(o outcome) float64 { return o.wastedPrefill }), false, 0.03},
		{"goodput at twice capacity, against at capacity", median(byScenario["twice capacity"], good) / median(byScenario["at capacity"], good), true, 0.95},
		{"goodput with a straggler, against none", median(byScenario["straggler at a fifth"], good) / median(steady, good), true, 1 - 0.8/engines - 0.02},
	}
}
