// Package load is an open-loop load generator. It sends the requests of a deployment to real
// hosts at a given rate, independent of the response times, and reports what callers get.
package load

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"

	"redwinglock/internal/standin/site"
	"redwinglock/platform/standin"
)

//go:embed sheets/*.yaml
var sheets embed.FS

// Sheet describes a deployment: its hosts, its services and the kinds of its requests.
type Sheet struct {
	Hosts    int            `yaml:"hosts"`
	Services []Service      `yaml:"services"`
	Kinds    []standin.Kind `yaml:"kinds"`
}

// Service describes a service and its targets.
type Service struct {
	Name    string              `yaml:"name"`
	Targets int                 `yaml:"targets"`
	Slots   int                 `yaml:"slots"`
	Queue   int                 `yaml:"queue"`
	Work    time.Duration       `yaml:"work"`
	Engine  *standin.EngineSpec `yaml:"engine"`
}

// ReadSheet returns the embedded sheet with the given name.
func ReadSheet(name string) (*Sheet, error) {
	content, err := sheets.ReadFile("sheets/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("no sheet %q: %w", name, err)
	}
	var s Sheet
	if err := yaml.Unmarshal(content, &s); err != nil {
		return nil, fmt.Errorf("read sheet %s: %w", name, err)
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Host, k.Path, k.Key = "load.example", "/"+k.Name+"/x", "key"
	}
	return &s, nil
}

const (
	answerBytes = 800
	// retrySlack is the number of retries that all hosts may send in addition to the share of
	// the requests.
	retrySlack = 50
	// maxAttempts is the maximum number of targets to which one request is sent.
	maxAttempts = 3
)

// config returns the operator's configuration for a sheet.
func (s *Sheet) config() standin.Config {
	c := standin.Config{Version: 1, Tenants: []standin.Tenant{{Name: "load", APIKeys: []string{"key"}}}}
	for _, service := range s.Services {
		entry := standin.Service{Name: service.Name}
		if service.Engine != nil {
			entry.Engine = &standin.ServiceEngine{Slots: service.Slots}
		}
		c.Services = append(c.Services, entry)
	}
	for _, k := range s.Kinds {
		c.Routes = append(c.Routes, standin.Route{
			Name: k.Name, Host: k.Host, PathPrefix: "/" + k.Name + "/", Kind: k.Execution, Service: k.Service, Priority: k.Priority,
			TimeoutMS: k.Deadline.Milliseconds(), TargetLatencyMS: k.Objective.Milliseconds(), GapTargetMS: k.Gap.Milliseconds(),
			MaxAttempts: maxAttempts, StreamResume: k.IsStream(),
		})
	}
	return c
}

func (s *Sheet) targets() []standin.TargetSpec {
	var specs []standin.TargetSpec
	for _, service := range s.Services {
		for i := range service.Targets {
			specs = append(specs, standin.TargetSpec{
				ID: fmt.Sprintf("%s-%d", service.Name, i), Service: service.Name, Zone: site.Zone(i), Slots: service.Slots, Queue: service.Queue,
				Engine: service.Engine, Work: service.Work, AnswerBytes: answerBytes,
			})
		}
	}
	return specs
}

// Options are the options of one run.
type Options struct {
	Program  string
	Settings string
	// Scale multiplies the rates of all kinds.
	Scale    float64
	Duration time.Duration
	Seed     uint64
}

// Report has the results of the requests of one kind.
type Report struct {
	Kind   string
	Sent   int
	Served int
	InTime int
	// FirstByte and LastByte have the times from the due time of a request to the first and the
	// last byte of its body, in microseconds.
	FirstByte, LastByte *hdrhistogram.Histogram
}

const (
	// maxRecordedTime is the largest value of a histogram.
	maxRecordedTime = 60 * time.Second
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Run starts the deployment of a sheet and sends its requests.
func Run(s *Sheet, o Options) ([]*Report, error) {
	dir, err := os.MkdirTemp("", "redwinglock-load")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	if o.Program == "" {
		if o.Program, err = site.Build(dir); err != nil {
			return nil, err
		}
	}
	running, err := site.New(site.Spec{
		Program: o.Program, Settings: o.Settings, Dir: dir, Hosts: s.Hosts, Targets: s.targets(), Config: s.config(),
		Bounds: site.Bounds{QuotaWindow: 8 * time.Second, RepeatSlack: retrySlack},
	})
	if err != nil {
		return nil, err
	}
	callers := standin.NewCallers(o.Seed, running.Directories(), running.Dial)
	reports := s.send(callers, o)
	if err := errors.Join(callers.Close(), running.Close()); err != nil {
		return nil, fmt.Errorf("stop the site: %w", err)
	}
	return reports, nil
}

// send sends the requests of all kinds concurrently and waits for their answers.
func (s *Sheet) send(callers *standin.Callers, o Options) []*Report {
	var all sync.WaitGroup
	var reports []*Report
	for i := range s.Kinds {
		k := &s.Kinds[i]
		r := &Report{Kind: k.Name, FirstByte: newHistogram(), LastByte: newHistogram()}
		reports = append(reports, r)
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		all.Go(func() { r.sendKind(callers, k, k.PerSecond*o.Scale, o.Duration, random) })
	}
	all.Wait()
	return reports
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// sendKind sends requests at random times with a mean rate. Requests start on time even if
// earlier ones are still unanswered.
func (r *Report) sendKind(callers *standin.Callers, k *standin.Kind, perSecond float64, duration time.Duration, random *rand.Rand) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for at := time.Duration(0); at < duration; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		due := began.Add(at)
		time.Sleep(time.Until(due))
		requests.Go(func() {
			a := callers.SendWithRetry(context.Background(), k, 0)
			mu.Lock()
			defer mu.Unlock()
			r.record(k, a, due)
		})
	}
	requests.Wait()
}

// record counts the result of a request. Times are measured from the time at which the request
// was due, so that a delayed start counts too.
func (r *Report) record(k *standin.Kind, a *standin.Attempt, due time.Time) {
	r.Sent++
	if !a.Succeeded() {
		return
	}
	r.Served++
	if a.First.Sub(due) <= k.Objective {
		r.InTime++
	}
	_ = r.FirstByte.RecordValue(min(a.First.Sub(due), maxRecordedTime).Microseconds()) // Within the range by min.
	_ = r.LastByte.RecordValue(min(a.Ended.Sub(due), maxRecordedTime).Microseconds())  // Likewise.
}

// Print writes a table of all kinds.
func Print(out io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tasked\tserved\tin time\tfirst p50 ms\tp99\tp99.9\twhole p50 ms\tp99\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", r.Kind, r.Sent, r.Served, r.InTime,
			milliseconds(r.FirstByte, 50), milliseconds(r.FirstByte, 99), milliseconds(r.FirstByte, 99.9),
			milliseconds(r.LastByte, 50), milliseconds(r.LastByte, 99))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
