// Package standin implements small stand-ins for the systems that routers talk
// to: the platform's services, model servers and plain services. Tests inject
// faults into them through their methods, or over HTTP with POST /faults.
package standin
