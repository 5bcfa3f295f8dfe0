// Package service is a stand-in for a plain service. It counts its runs.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in service. It is an http.Handler.
type Service struct {
	delay time.Duration

	mu   sync.Mutex
	runs map[string]int // By request body.
	hook func(body string)
}

// New creates a service that answers each call after the given delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: map[string]int{}}
}

// SetHook sets a function that is called during each call, after the call was counted.
func (s *Service) SetHook(hook func(body string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

// Runs returns the number of runs by request body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/runs" {
		_ = json.NewEncoder(w).Encode(s.Runs())
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body := string(content)
	s.mu.Lock()
	s.runs[body]++
	run := s.runs[body]
	hook := s.hook
	s.mu.Unlock()
	time.Sleep(s.delay)
	if hook != nil {
		hook(body)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "run": run})
}
