package capacity

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"redwinglock/internal/standin/process"
)

const (
	// measureTime is the time over which idle processes are measured.
	measureTime = 5 * time.Second
	// settleTime is the pause after the start, in which the hosts discover each other.
	settleTime = 6 * time.Second
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// processCost is the mean cost of an idle host process.
type processCost struct {
	cpu    float64 // Microseconds per second.
	memory float64 // Resident bytes.
}

// processMeasurement measures idle hosts as separate processes. It measures each number of
// hosts once and caches the result.
type processMeasurement struct {
	bin    string
	bySize map[int]processCost
}

func (m *processMeasurement) cpu(size int) (float64, error) {
	cost, err := m.cost(size)
	return cost.cpu, err
}

func (m *processMeasurement) memory(size int) (float64, error) {
	cost, err := m.cost(size)
	return cost.memory, err
}

func (m *processMeasurement) cost(size int) (processCost, error) {
	if cost, ok := m.bySize[size]; ok {
		return cost, nil
	}
	dir, err := os.MkdirTemp("", "redwinglock-bench")
	if err != nil {
		return processCost{}, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	installation, err := process.New(m.bin, dir)
	if err != nil {
		return processCost{}, err
	}
	defer installation.Close()
	cost, err := idleCost(installation, size)
	m.bySize[size] = cost
	return cost, err
}

func idleCost(installation *process.Installation, size int) (processCost, error) {
	for i := range size {
		if _, err := installation.AddHost(fmt.Sprintf("entry-%d", i), "zone-a"); err != nil {
			return processCost{}, err
		}
	}
	for _, h := range installation.Hosts {
		err := process.Until("members at "+h.Name, func() bool {
			var answer struct{ Addresses []struct{} }
			err := process.GetJSON(h.CallerURL+"/v1/addresses", &answer)
			return err == nil && len(answer.Addresses) == min(size, 8) && process.Status(h.CallerURL+"/healthz") == http.StatusOK
		})
		if err != nil {
			return processCost{}, err
		}
	}
	time.Sleep(settleTime)
	var before time.Duration
	for _, h := range installation.Hosts {
		spent, err := processCPUTime(h.PID())
		if err != nil {
			return processCost{}, err
		}
		before += spent
	}
	time.Sleep(measureTime)
	var cost processCost
	var after time.Duration
	for _, h := range installation.Hosts {
		spent, err := processCPUTime(h.PID())
		if err != nil {
			return processCost{}, err
		}
		after += spent
		resident, err := residentBytes(h.PID())
		if err != nil {
			return processCost{}, err
		}
		cost.memory += resident / float64(size)
	}
	cost.cpu = float64((after - before).Microseconds()) / float64(size) / measureTime.Seconds()
	return cost, nil
}

// processCPUTime reads the processor time of a process.
func processCPUTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("read processor time: stat has only %d fields", len(fields))
	}
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	if userErr != nil || systemErr != nil {
		return 0, fmt.Errorf("read processor time: invalid number %q or %q", fields[11], fields[12])
	}
	return time.Duration(user+system) * clockTick, nil
}

// residentBytes reads the size of the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("read memory: statm has only %d fields", len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return float64(pages * os.Getpagesize()), nil
}
