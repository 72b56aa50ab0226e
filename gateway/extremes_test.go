package gateway_test

// This file tests numbers that callers and backend servers name in the fields of their heads, and that no type of the router holds.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

var extremesSeeds = flag.Uint64("extremes-seeds", 4, "number of seeds with which TestExtremeNumbersDoNotEndTheRouter runs")

// extremesTime is the time that each seed takes. After some answers most servers are limited, paused or ejected.
const extremesTime = 500 * time.Millisecond

// extremeNumbers are values of fields that hold a number, or several.
var extremeNumbers = []string{
	"", "0", "-1", "1", "0.0000001", "1e308", "-1e308", "NaN", "Inf", "-Inf",
	"2147483648", "4611686018427387904", "9223372036854775806", "9223372036854775807", "-9223372036854775808", "18446744073709551615", "99999999999999999999",
	"4611686018427387904,4611686018427387904", "9223372036854775807,1", "1,1,1048576,9999", "0,0,9223372036854775807",
	"a:9223372036854775807,b:9223372036854775807,c:1", "a:-1,b:1", ",,,", strings.Repeat("a:1,", 200),
}

// The services of the test are public, since the keys of callers cannot be checked for as long as the test may take.
var (
	soundService   = platformtest.Service("orders", "non_idempotent", 1, map[string]any{"public": true})
	extremeService = platformtest.Service("models", "stream", 2, map[string]any{
		"resumable": true, "public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
	})
)

// extremeFields returns lines with the fields of names, about half of them, and values from extremeNumbers.
func extremeFields(r *rand.Rand, names ...string) string {
	var b strings.Builder
	for _, name := range names {
		if r.IntN(2) == 0 {
			fmt.Fprintf(&b, "%s: %s\r\n", name, extremeNumbers[r.IntN(len(extremeNumbers))])
		}
	}
	return b.String()
}

// extremeResponse returns a response of a server to a request. With some values it is not valid HTTP, which the router must bear, too.
func extremeResponse(r *rand.Rand, b *platformtest.Server, req *http.Request) string {
	statuses := []string{"102 Processing", "200 OK", "200 OK", "200 OK", "206 Partial Content", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"}
	status := statuses[r.IntN(len(statuses))]
	fields := b.AnswerHead(req) + extremeFields(r, "Server-Load", "Content-Length")
	if r.IntN(10) == 0 { // the router sends such a server little more
		fields += extremeFields(r, "Retry-After", "Server-Limit", "Server-Leaving")
	}
	if r.IntN(2) == 0 {
		fields += "Keep-Alive: timeout=" + extremeNumbers[r.IntN(len(extremeNumbers))] + "\r\n"
	}
	event := fmt.Sprintf("id: %s\ndata: x\n\n", extremeNumbers[r.IntN(len(extremeNumbers))])
	return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + event
}

// extremeHeader returns the header of a request, as testbed.send takes it.
func extremeHeader(r *rand.Rand) (header []string) {
	fields := extremeFields(r, "Deadline-Ms", "Token-Count", "Prefix-Hash", "Length-Hint", "Last-Event-Id", "Resumes")
	for line := range strings.SplitSeq(fields, "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			header = append(header, name, value)
		}
	}
	return header
}

// startExtremeServers starts servers of extremeService that send extremeResponse.
func (s *testbed) startExtremeServers(seed uint64) {
	s.t.Helper()
	for i := range uint64(3) {
		b := s.startServer(fmt.Sprint("i-", i), "models", 12)
		random := rand.New(rand.NewPCG(seed, i))
		var mu sync.Mutex // guards random
		b.SendAnswers(func(r *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			return extremeResponse(random, b, r)
		})
	}
}

// The process of a router must not end, nor requests of another service be lost, whatever numbers others name.
func TestExtremeNumbersDoNotEndTheRouter(t *testing.T) {
	for seed := range *extremesSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newTestbed(t, soundService, extremeService)
			s.startServer("sound", "orders", 0)
			s.startExtremeServers(seed)
			s.waitReady()
			end := time.Now().Add(extremesTime)
			var callers sync.WaitGroup
			for i := range uint64(8) {
				callers.Go(func() {
					for random := rand.New(rand.NewPCG(seed, 100+i)); time.Now().Before(end); {
						s.send("POST", "/models/x", "body", extremeHeader(random)...)
					}
				})
			}
			for time.Now().Before(end) {
				if a := s.send("POST", "/orders/x", "body"); a.status != 200 {
					t.Errorf("got status %d, error %v and body %q for a request of another service, want 200", a.status, a.err, a.body)
				}
			}
			callers.Wait()
		})
	}
}
