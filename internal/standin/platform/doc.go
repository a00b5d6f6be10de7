// Package platform is a stand-in for the platform's object service: an
// in-memory store with versions, conditional writes and bounded watches, served
// over HTTP and JSON.
//
// It exists for tests and for trying the system on one machine. Its faults
// (outage, slowness, lost answers, lagging reads, a frozen host list) are
// switched by [Platform.SetFaults], or by PUT /faults from another process.
//
// Routes:
//
//	GET    /objects/KIND/NAME                     one object
//	PUT    /objects/KIND/NAME?version=N           conditional write; 0 creates
//	DELETE /objects/KIND/NAME?version=N           conditional delete
//	GET    /list?prefix=P                         all objects below a key prefix
//	GET    /watch?prefix=P&since=N&waitMillis=MS  objects changed after version N
//	PUT    /hosts/NAME                            set a host's state in the lagging list
//	GET    /calls                                 calls counted by cause and operation
//	GET    /faults, PUT /faults                   the faults in force
package platform
