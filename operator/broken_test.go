package operator_test

import (
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"bulrushtally/config"
	"bulrushtally/operator"
	"bulrushtally/responsehead/headtest"
)

// fasthttp takes a status of 000 for 200, and accepts a space in a field name: a change seemed to be accepted.
func TestBrokenResponsesToOperatorsAreErrors(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		address := headtest.Serve(t, func(*http.Request) string { return f.Response("", `{"revision": 7}`) })
		c := operator.NewClient("http://"+address, "key")
		if result, err := c.Delete(config.KindCustomer, "a", operator.ChangeOptions{Version: "*"}); err == nil {
			t.Errorf("change: got %+v, want an error", result)
		}
		if status, err := c.Status(); err == nil {
			t.Errorf("read: got %+v, want an error", status)
		}
	})
}

// The client allocated what a response said of its length, which ended the process.
func TestLongResponsesToOperatorsAreErrors(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		address := headtest.Serve(t, func(*http.Request) string { return l.Response("200 OK", "", `{"revision": 7}`) })
		if status, err := operator.NewClient("http://"+address, "key").Status(); err == nil {
			t.Errorf("got %+v, want an error", status)
		}
	})
}

// A router that takes callers over TLS takes operators over it, too.
func TestBrokenResponsesToOperatorsAreErrorsOverTLS(t *testing.T) {
	var broken atomic.Bool
	router := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !broken.Load() {
			io.WriteString(w, `{"revision": 7}`)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		io.WriteString(c, headtest.Faults[0].Response("", `{"revision": 7}`))
	}))
	defer router.Close()
	authority := filepath.Join(t.TempDir(), "authority.pem")
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: router.Certificate().Raw})
	if err := os.WriteFile(authority, certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SSL_CERT_FILE", authority) // read at the first use of TLS in this process
	c := operator.NewClient(router.URL, "key")
	if status, err := c.Status(); err != nil || status.Revision != 7 {
		t.Errorf("valid response: got %+v and error %v, want revision 7", status, err)
	}
	broken.Store(true)
	if status, err := c.Status(); err == nil {
		t.Errorf("broken response: got %+v, want an error", status)
	}
}

func TestPartOfAResponseToAnUploadOfAnOperatorIsAnError(t *testing.T) {
	c := operator.NewClient("http://"+headtest.ServeReset(t, "", "{}"), "key")
	o := &config.Object{Kind: config.KindCustomer, Name: "a", Labels: map[string]string{"label": headtest.Upload}}
	if result, err := c.Put(o, operator.ChangeOptions{}); err == nil {
		t.Errorf("got %+v, want an error", result)
	}
}
