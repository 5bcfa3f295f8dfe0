// Package capacity measures the cost of each role of a host at several sizes and
// extrapolates it linearly to the full size of the deployment.
package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	Name string `json:"name"`
	// SizeUnit and ValueUnit are the units of the axes.
	SizeUnit  string  `json:"size-unit"`
	ValueUnit string  `json:"value-unit"`
	Points    []Point `json:"points"`
	// Slope and Intercept define the regression line through the points. R2 is its
	// coefficient of determination.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`
	// FullSize is the size to which the line is extended, AtFull its value there.
	FullSize float64 `json:"full-size"`
	AtFull   float64 `json:"at-full"`
}

// fit calculates the regression line through the points.
func (s *Series) fit() {
	sizes := make([]float64, len(s.Points))
	values := make([]float64, len(s.Points))
	for i, p := range s.Points {
		sizes[i], values[i] = p.Size, p.Value
	}
	s.Intercept, s.Slope = stat.LinearRegression(sizes, values, nil, false)
	s.R2 = stat.RSquared(sizes, values, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.R2) {
		s.R2 = 1 // All values are equal, so the line fits exactly.
	}
	s.AtFull = s.Intercept + s.Slope*s.FullSize
}

// maxValue returns the highest measured value.
func (s *Series) maxValue() float64 {
	highest := 0.0
	for _, p := range s.Points {
		highest = max(highest, p.Value)
	}
	return highest
}

// Result is the outcome of all measurements.
type Result struct {
	GoVersion string    `json:"go-version"`
	CPUs      int       `json:"cpus"`
	At        time.Time `json:"at"`
	Series    []Series  `json:"series"`
}

// Find returns the series with the given name, or an empty series if there is none.
func (r *Result) Find(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return &Series{Name: name}
}

// measurement measures one series.
type measurement struct {
	name, sizeUnit, valueUnit string
	sizes                     []int
	fullSize                  float64
	measure                   func(size int) (float64, error)
}

// Expected sizes of the deployment in two years, as the users state them.
const (
	hosts             = 420
	targets           = 3900
	accounts          = 3600
	requestsPerSecond = 8900
	tokensPerSecond   = 3_200_000
	changesPerDay     = 2600
	waitingAtArbiter  = 10_000
)

// Run measures all series and reports each one in a line of text. bin is the directory of the
// built programs. If only is not empty, Run measures just the series with that name.
func Run(bin, only string, report func(string)) (*Result, error) {
	result := &Result{GoVersion: runtime.Version(), CPUs: runtime.NumCPU(), At: time.Now().UTC()}
	for _, m := range newMeasurements(bin) {
		if only != "" && only != m.name {
			continue
		}
		s := Series{Name: m.name, SizeUnit: m.sizeUnit, ValueUnit: m.valueUnit, FullSize: m.fullSize}
		for _, size := range m.sizes {
			value, err := m.measure(size)
			if err != nil {
				return nil, fmt.Errorf("%s at %d: %w", m.name, size, err)
			}
			s.Points = append(s.Points, Point{float64(size), value})
		}
		s.fit()
		report(fmt.Sprintf("%-28s slope %.4g %s per %s, R2 %.3f, at %g: %.4g, points %v", s.Name, s.Slope, s.ValueUnit, s.SizeUnit, s.R2, s.FullSize, s.AtFull, s.Points))
		result.Series = append(result.Series, s)
	}
	return result, nil
}

func newMeasurements(bin string) []measurement {
	processes := &processMeasurement{bin: bin, bySize: map[int]processCost{}}
	members := &groups{bySize: map[int]*group{}}
	return []measurement{
		{"process-cpu", "processes", "us/s per idle host", []int{2, 4, 8, 16}, hosts, processes.cpu},
		{"process-memory", "processes", "bytes resident per idle host", []int{2, 4, 8, 16}, hosts, processes.memory},
		{"heartbeat-bytes", "members", "bytes/s per host", []int{8, 32, 128, hosts}, hosts, members.heartbeatBytes},
		{"heartbeat-cpu", "members", "us/s per host", []int{8, 32, 128, hosts}, hosts, members.heartbeatCPU},
		{"churn-bytes", "members", "bytes/s per host", []int{8, 32, 128, hosts}, hosts, members.churnBytes},
		{"gossip-rounds", "members", "rounds until all know", []int{8, 32, 128, hosts}, hosts, members.gossipRounds},
		{"member-memory", "members", "bytes", []int{32, 128, hosts}, hosts, memberMemory},
		{"link-bytes", "requests", "bytes", []int{500, 2000, 8000}, requestsPerSecond / hosts, linkBytes},
		{"link-cpu", "requests", "us, both ends", []int{2000, 8000, 32000}, requestsPerSecond / hosts, linkCPU},
		{"waiting-memory", "waiting requests", "bytes at the arbiter", []int{1000, 10_000, 50_000}, waitingAtArbiter, waitingMemory},
		{"ticket-memory", "waiting requests", "bytes at the front", []int{1000, 10_000, 50_000}, 1000, ticketMemory},
		{"account-memory", "accounts", "bytes", []int{400, 1200, accounts}, accounts, accountMemory},
		{"target-memory", "targets", "bytes", []int{400, 1300, targets}, targets, targetMemory},
		{"prefix-memory", "prefixes", "bytes at the arbiter", []int{5000, 20_000, 60_000}, 65_536, prefixMemory},
		{"compile-cpu", "objects", "us", []int{800, 2500, accounts + targets}, accounts + targets, compileCPU},
		{"change-bytes", "objects", "bytes read per change", []int{800, 2500, accounts + targets}, accounts + targets, changeBytes},
		{"poll-bytes", "objects", "bytes read per poll", []int{800, 2500, accounts + targets}, accounts + targets, pollBytes},
		{"rebuild-time", "waiting requests", "us", []int{1000, 10_000, 50_000}, waitingAtArbiter, rebuildTime},
		{"stream-cpu", "tokens", "us, front and stand-in", []int{2000, 8000, 32_000}, tokensPerSecond / hosts, streamCPU},
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapGrowth returns the number of bytes by which the result of build enlarges the live heap.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before
}
