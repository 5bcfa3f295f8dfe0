package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"redwinglock/internal/standin/site"
	"redwinglock/platform/standin"
)

const (
	// poisonOdds says that one in this many runs has requests that crash targets.
	poisonOdds = 3
	// poisonDownTime is the time from the crash of a target until another one replaces it.
	poisonDownTime = 3 * time.Second
	// freeCrashes is the number of crashes after which requests with the poison part must be held back, freeRequestCrashes
	// that for a request that returns, and maxLateCrashers the number of either that may still arrive later than settleTime
	// after it.
	freeCrashes        = 5
	freeRequestCrashes = 3
	maxLateCrashers    = 3
	// returningOdds says that one in this many runs has a request that crashes targets and returns.
	returningOdds = 3
	// returningStream selects the random numbers of that request, so that the faults of earlier seeds stay the same.
	returningStream = 13
)

// poisonKind is the kind of requests that crash targets. They share the route and the first part of the
// prompt with sound requests.
var poisonKind = standin.Kind{
	Name: "poison", Execution: "stream", Service: engines, PerSecond: 1.2, PromptTokens: 900, OutputTokens: 24, Objective: 500 * time.Millisecond,
	Gap: 200 * time.Millisecond, Deadline: 6 * time.Second, Part: standin.PoisonPart, Host: callersHost, Path: "/plan/x", Key: mainKey,
}

// returningKind is one request that crashes each target, and returns.
var returningKind = standin.Kind{
	Name: "returning", Execution: "idempotent", Service: services, PerSecond: 0.8, Objective: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	Priority: 1, Body: standin.CrashBody, Host: callersHost, Path: "/look/x", Key: mainKey,
}

// drawReturning reports whether a run has a request that crashes targets and returns.
func drawReturning(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, returningStream)).IntN(returningOdds) == 0
}

// sendReturning sends that request until ctx is done, if the run has it.
func (s *soak) sendReturning(ctx context.Context) {
	if drawReturning(s.options.Seed) {
		s.send(ctx, &returningKind, rand.New(rand.NewPCG(s.options.Seed, returningStream+1)))
	}
}

// drawPoison reports whether a run has requests that crash targets. It has random numbers of its own, so that
// the faults of earlier seeds stay the same.
func drawPoison(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, poisonOdds)).IntN(poisonOdds) == 0
}

// sendPoison sends requests that crash targets until ctx is done, if the run has such requests.
func (s *soak) sendPoison(ctx context.Context) {
	if drawPoison(s.options.Seed) {
		s.send(ctx, &poisonKind, rand.New(rand.NewPCG(s.options.Seed, poisonOdds+1)))
	}
}

// crashByRequest ends a target like a crash and replaces it by a new one after some seconds.
func (s *soak) crashByRequest(t *site.Target, run standin.Run) {
	end := s.record.beginTargetFault(t.ID)
	s.record.recordCrash(time.Now(), run)
	s.replacing.Go(func() {
		defer end()
		s.removeActiveTarget(t)
		_ = t.Close() // It also closes the connections of the target.
		time.Sleep(poisonDownTime)
		t.Leave()
		s.addTarget(t.TargetSpec)
	})
}

// checkPoison counts the requests with the poison part that arrive when they must be held back, sent by hosts
// without a fault.
func checkPoison(r *Record) []string {
	return checkCrashes(r, r.poisonCrashes, freeCrashes, func(run standin.Run) bool { return run.Poison })
}

// checkReturning does the same for the request that returns.
func checkReturning(r *Record) []string {
	return checkCrashes(r, r.requestCrashes, freeRequestCrashes, func(run standin.Run) bool { return run.Crashes })
}

// checkCrashes counts the runs of one kind that arrive later than settleTime after so many crashes that they must be held
// back.
func checkCrashes(r *Record, crashes []time.Time, free int, isOfKind func(standin.Run) bool) []string {
	if len(crashes) < free || r.olderHosts {
		return nil
	}
	from := crashes[free-1].Add(settleTime)
	attempts := r.attemptsByID()
	late := 0
	for _, run := range r.runs {
		a := attempts[run.RequestID]
		if isOfKind(run) && run.Arrived.After(from) && a != nil && r.areHostAndStoreFaultFree(a.Address, run.Arrived, run.Arrived) {
			late++
		}
	}
	if late <= maxLateCrashers {
		return nil
	}
	return []string{fmt.Sprintf("%d requests that crash targets arrived later than %v after crash %d of %d", late, settleTime, free, len(crashes))}
}
