package lab

// This file defines Meter, which samples each customer's service over time as
// its callers see it, and the figures worked out from the samples.

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// sampleInterval is the time between two samples of service.
const sampleInterval = 100 * time.Millisecond

// Meter counts service by customer, token by token. Its samples may be read when
// Run has returned, and by a last look while it runs.
type Meter struct {
	service []atomic.Int64

	mu      sync.Mutex
	samples [][]float64
	at      []time.Duration
}

// NewMeter returns a meter of a number of customers.
func NewMeter(customers int) *Meter { return &Meter{service: make([]atomic.Int64, customers)} }

// Add counts service of a customer.
func (m *Meter) Add(customer int, cost int) { m.service[customer].Add(int64(cost)) }

// Run samples until the context ends.
func (m *Meter) Run(ctx context.Context) {
	began := time.Now()
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		row := make([]float64, len(m.service))
		for i := range m.service {
			row[i] = float64(m.service[i].Load())
		}
		m.mu.Lock()
		m.samples = append(m.samples, row)
		m.at = append(m.at, time.Since(began))
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Gap returns the greatest difference in weighted service between any two of the
// customers over any stretch of the samples from a time on.
func (m *Meter) Gap(from time.Duration, customers []int, weight func(int) float64) float64 {
	worst := 0.0
	for x, i := range customers {
		for _, j := range customers[:x] {
			low, high := math.Inf(1), math.Inf(-1)
			for n, row := range m.samples {
				if m.at[n] < from {
					continue
				}
				d := row[i]/weight(i) - row[j]/weight(j)
				low, high = min(low, d), max(high, d)
			}
			worst = max(worst, high-low)
		}
	}
	return worst
}

// Jain returns Jain's index of the customers' weighted service from a time on.
func (m *Meter) Jain(from time.Duration, customers []int, weight func(int) float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.first(from)
	last := m.samples[len(m.samples)-1]
	sum, squares := 0.0, 0.0
	for _, i := range customers {
		x := (last[i] - first[i]) / weight(i)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(customers)) * squares)
}

// now returns the time of the last sample.
func (m *Meter) now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at[len(m.at)-1]
}

// rateOver returns the whole service per second over the time that comes.
func (m *Meter) rateOver(d time.Duration) float64 {
	total := func() (sum int64) {
		for i := range m.service {
			sum += m.service[i].Load()
		}
		return sum
	}
	before := total()
	time.Sleep(d)
	return float64(total()-before) / d.Seconds()
}

// least returns the least service of any customer from a time on, in percent of the mean.
func (m *Meter) least(from time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.first(from), m.samples[len(m.samples)-1]
	least, sum := math.Inf(1), 0.0
	for i := range last {
		least = min(least, last[i]-first[i])
		sum += last[i] - first[i]
	}
	return 100 * least * float64(len(last)) / sum
}

func (m *Meter) first(from time.Duration) []float64 {
	for n, row := range m.samples {
		if m.at[n] >= from {
			return row
		}
	}
	return m.samples[len(m.samples)-1]
}

// Rate returns the whole service per second from a time on.
func (m *Meter) Rate(from time.Duration) float64 {
	first, last := m.first(from), m.samples[len(m.samples)-1]
	sum := 0.0
	for i := range last {
		sum += last[i] - first[i]
	}
	return sum / (m.at[len(m.at)-1] - from).Seconds()
}
