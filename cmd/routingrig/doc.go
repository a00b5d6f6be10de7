// Command routingrig measures the choice of targets, admission and retries in a
// queueing model, and compares them with round robin, random choice and least
// requests.
//
// Time is simulated and the random numbers are seeded, so a repeated run gives
// the same figures. The model is small on purpose: entries that choose targets,
// targets that run a batch in steps and cache prompt prefixes, a network delay
// between them, and load reports. The packages under internal/traffic run in it
// unchanged.
//
//	go run ./cmd/routingrig -run overload
//
// The time of a target's step is a fixed time, plus a time for each running
// request, for each token of its context and for each prompt token that the step
// reads. A slow target takes a multiple of that. A request reads the part of its
// prompt that the target has not cached, and then generates one token in each
// step. At the deadline its caller disconnects and the target drops the request.
// Goodput counts the answers that were complete by their deadline.
package main
