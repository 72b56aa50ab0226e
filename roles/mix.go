package roles

// This file defines Mix, the requests of a service as they arrive, and Work, their mean.

// mixDecay is the factor on the weight of older requests at each new one. Some 1000 requests count, whose mean
// work differs between routers by a few percent.
const mixDecay = 0.999

// Work is what one request asks of its servers, as the mean over requests.
type Work struct {
	Cost           float64 // capacity that the request uses, in the unit of the rate of arrivals
	LongPrefill    float64 // cost of prefills that belong on a prefill server, in tokens at the start of a prompt
	ShortPrefill   float64 // cost of the other prefills, in the same unit
	MigratedOutput float64 // tokens generated after a prefill on a prefill server and a migration
	StayingOutput  float64 // tokens generated on the prefill server itself, since the output is short
	ShortOutput    float64 // tokens generated after a short prefill
	Streams        float64 // share of requests whose output is so long that event gaps matter
	Migrations     float64 // share of requests that would migrate
	MigratedPrompt float64 // prompt tokens whose KV cache a migration copies
}

// Request is what of one request the roles depend on.
type Request struct {
	PromptTokens int
	OutputTokens int
	Cost         float64 // capacity that the request uses
	PrefillCost  float64 // of the tokens beyond the shared segments, in tokens at the start of a prompt
	LongPrefill  bool    // the prefill belongs on a prefill server
	ShortOutput  bool    // the output is so short that event gaps do not matter and the request would not migrate
}

// Mix is the mean work of the recent requests of a service; its zero value has seen none.
type Mix struct {
	weight float64
	sum    Work
}

// Add adds a request that arrived.
func (m *Mix) Add(r Request) {
	m.weight = m.weight*mixDecay + 1
	m.sum = m.sum.scaled(mixDecay)
	m.sum.Cost += r.Cost
	if !r.ShortOutput {
		m.sum.Streams++
	}
	output := float64(r.OutputTokens)
	switch {
	case !r.LongPrefill:
		m.sum.ShortPrefill += r.PrefillCost
		m.sum.ShortOutput += output
	case r.ShortOutput:
		m.sum.LongPrefill += r.PrefillCost
		m.sum.StayingOutput += output
	default:
		m.sum.LongPrefill += r.PrefillCost
		m.sum.MigratedOutput += output
		m.sum.Migrations++
		m.sum.MigratedPrompt += float64(r.PromptTokens)
	}
}

// Requests returns the number of requests in the mean, the older ones at their lower weight.
func (m *Mix) Requests() float64 { return m.weight }

// Mean returns the mean work of a request. It is zero if there were none.
func (m *Mix) Mean() Work {
	if m.weight == 0 {
		return Work{}
	}
	return m.sum.scaled(1 / m.weight)
}

// scaled returns the work multiplied by f.
func (w Work) scaled(f float64) Work {
	return Work{
		Cost:        w.Cost * f,
		LongPrefill: w.LongPrefill * f, ShortPrefill: w.ShortPrefill * f,
		MigratedOutput: w.MigratedOutput * f, StayingOutput: w.StayingOutput * f, ShortOutput: w.ShortOutput * f,
		Streams: w.Streams * f, Migrations: w.Migrations * f, MigratedPrompt: w.MigratedPrompt * f,
	}
}
