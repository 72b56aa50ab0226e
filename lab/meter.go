package lab

// This file defines Meter, which samples the service that each customer's callers receive
// over time, and computes measures of fairness from the samples.

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// sampleInterval is the time between two samples of service.
const sampleInterval = 100 * time.Millisecond

// Meter counts the service received by each customer, token by token, and samples the
// counters while Run runs. MaxServiceGap, JainIndex, ServiceRate and plots read the samples without a
// lock, so use them only after Run has returned. The other methods may be called meanwhile.
type Meter struct {
	service []atomic.Int64 // cumulative cost by customer

	mu          sync.Mutex
	samples     [][]float64     // cumulative cost by customer, one row per sample
	sampleTimes []time.Duration // when each row was sampled, from the start of Run
}

// NewMeter returns a meter for a number of customers.
func NewMeter(customers int) *Meter { return &Meter{service: make([]atomic.Int64, customers)} }

// Add adds cost to the service that a customer has received.
func (m *Meter) Add(customer int, cost int) { m.service[customer].Add(int64(cost)) }

// Run takes a sample every sampleInterval until the context ends.
func (m *Meter) Run(ctx context.Context) {
	start := time.Now()
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		row := make([]float64, len(m.service))
		for i := range m.service {
			row[i] = float64(m.service[i].Load())
		}
		m.mu.Lock()
		m.samples = append(m.samples, row)
		m.sampleTimes = append(m.sampleTimes, time.Since(start))
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// MaxServiceGap returns the greatest difference between the service, divided by weight, that any two
// of the customers received over any interval between two samples at or after from. Over an
// interval, that difference is the change of d below, so the greatest one of a pair is the
// range of d.
func (m *Meter) MaxServiceGap(from time.Duration, customers []int, weight func(int) float64) float64 {
	widest := 0.0
	for n, i := range customers {
		for _, j := range customers[:n] {
			low, high := math.Inf(1), math.Inf(-1)
			for s, row := range m.samples {
				if m.sampleTimes[s] < from {
					continue
				}
				d := row[i]/weight(i) - row[j]/weight(j)
				low, high = min(low, d), max(high, d)
			}
			widest = max(widest, high-low)
		}
	}
	return widest
}

// JainIndex returns the fairness index (sum x)² / (n * sum x²), where x is the service that a
// customer received since from, divided by its weight. The index is 1 if all got the same
// and 1/n if one of n got all.
func (m *Meter) JainIndex(from time.Duration, customers []int, weight func(int) float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.firstSampleFrom(from)
	last := m.samples[len(m.samples)-1]
	sum, squares := 0.0, 0.0
	for _, i := range customers {
		x := (last[i] - first[i]) / weight(i)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(customers)) * squares)
}

// lastSampleTime returns the time of the last sample, from the start of Run. It panics if there is
// none.
func (m *Meter) lastSampleTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sampleTimes[len(m.sampleTimes)-1]
}

// measureServiceRate waits for a duration and returns the service per second that all customers
// together received meanwhile.
func (m *Meter) measureServiceRate(d time.Duration) float64 {
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

// leastServicePercent returns the lowest service that any customer received since from, in percent of
// the mean of all customers.
func (m *Meter) leastServicePercent(from time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.firstSampleFrom(from), m.samples[len(m.samples)-1]
	smallest, sum := math.Inf(1), 0.0
	for i := range last {
		smallest = min(smallest, last[i]-first[i])
		sum += last[i] - first[i]
	}
	return 100 * smallest * float64(len(last)) / sum
}

// firstSampleFrom returns the first sample at or after from, or the last sample if there
// is none so late. The caller holds mu, or Run has returned.
func (m *Meter) firstSampleFrom(from time.Duration) []float64 {
	for n, row := range m.samples {
		if m.sampleTimes[n] >= from {
			return row
		}
	}
	return m.samples[len(m.samples)-1]
}

// ServiceRate returns the service per second that all customers together received since from.
func (m *Meter) ServiceRate(from time.Duration) float64 {
	first, last := m.firstSampleFrom(from), m.samples[len(m.samples)-1]
	sum := 0.0
	for i := range last {
		sum += last[i] - first[i]
	}
	return sum / (m.sampleTimes[len(m.sampleTimes)-1] - from).Seconds()
}
