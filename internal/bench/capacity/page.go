package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Budgets of control work per host, as the users state them.
const (
	cpuBudget     = 36_000      // Microseconds per second: 3.6% of a core.
	memoryBudget  = 256 << 20   // Bytes.
	bytesBudget   = 2 * 1024    // Bytes per second.
	secondsPerDay = 24 * 3600.0 // Seconds.

	// The load of one arbiter follows from the number of pools: one per model and region.
	models  = 8
	regions = 5
	pools   = models * regions
	// linkHeartbeatBytesPerS is the traffic of link heartbeats in both directions, in bytes per
	// second: an empty JSON object with its newline (3 bytes) and its frame (9 bytes), twice
	// per second in each direction.
	linkHeartbeatBytesPerS = 2 * 2 * (3 + 9)
	// pollIntervalS is the mean time between two reads of the head, in seconds.
	pollIntervalS = 15 * 1.25
	// heapOverhead is the ratio of the memory that the Go runtime uses with its default
	// settings to the live heap.
	heapOverhead = 2
)

// costRow is one row of the table of roles.
type costRow struct {
	role, quantity, formula, unit string
	value                         float64
	budget                        float64 // 0 if the row has none, for example because it is part of a sum below.
	mechanism                     string
}

// costRows calculates the cost of each role at full size.
func (r *Result) costRows() []costRow {
	perHost := float64(requestsPerSecond) / hosts
	perArbiter := float64(requestsPerSecond) / pools
	changes := changesPerDay / secondsPerDay
	linkCPU := r.Find("link-cpu").Slope
	linkBytes := r.Find("link-bytes").Slope
	fronts := float64(hosts) / regions

	heartbeatBytes := r.Find("heartbeat-bytes").AtFull
	changeBytes := r.Find("change-bytes").AtFull * changes
	pollBytes := r.Find("poll-bytes").AtFull / pollIntervalS
	idle := heartbeatBytes + changeBytes + pollBytes
	frontLinks := models * float64(linkHeartbeatBytesPerS)
	arbiterLinks := fronts * float64(linkHeartbeatBytesPerS)

	// Each host sends heartbeats to a constant number of peers, so the cost of an idle process
	// has no slope to extend. Its highest value counts, plus the part of the heartbeat cost
	// that grows with the number of members.
	idleCPU := r.Find("process-cpu").maxValue() + r.Find("heartbeat-cpu").AtFull
	compileCPU := r.Find("compile-cpu").AtFull * changes
	frontCPU := perHost * linkCPU / 2
	arbiterCPU := perArbiter * linkCPU / 2

	base := r.Find("process-memory").Intercept
	config := (r.Find("account-memory").AtFull + r.Find("target-memory").AtFull) * heapOverhead
	members := r.Find("member-memory").AtFull * heapOverhead
	tickets := r.Find("ticket-memory").AtFull * heapOverhead
	waiting := (r.Find("waiting-memory").AtFull + r.Find("prefix-memory").AtFull) * heapOverhead

	return []costRow{
		{"membership", "traffic", "heartbeat-bytes(420)", "B/s", heartbeatBytes, 0, "heartbeats to 2 neighbours per interval, updates travel with them"},
		{"configuration follower", "traffic", "change-bytes(7500) x 2600/day", "B/s", changeBytes, 0, "the change alone; 3 hosts watch, the others are told"},
		{"configuration follower", "polls", "poll-bytes / 18.75 s", "B/s", pollBytes, 0, "the head alone, if nothing has changed"},
		{"**any host**", "**control traffic**", "sum", "B/s", idle, bytesBudget, "links exist only while requests use them"},
		{"caller front", "signs of life on links in use", "8 pools x 48 B/s", "B/s", frontLinks, 0, "one stream per front and arbiter"},
		{"pool arbiter", "signs of life on links in use", "84 fronts x 48 B/s", "B/s", arbiterLinks, 0, "one stream per front and arbiter"},
		{"caller front", "traffic of requests", "link-bytes x 21.2/s", "B/s", perHost * linkBytes, 0, "registrations, grants and ends batched on one stream"},
		{"**host without an arbiter**", "**traffic, grants counted as control**", "sum", "B/s", idle + frontLinks + perHost*linkBytes, bytesBudget, "the other reading"},
		{"pool arbiter", "traffic of requests", "link-bytes x 222/s", "B/s", perArbiter * linkBytes, 0, "one arbiter per pool"},
		{"all", "processor time when idle", "highest of process-cpu + heartbeat-cpu(420)", "us/s", idleCPU, 0, "heartbeats, polls, clocks"},
		{"configuration follower", "processor time", "compile-cpu(7500) x 2600/day", "us/s", compileCPU, 0, "decode, check and compile the whole set"},
		{"caller front", "processor time of grants", "link-cpu / 2 x 21.2/s", "us/s", frontCPU, 0, "one exchange per request"},
		{"pool arbiter", "processor time of grants", "link-cpu / 2 x 222/s", "us/s", arbiterCPU, 0, "heaps; O(log n) per decision"},
		{"**host with one arbiter**", "**processor time**", "sum", "us/s", idleCPU + compileCPU + frontCPU + arbiterCPU, cpuBudget, ""},
		{"all", "memory when idle", "process-memory intercept", "MB", base / (1 << 20), 0, ""},
		{"configuration follower", "memory", "(account-memory(3600) + target-memory(3900)) x 2", "MB", config / (1 << 20), 0, "immutable snapshots"},
		{"membership", "memory", "member-memory(420) x 2", "MB", members / (1 << 20), 0, ""},
		{"caller front", "memory, 1,000 waiting", "ticket-memory(1000) x 2", "MB", tickets / (1 << 20), 0, "the front alone holds the record"},
		{"pool arbiter", "memory, 10,000 waiting", "(waiting-memory(10000) + prefix-memory(65536)) x 2", "MB", waiting / (1 << 20), 0, "soft state, rebuilt from fronts"},
		{"**host with one arbiter**", "**memory**", "sum", "MB", (base + config + members + tickets + waiting) / (1 << 20), memoryBudget / (1 << 20), ""},
		{"configuration follower", "time until in force everywhere", "gossip-rounds(420) x 1 s", "s", r.Find("gossip-rounds").AtFull * heartbeatInterval.Seconds(), 5, "gossip of the revision, then one read"},
		{"pool arbiter", "time to rebuild, 10,000 waiting", "rebuild-time(10000)", "ms", r.Find("rebuild-time").AtFull / 1000, 0, "fronts register again"},
		{"caller front", "processor time of streams (serving)", "stream-cpu x 7,619 tokens/s", "us/s", r.Find("stream-cpu").Slope * tokensPerSecond / hosts, 0, "upper bound: the engine stand-in is included"},
	}
}

