// Command routingrig measures the choice of targets, admission and retries in
// one queueing model, against round robin, random choice and least requests.
//
// Its time is simulated and its random numbers are seeded, so a run gives the
// same figures again. The model is small on purpose: entries that choose, targets
// that run a batch in steps and keep prompt prefixes, a delay between them, and
// load reports. The packages under internal/traffic run in it unchanged.
//
//	go run ./cmd/routingrig -run overload
//
// A target's step takes a fixed time, a time for each running request and a time
// for each prompt token that it reads; one slow target takes some times as long. A
// request reads its prompt, as far as it isn't kept at the target, and then
// gives one token a step. At its deadline its caller goes away and the target
// drops it. Goodput counts the answers that were complete by then.
package main
