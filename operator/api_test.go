package operator_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/operator"
	"bulrushtally/standin"
)

func startSmall(t *testing.T) *lab.Fleet {
	t.Helper()
	o := lab.Today(1)
	o.Zones, o.RoutersPerZone, o.Engines, o.Plains, o.Customers = []string{"kgn-a", "kgn-b"}, 1, 2, 0, 2
	f, err := lab.StartFleet(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func failureOf(err error) *operator.Failure {
	var f *operator.Failure
	if errors.As(err, &f) {
		return f
	}
	return &operator.Failure{}
}

func TestConflictNamesTheOther(t *testing.T) {
	f := startSmall(t)
	kingston, lahore := client(f.Routers[0]), client(f.Routers[1])
	have, err := kingston.Get(config.KindCustomer, lab.Customer(0))
	if err != nil {
		t.Fatal(err)
	}
	h := operator.How{Version: "*", Request: "first"}
	if _, err := kingston.Label(have.Kind, have.Name, operator.LabelChange{Set: map[string]string{"weight": "3"}}, h); err != nil {
		t.Fatal(err)
	}
	have.Labels = map[string]string{"weight": "2"}
	_, err = lahore.Put(have, operator.How{Version: "1", Request: "second"})
	c := failureOf(err)
	if c.Code != "conflict" || c.Standing == nil || c.Last == nil {
		t.Fatalf("conflict: %+v (%v)", c, err)
	}
	if got, want := c.Standing.Labels["weight"]+" "+c.Wished.Labels["weight"]+" "+c.Last.Office, "3 2 kingston"; got != want {
		t.Errorf("conflict tells %q, want %q", got, want)
	}
}

func TestSameRequestNumberChangesOnce(t *testing.T) {
	f := startSmall(t)
	put := func(n int) *operator.Accepted {
		a, err := client(f.Routers[n]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.How{Request: "make-zone"})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if got, want := put(1).Change.Revision, put(0).Change.Revision; got != want {
		t.Errorf("the same request number made revisions %d and %d", got, want)
	}
}

func TestRefusals(t *testing.T) {
	f := startSmall(t)
	good := client(f.Routers[0])
	reader := &config.Object{Kind: config.KindOperator, Name: "reader", Office: "lahore", KeyHash: config.HashKey("reader-key"), Labels: map[string]string{"rights": "read"}}
	if _, err := good.Put(reader, operator.How{}); err != nil {
		t.Fatal(err)
	}
	read := operator.NewClient("http://"+f.Routers[0].Address(), "reader-key")
	stranger := operator.NewClient("http://"+f.Routers[0].Address(), "no-such-key")
	zone := &config.Object{Kind: config.KindZone, Name: "spn-c"}
	last := &config.Object{Kind: config.KindZone, Name: "kgn-a", Labels: map[string]string{"service": "out"}}
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"reader changes", second(read.Put(zone, operator.How{})), "read-only"},
		{"stranger reads", second(stranger.Status()), "no-key"},
		{"create what exists", second(good.Put(&config.Object{Kind: config.KindZone, Name: "kgn-a"}, operator.How{})), "conflict"},
		{"bad name", second(good.Put(&config.Object{Kind: config.KindZone, Name: "UP"}, operator.How{})), "invalid"},
		{"unknown object", second(good.Get(config.KindZone, "nowhere")), "not-found"},
		{"bad request number", second(good.Put(zone, operator.How{Request: "a/b"})), "bad-request-number"},
		{"strand a service", second(good.Put(&config.Object{Kind: config.KindAccess, Name: "all-models", Service: lab.ModelService, CustomerSelector: "none=such"}, operator.How{Version: "*"})), "stranded"},
		{"dry run", second(good.Put(last, operator.How{Version: "*", DryRun: true})), ""},
	}
	revision := f.Routers[0].Store().View().Revision()
	for _, tt := range tests {
		if got := failureOf(tt.err).Code; got != tt.want {
			t.Errorf("%s: %q (%v), want %q", tt.name, got, tt.err, tt.want)
		}
	}
	if got, want := f.Routers[0].Store().View().Revision(), revision; got != want {
		t.Errorf("revision after refusals: %d, want %d", got, want)
	}
}

func second[T any](_ T, err error) error { return err }

func TestPlatformDown(t *testing.T) {
	f := startSmall(t)
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client(f.Routers[0]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.How{Request: "n1"})
	if got, want := failureOf(err).Code, "platform"; got != want {
		t.Errorf("change with the platform down: %q (%v), want %q", got, err, want)
	}
	f.Platform.SetFaults(standin.PlatformFaults{LoseAnswer: 1})
	_, err = client(f.Routers[1]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.How{Request: "n2"})
	if err != nil {
		t.Errorf("change whose answers are lost, but whose row can be read: %v", err)
	}
	if n := strings.Count(strings.Join(f.Platform.Keys("config/request/"), " "), "n2"); n != 1 {
		t.Errorf("change is in the table %d times, want once", n)
	}
}

func TestDescriptionIsServed(t *testing.T) {
	f := startSmall(t)
	resp, err := http.Get("http://" + f.Routers[0].Address() + operator.Base + "/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, 200; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}
