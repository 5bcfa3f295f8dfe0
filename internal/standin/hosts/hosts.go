// Package hosts is a stand-in for the host list of the platform.
package hosts

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Group is an entry of the list: addresses with their labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List is a list of hosts. GET returns it and PUT replaces it.
type List struct {
	mu     sync.Mutex
	groups []Group
}

// New creates a list with the given entries.
func New(groups []Group) *List { return &List{groups: groups} }

// Set replaces the list.
func (l *List) Set(groups []Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups = groups
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var groups []Group
		if err := json.NewDecoder(r.Body).Decode(&groups); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(groups)
		return
	}
	l.mu.Lock()
	content, err := json.Marshal(l.groups)
	l.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%x", sha256.Sum256(content))))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}
