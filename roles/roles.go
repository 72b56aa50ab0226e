package roles

// This file defines Engine and Assess, which compares a pool with prefill servers to one without.

import "math"

// prefillFraction is the fraction of the servers that prefill, if any do. It is the only one
// that was measured, on deployments with 16 and with 64 slots.
const prefillFraction = 0.52

// MinServers is the number of servers from which some may prefill for the others.
const MinServers = 3

// Engine is what is known of the model servers of a service.
type Engine struct {
	Slots             int     // streams that a server runs at once
	PrefillMsPerToken float64 // prefill time of a token at the start of a prompt
	TokenMs           float64 // time between two tokens of a stream that no prefill delays, in a usual batch
	EventGapMs        float64 // longest event gap that callers allow
	KVBytes           int     // size of the KV cache of a token
	LinkMbps          float64 // rate of a server's link to the others, in megabits per second
	SetUpMs           float64 // time of a migration beside the copy
}

// Complete reports whether all figures are known that an assessment needs. The time to set up a migration may be 0.
func (e Engine) Complete() bool {
	return e.Slots > 0 && e.PrefillMsPerToken > 0 && e.TokenMs > 0 && e.EventGapMs > 0 && e.KVBytes > 0 && e.LinkMbps > 0
}

// MigrationMs returns how long the migration of a request with a prompt takes on an idle link, or the time to set it up if
// the link is unknown.
func (e Engine) MigrationMs(promptTokens int) float64 {
	if e.KVBytes <= 0 || e.LinkMbps <= 0 {
		return e.SetUpMs
	}
	return e.SetUpMs + e.copyMs(float64(promptTokens))
}

// copyMs returns how long the link needs for the KV cache of a number of tokens.
func (e Engine) copyMs(tokens float64) float64 {
	const bitsPerByte, bitsPerMsAtOneMbps = 8, 1000
	return tokens * float64(e.KVBytes) * bitsPerByte / (e.LinkMbps * bitsPerMsAtOneMbps)
}

// PrefillServers returns how many of n servers prefill if some do. At least one decodes.
func PrefillServers(n int) int {
	return max(0, min(n-1, int(math.Ceil(prefillFraction*float64(n)))))
}

// Assessment compares a pool in which some servers prefill for the others to one in which each server does both. Loads are
// those of the busiest servers, 1 where they are full.
type Assessment struct {
	Prefill     float64 // load of the prefill servers, if there are some
	Decode      float64 // load of the others then
	Together    float64 // load of a pool without prefill servers
	AtRisk      float64 // share of requests whose streams would miss an event gap without prefill servers, at most
	MigrationMs float64 // mean duration of a migration while the pool with prefill servers is full; infinite if the links are the limit
	EventGapMs  float64 // longest event gap that callers allow
}

// Split returns the load of the pool with prefill servers.
func (a Assessment) Split() float64 { return max(a.Prefill, a.Decode) }

// Capacity returns how many requests the pool with prefill servers takes, relative to the pool without.
func (a Assessment) Capacity() float64 {
	if a.Split() <= 0 {
		return 1
	}
	return a.Together / a.Split()
}

// gapsAtRisk is the length of a stream, in event gaps, from which one is taken to be missed where servers prefill between decode
// steps. Shorter streams count in proportion.
const gapsAtRisk = 3

// Assess compares the two for n servers, the mean work of a request and the requests that arrive per second.
//
// A server's time goes to prefills, which let no stream advance, and to decode steps, each of which
// advances as many streams as there are slots. So a request takes its prefill time and its decode time
// divided by the slots.
func Assess(n int, e Engine, w Work, requestsPerSecond float64) Assessment {
	perMs := requestsPerSecond / 1000
	prefill := float64(PrefillServers(n))
	decode := float64(n) - prefill
	long, short := w.LongPrefill*e.PrefillMsPerToken, w.ShortPrefill*e.PrefillMsPerToken
	decodeMs := e.TokenMs / float64(e.Slots)
	copyMs := 0.0
	if w.Migrations > 0 {
		copyMs = e.copyMs(w.MigratedPrompt / w.Migrations)
	}
	migrating := w.Migrations * (e.SetUpMs + copyMs) / float64(e.Slots) // a migration holds a slot on both servers

	together := (long + short + (w.MigratedOutput+w.StayingOutput+w.ShortOutput)*decodeMs) / float64(n)
	prefilling := (long + w.StayingOutput*decodeMs + migrating) / prefill
	decoding := (short + (w.MigratedOutput+w.ShortOutput)*decodeMs + migrating) / decode
	split := max(prefilling, decoding)
	a := Assessment{Prefill: prefilling * perMs, Decode: decoding * perMs, AtRisk: min(w.Streams, (w.MigratedOutput+w.ShortOutput)*e.TokenMs/e.EventGapMs/gapsAtRisk), Together: together * perMs, EventGapMs: e.EventGapMs}
	if w.Migrations == 0 || split <= 0 {
		return a
	}
	a.MigrationMs = math.Inf(1)
	if link := w.Migrations * copyMs / min(prefill, decode) / split; link < 1 { // utilization of the links of the fewer servers
		a.MigrationMs = e.SetUpMs + copyMs/(1-link) // copies wait for one another
	}
	return a
}
