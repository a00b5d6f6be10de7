// Package engine is a stand-in for a model engine: it batches requests
// continuously, streams tokens step by step, caches prompt prefixes, and carries
// out orders. Several ranks form a [Group] that advances in lock-step with one
// expert map.
//
// It is for tests and for trying the system on one machine. The text of a response
// depends only on the request's body (see [Answer]), so a test can check which
// request a response belongs to. Runs are counted by request ID, so a test can
// check whether a request was run, and how often.
//
// Routes of one rank, besides generation at POST of any other path:
//
//	POST /cancel?id=ID   cancel a run
//	GET  /runs?id=ID     how often a request was started, finished and cancelled
//	GET  /load           load, up to Config.LoadLag old
//	GET  /events?from=N  prefix cache events, delayed and with gaps
//	GET  /counts         steps, tokens, step time, tokens by expert
//	POST /orders         one order
//	GET  /orders         state from orders; 501 if Config.NoReadBack is set
//	GET  /group          the group's next step, and steps with mixed maps
//	PUT  /popularity     share of the tokens by layer and expert
//	GET  /faults, PUT /faults
//
// It simulates a restart as follows: a rank that was dead has lost the state from its
// orders, and its group begins no step until each rank has received a form order
// with the same new epoch.
package engine
