// Package platform is a stand-in for the platform's object service: an
// in-memory store with versions, conditional writes and bounded watches, served
// over HTTP and JSON.
//
// It is for tests and for trying the system on one machine. Its faults (outage,
// slowness, lost responses, lagging reads, a frozen host list) are set by
// [Platform.SetFaults], or by PUT /faults from another process.
//
// Routes:
//
//	GET    /objects/KIND/NAME                     one object
//	PUT    /objects/KIND/NAME?version=N           conditional write; 0 creates
//	DELETE /objects/KIND/NAME?version=N           conditional delete
//	GET    /list?prefix=P                         all objects with a key prefix
//	GET    /watch?prefix=P&since=N&waitMillis=MS  objects changed after version N
//	PUT    /hosts/NAME                            set a host's state in the lagging host list
//	GET    /calls                                 calls counted by cause and operation
//	GET    /faults, PUT /faults                   the current faults
package platform
