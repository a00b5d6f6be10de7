// Package engine is a stand-in for a model engine: it batches continuously,
// streams tokens by steps, caches prompt prefixes, and obeys orders. Several
// ranks form a [Group] that advances in lock-step on one expert map.
//
// It exists for tests and for trying the system on one machine. The text of an
// answer follows from the request's body alone (see [Answer]), so a test can
// tell whose answer it holds. Runs are counted by request id, so a test can tell
// whether a request was run, and how often.
//
// Routes of one rank, besides generation at POST of any other path:
//
//	POST /cancel?id=ID   cancel a run
//	GET  /runs?id=ID     how often a request was started, finished, cancelled
//	GET  /load           load, as it was up to Config.LoadLag ago
//	GET  /events?from=N  prefix cache events, late and with gaps
//	GET  /counts         steps, tokens, step time, tokens by expert
//	POST /orders         one order
//	GET  /orders         what was ordered; 501 if Config.NoReadBack is set
//	GET  /group          the group's next step, and steps with mixed maps
//	PUT  /popularity     share of the tokens by layer and expert
//	GET  /faults, PUT /faults
//
// What it offers of a restart: a rank that was dead forgets its orders, and its
// group stands still until each rank has been given a form order with the same
// new epoch.
package engine
