// Package standin holds small stand-ins for the systems that routers meet: the
// platform, model engines and plain services. Their faults are knobs, set in
// the process or over HTTP.
package standin