// Missed returns a description of each row that exceeds its budget.
func (r *Result) Missed() []string {
	var missed []string
	for _, l := range r.costRows() {
		if l.budget > 0 && l.value > l.budget {
			missed = append(missed, fmt.Sprintf("%s, %s: %.0f %s, budget %.0f", strings.Trim(l.role, "*"), strings.Trim(l.quantity, "*"), l.value, l.unit, l.budget))
		}
	}
	return missed
}

// Marks around the part of the page that is replaced by the measured tables.
const (
	beginMark = "<!-- measured: begin -->"
	endMark   = "<!-- measured: end -->"
)

// WritePage writes the result as JSON and the plots, and replaces the tables in CAPACITY.md.
func (r *Result) WritePage(docs string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(docs, "capacity.json"), append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	plots := filepath.Join(docs, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return fmt.Errorf("create directory of plots: %w", err)
	}
	for _, s := range r.Series {
		if err := s.draw(filepath.Join(plots, s.Name+".svg")); err != nil {
			return err
		}
	}
	return r.replaceTables(filepath.Join(docs, "CAPACITY.md"))
}

func (r *Result) replaceTables(file string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	before, rest, foundBegin := strings.Cut(string(page), beginMark)
	_, after, foundEnd := strings.Cut(rest, endMark)
	if !foundBegin || !foundEnd {
		return errors.New("page has no marks for the measured tables")
	}
	page = []byte(before + beginMark + "\n" + r.tables() + endMark + after)
	if err := os.WriteFile(file, page, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func (r *Result) tables() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nMeasured %s with %s on %d processors.\n\n", r.At.Format("2006-01-02 15:04 MST"), r.GoVersion, r.CPUs)
	b.WriteString("### Roles at full size\n\n| role | quantity | formula | at full size | budget | margin | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, l := range r.costRows() {
		budget, margin := "", ""
		if l.budget > 0 {
			budget = fmt.Sprintf("%.4g %s", l.budget, l.unit)
			margin = fmt.Sprintf("%.0f%%", 100*(1-l.value/l.budget))
			if l.value > l.budget {
				margin = "**missed**, " + margin
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g %s | %s | %s | %s |\n", l.role, l.quantity, l.formula, l.value, l.unit, budget, margin, l.mechanism)
	}
	b.WriteString("\n### Slopes\n\n| series | slope | points (size: value) | line at full size | R2 | plot |\n|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(&b, "| %s | %.4g %s per %s | %s | %.4g at %g | %.3f | [svg](plots/%s.svg) |\n",
			s.Name, s.Slope, s.ValueUnit, s.SizeUnit, strings.Join(points, "; "), s.AtFull, s.FullSize, s.R2, s.Name)
	}
	b.WriteString("\n")
	return b.String()
}

// draw plots the measured points and the regression line up to the full size.
func (s *Series) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.ValueUnit
	points := make(plotter.XYs, len(s.Points))
	last := s.FullSize
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Value}
		last = max(last, point.Size)
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Intercept}, {X: last, Y: s.Intercept + s.Slope*last}})
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	fitted.Color = color.Gray{Y: 128}
	p.Add(fitted, measured)
	p.Legend.Add("measured", measured)
	p.Legend.Add("line", fitted)
	if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return fmt.Errorf("save plot %s: %w", s.Name, err)
	}
	return nil
}
