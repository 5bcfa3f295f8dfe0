package soak

import (
	"fmt"
	"time"

	"redwinglock/platform/standin"
)

func checkQuotas(r *Record) []string {
	var broken []string
	attempts := r.attemptsByID()
	for account, l := range r.limits {
		allowed := (l.perSecond*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack
		var window []standin.Run
		counted := map[string]bool{} // A request counts once, no matter how often it was retried.
		for _, run := range r.runs {
			if run.Rejected || run.Tenant != account || attempts[run.RequestID] == nil || counted[run.RequestID] {
				continue
			}
			counted[run.RequestID] = true
			window = append(window, run)
			for run.Arrived.Sub(window[0].Arrived) > quotaWindow {
				window = window[1:]
			}
			if float64(len(window)) > allowed {
				broken = append(broken, fmt.Sprintf("%s ran %d in %v, %.0f are allowed, from %s, by host and second %v",
					account, len(window), quotaWindow, allowed, window[0].Arrived.Format("15:04:05.000"), bySecond(window, attempts)))
				break
			}
		}
	}
	return broken
}

// bySecond counts runs by host and by second since the first run.
func bySecond(runs []standin.Run, attempts map[string]*standin.Attempt) map[string][]int {
	counts := map[string][]int{}
	for _, run := range runs {
		host := attempts[run.RequestID].Address
		if counts[host] == nil {
			counts[host] = make([]int, int(quotaWindow.Seconds())+1)
		}
		counts[host][int(run.Arrived.Sub(runs[0].Arrived).Seconds())]++
	}
	return counts
}

func checkRetryBudget(r *Record) []string {
	seen := map[string]bool{}
	retries := map[string][]standin.Run{} // By service, within the last window.
	for _, run := range r.runs {
		if !seen[run.RequestID] {
			seen[run.RequestID] = true
			continue
		}
		window := append(retries[run.Service], run)
		for run.Arrived.Sub(window[0].Arrived) > retryWindow {
			window = window[1:]
		}
		retries[run.Service] = window
		if allowed := retryShare*r.requestsBefore(run.Service, run.Arrived) + retrySlack; float64(len(window)) > allowed {
			return []string{fmt.Sprintf("%d retries at %s in %v, %.0f are allowed", len(window), run.Service, retryWindow, allowed)}
		}
	}
	return nil
}

// requestsBefore returns the number of requests for a service that were sent within
// retryWindow before the given time.
func (r *Record) requestsBefore(service string, at time.Time) float64 {
	count := 0
	for _, a := range r.attempts {
		if a.Kind.Service == service && a.Sent.After(at.Add(-retryWindow)) && a.Sent.Before(at) {
			count++
		}
	}
	return float64(count)
}
