package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outputLines bounds the lines that wait to be written.
	outputLines = 2048
	// outputPerSecond bounds the lines that are taken in one second.
	outputPerSecond = 400
	// outputCloseTimeout bounds the wait for the last lines when nobody reads them.
	outputCloseTimeout = 200 * time.Millisecond
)

// output passes log lines to a writer that may block. Write never does: lines that come too
// fast, or while nobody reads, are dropped and counted.
type output struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	onDrop  func(int64)

	rate PerSecond
	// toldAt is when the last line about dropped lines was written.
	toldAt  time.Time
	closing chan struct{}
	done    sync.WaitGroup
}

// newOutput starts to write. onDrop is told how many lines were dropped since it was last
// called; it may be nil.
func newOutput(to io.Writer, onDrop func(int64)) *output {
	o := &output{to: to, lines: make(chan []byte, outputLines), onDrop: onDrop, rate: PerSecond{Limit: outputPerSecond}, closing: make(chan struct{})}
	o.done.Go(o.run)
	return o
}

// Write implements io.Writer.
func (o *output) Write(line []byte) (int, error) {
	if !o.rate.Allow(time.Now()) {
		o.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...) // The logger uses its buffer again.
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *output) run() {
	for {
		select {
		case line := <-o.lines:
			o.write(line)
		case <-o.closing:
			for len(o.lines) > 0 {
				o.write(<-o.lines)
			}
			return
		}
	}
}

func (o *output) write(line []byte) {
	if now := time.Now(); o.dropped.Load() > 0 && now.Sub(o.toldAt) >= time.Second {
		o.toldAt = now
		n := o.dropped.Swap(0)
		if o.onDrop != nil {
			o.onDrop(n)
		}
		_, _ = fmt.Fprintf(o.to, "{\"part\":\"log\",\"level\":\"warning\",\"msg\":\"log: Lines dropped.\",\"lines\":%d}\n", n)
	}
	_, _ = o.to.Write(line) // Nobody can be told that the log cannot be written.
}

// Close writes what waits, but does not wait long for a reader.
func (o *output) Close() error {
	close(o.closing)
	written := make(chan struct{})
	go func() {
		o.done.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(outputCloseTimeout):
	}
	return nil
}
