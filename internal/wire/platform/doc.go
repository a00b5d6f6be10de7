// Package platform is a thin client for the platform's object service.
//
// A [Client] carries out [object.Call] values over HTTP and JSON. It limits the
// rate of the calls, backs off in outages, counts calls by cause, and never sends
// a write twice: a write whose response is lost ends as [object.Unknown], and the
// caller reads the object back before it decides.
//
// A pooled connection may be dead for good while new ones work. Each call has a
// timeout for its response; after a timeout the idle connections are closed, and
// a read is tried once more on a new connection.
package platform
