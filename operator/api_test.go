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

// startSmallFleet starts a fleet of two zones with one router each, and two model server
// stand-ins.
func startSmallFleet(t *testing.T) *lab.Fleet {
	t.Helper()
	o := lab.CurrentFleetOptions(1)
	o.Zones, o.RoutersPerZone, o.ModelServers, o.PlainServers, o.Customers = []string{"kgn-a", "kgn-b"}, 1, 2, 0, 2
	f, err := lab.StartFleet(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// asFailure returns the *operator.Failure in err, or an empty one.
func asFailure(err error) *operator.Failure {
	var f *operator.Failure
	if errors.As(err, &f) {
		return f
	}
	return &operator.Failure{}
}

// TestConflictReportsCurrentObject changes an object through one router and then, based on the
// old version, through another. The response must have the current and the requested object
// and the office that made the last change.
func TestConflictReportsCurrentObject(t *testing.T) {
	f := startSmallFleet(t)
	kingston, lahore := newClient(f.Routers[0]), newClient(f.Routers[1])
	object, err := kingston.Get(config.KindCustomer, lab.CustomerName(0))
	if err != nil {
		t.Fatal(err)
	}
	h := operator.ChangeOptions{Version: "*", RequestNumber: "first"}
	if _, err := kingston.Label(object.Kind, object.Name, operator.LabelChange{Set: map[string]string{"weight": "3"}}, h); err != nil {
		t.Fatal(err)
	}
	object.Labels = map[string]string{"weight": "2"}
	_, err = lahore.Put(object, operator.ChangeOptions{Version: "1", RequestNumber: "second"})
	c := asFailure(err)
	if c.Code != "conflict" || c.Current == nil || c.LastChange == nil {
		t.Fatalf("failure: %+v (%v), want a conflict with the current object and its last change", c, err)
	}
	if got, want := c.Current.Labels["weight"]+" "+c.Requested.Labels["weight"]+" "+c.LastChange.Office, "3 2 kingston"; got != want {
		t.Errorf("conflict reports current weight, requested weight and office %q, want %q", got, want)
	}
}

func TestRepeatedRequestNumberChangesOnce(t *testing.T) {
	f := startSmallFleet(t)
	put := func(n int) *operator.ChangeResult {
		a, err := newClient(f.Routers[n]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.ChangeOptions{RequestNumber: "make-zone"})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if got, want := put(1).Change.Revision, put(0).Change.Revision; got != want {
		t.Errorf("changes with the same request number made revisions %d and %d, want one", got, want)
	}
}

func TestRefusedRequests(t *testing.T) {
	f := startSmallFleet(t)
	operatorClient := newClient(f.Routers[0])
	reader := &config.Object{Kind: config.KindOperator, Name: "reader", Office: "lahore", KeyHash: config.HashKey("reader-key"), Labels: map[string]string{"rights": "read"}}
	if _, err := operatorClient.Put(reader, operator.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	readerClient := operator.NewClient("http://"+f.Routers[0].Address(), "reader-key")
	unknownClient := operator.NewClient("http://"+f.Routers[0].Address(), "no-such-key")
	zone := &config.Object{Kind: config.KindZone, Name: "spn-c"}
	outOfService := &config.Object{Kind: config.KindZone, Name: "kgn-a", Labels: map[string]string{"service": "out"}}
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"change by read-only operator", errorOf(readerClient.Put(zone, operator.ChangeOptions{})), "read-only"},
		{"unknown operator key", errorOf(unknownClient.Status()), "no-key"},
		{"create an existing object", errorOf(operatorClient.Put(&config.Object{Kind: config.KindZone, Name: "kgn-a"}, operator.ChangeOptions{})), "conflict"},
		{"invalid name", errorOf(operatorClient.Put(&config.Object{Kind: config.KindZone, Name: "UP"}, operator.ChangeOptions{})), "invalid"},
		{"unknown object", errorOf(operatorClient.Get(config.KindZone, "nowhere")), "not-found"},
		{"invalid request number", errorOf(operatorClient.Put(zone, operator.ChangeOptions{RequestNumber: "a/b"})), "bad-request-number"},
		{"leave a service without customers", errorOf(operatorClient.Put(&config.Object{Kind: config.KindAccess, Name: "all-models", Service: lab.ModelService, CustomerSelector: "none=such"}, operator.ChangeOptions{Version: "*"})), "stranded"},
		{"dry run", errorOf(operatorClient.Put(outOfService, operator.ChangeOptions{Version: "*", DryRun: true})), ""},
	}
	revision := f.Routers[0].ConfigStore().View().Revision()
	for _, tt := range tests {
		if got := asFailure(tt.err).Code; got != tt.want {
			t.Errorf("%s: code %q (%v), want %q", tt.name, got, tt.err, tt.want)
		}
	}
	if got, want := f.Routers[0].ConfigStore().View().Revision(), revision; got != want {
		t.Errorf("revision after refused changes: %d, want %d", got, want)
	}
}

// errorOf returns the error of a call with two results.
func errorOf[T any](_ T, err error) error { return err }

// TestPlatformFailures checks that a change fails while the platform is down, and that a change
// whose write takes effect but whose responses are lost is accepted once.
func TestPlatformFailures(t *testing.T) {
	f := startSmallFleet(t)
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err := newClient(f.Routers[0]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.ChangeOptions{RequestNumber: "n1"})
	if got, want := asFailure(err).Code, "platform"; got != want {
		t.Errorf("change while the platform is down: code %q (%v), want %q", got, err, want)
	}
	f.Platform.SetFaults(standin.PlatformFaults{LostResponses: 1})
	_, err = newClient(f.Routers[1]).Put(&config.Object{Kind: config.KindZone, Name: "spn-c"}, operator.ChangeOptions{RequestNumber: "n2"})
	if err != nil {
		t.Errorf("change whose write responses are lost, but whose row can be read: %v, want no error", err)
	}
	if n := strings.Count(strings.Join(f.Platform.RowKeys("config/request/"), " "), "n2"); n != 1 {
		t.Errorf("change with lost responses is in the table %d times, want once", n)
	}
}

func TestOpenAPIIsServed(t *testing.T) {
	f := startSmallFleet(t)
	resp, err := http.Get("http://" + f.Routers[0].Address() + operator.BasePath + "/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, 200; got != want {
		t.Errorf("OpenAPI description: status %d, want %d", got, want)
	}
}

// sendRaw sends a request with the first operator's key and returns its status.
func sendRaw(t *testing.T, method, url, body string, header ...string) int {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+lab.OperatorKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestChangeWithoutAValidPreconditionIsNotMade(t *testing.T) {
	f := startSmallFleet(t)
	store := f.Routers[0].ConfigStore()
	url := "http://" + f.Routers[0].Address() + operator.BasePath + "/zone/kgn-a"
	revision := store.View().Revision()
	if got := sendRaw(t, http.MethodPut, url, `{}`); got != http.StatusPreconditionRequired {
		t.Errorf("got status %d for a PUT without a precondition, want 428", got)
	}
	if got := sendRaw(t, http.MethodPut, strings.Replace(url, "kgn-a", "spn-c", 1), `{}`); got != http.StatusPreconditionRequired {
		t.Errorf("got status %d for a PUT of a new object without a precondition, want 428", got)
	}
	if got := sendRaw(t, http.MethodPut, url, `{}`, "If-Match", "seven"); got != http.StatusBadRequest {
		t.Errorf("got status %d for a PUT with a version that is no number, want 400", got)
	}
	if got := sendRaw(t, http.MethodDelete, url, ""); got != http.StatusPreconditionRequired {
		t.Errorf("got status %d for a DELETE without a precondition, want 428", got)
	}
	if got := store.View().Revision(); got != revision {
		t.Errorf("got revision %d after refused changes, want %d", got, revision)
	}
}
