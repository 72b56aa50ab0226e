package backend_test

import (
	"context"
	"net/http"
	"testing"

	"bulrushtally/backend"
	"bulrushtally/responsehead/headtest"
)

// fasthttp takes a status of 000 for 200, and accepts a space in a field name: callers got such responses.
func TestBrokenResponsesOfServersAreProtocolFaults(t *testing.T) {
	client := backend.NewClient(timeouts)
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		address := headtest.Serve(t, func(*http.Request) string { return f.Response(backend.AttemptIDHeader+": a1\r\n", `{"running": 7}`) })
		if body, err := get(client, address); faultOf(err) != backend.FaultProtocol {
			t.Errorf("call: got body %q and error %v, want FaultProtocol", body, err)
		}
		if load, err := client.FetchLoad(context.Background(), address, "a1"); faultOf(err) != backend.FaultProtocol {
			t.Errorf("load report: got %+v and error %v, want FaultProtocol", load, err)
		}
		if err := client.Cancel(address, "stream", "a1"); faultOf(err) != backend.FaultProtocol {
			t.Errorf("order to cancel: got error %v, want FaultProtocol", err)
		}
	})
}

// A client that allocates what a response says of its length would end the process.
func TestLongResponsesOfServersAreLostConnections(t *testing.T) {
	client := backend.NewClient(timeouts)
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		address := headtest.Serve(t, func(*http.Request) string {
			return l.Response("200 OK", backend.AttemptIDHeader+": a1\r\n", `{"running": 7}`)
		})
		if body, err := get(client, address); faultOf(err) != backend.FaultConnectionLost {
			t.Errorf("call: got body %q and error %v, want FaultConnectionLost", body, err)
		}
		if load, err := client.FetchLoad(context.Background(), address, "a1"); faultOf(err) != backend.FaultConnectionLost {
			t.Errorf("load report: got %+v and error %v, want FaultConnectionLost", load, err)
		}
	})
}

// The whole request is written before the response is read, so a write that meets a reset ends the attempt.
func TestPartOfAResponseToAnUploadIsALostConnection(t *testing.T) {
	client := backend.NewClient(timeouts)
	address := headtest.ServeReset(t, backend.AttemptIDHeader+": a1\r\n", "part")
	r, err := client.Do(context.Background(), backend.Attempt{ID: "a1", Address: address, Method: "POST", Path: "/", Body: []byte(headtest.Upload)})
	if faultOf(err) != backend.FaultConnectionLost {
		t.Errorf("got response %+v and error %v, want FaultConnectionLost", r, err)
	}
}
