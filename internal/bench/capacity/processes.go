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
	// idleTime is how long idle processes are watched.
	idleTime = 5 * time.Second
	// quietTime is the pause after the start, in which the hosts learn of each other.
	quietTime = 6 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
)

// processCost is the mean cost of an idle host.
type processCost struct {
	cpu    float64 // Microseconds per second.
	memory float64 // Resident bytes.
}

// processMeasurement measures idle hosts as separate processes, each number of them once.
type processMeasurement struct {
	bin  string
	done map[int]processCost
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
	if cost, ok := m.done[size]; ok {
		return cost, nil
	}
	dir, err := os.MkdirTemp("", "redwinglock-bench")
	if err != nil {
		return processCost{}, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	n, err := process.New(m.bin, dir)
	if err != nil {
		return processCost{}, err
	}
	defer n.Close()
	cost, err := idleCost(n, size)
	m.done[size] = cost
	return cost, err
}

func idleCost(n *process.Installation, size int) (processCost, error) {
	for i := range size {
		if _, err := n.AddHost(fmt.Sprintf("entry-%d", i), "zone-a"); err != nil {
			return processCost{}, err
		}
	}
	for _, h := range n.Hosts {
		err := process.Until("members at "+h.Name, func() bool {
			var answer struct{ Addresses []struct{} }
			err := process.GetJSON(h.CallerURL+"/v1/addresses", &answer)
			return err == nil && len(answer.Addresses) == min(size, 8) && process.Status(h.CallerURL+"/healthz") == http.StatusOK
		})
		if err != nil {
			return processCost{}, err
		}
	}
	time.Sleep(quietTime)
	var before time.Duration
	for _, h := range n.Hosts {
		spent, err := processorTime(h.PID())
		if err != nil {
			return processCost{}, err
		}
		before += spent
	}
	time.Sleep(idleTime)
	var cost processCost
	var after time.Duration
	for _, h := range n.Hosts {
		spent, err := processorTime(h.PID())
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
	cost.cpu = float64((after - before).Microseconds()) / float64(size) / idleTime.Seconds()
	return cost, nil
}

// processorTime reads the processor time of a process.
func processorTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("read processor time: %d fields", len(fields))
	}
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	if userErr != nil || systemErr != nil {
		return 0, fmt.Errorf("read processor time: %q %q", fields[11], fields[12])
	}
	return time.Duration(user+system) * clockTick, nil
}

// residentBytes reads the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("read memory: %d fields", len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return float64(pages * os.Getpagesize()), nil
}
