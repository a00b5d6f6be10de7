// Package group moves a group of ranks, which run in lock-step, from one expert
// map to another, so that all ranks use the same map in every step.
//
// # The map switch
//
// Each rank's sidecar has a [Switch]; the planner has a [Proposer]. A map switch
// has a [Number] and goes through these votes on each rank:
//
//	Unseen - Loading - Loaded - Promised - Committed - Passed - Finished
//	     \________\_________\_ Refused
//
// A rank loads the weights that the new map needs, at its share of the weight
// store's rate. When all ranks have loaded, the planner chooses a step S some way
// ahead and asks for promises. A rank orders its engine to begin no step from S
// on, and promises only after the engine has confirmed this limit. The switch is
// committed if and only if all ranks have promised. Nobody decides the outcome:
// every process can find it out by asking all ranks, because a rank never takes
// back a promise or a refusal. On commit the engine is ordered to use the new map
// from S on, and then the limit is lifted. Weights that only the old map needs
// are dropped when all ranks have begun S.
//
// A rank waits only if the engines reach S before the outcome is known. A switch
// makes no platform call: the group's record is written afterwards.
//
// # Failures
//
// The planner dies. Ranks that have not promised refuse when their time is over.
// A rank that has promised asks the others for their votes. The ranks begin to
// ask in turns, and the number of askers doubles with each turn, so one asker is
// usually enough. A rank that is asked and has not promised refuses for good. So
// a switch ends as soon as all ranks can communicate.
//
// A rank dies. Its group's lock-step stops. The group forms again from its record
// under a higher epoch ([EpochFormer]). Messages, votes and orders carry the epoch,
// and those of an older epoch have no effect.
//
// A sidecar restarts and has forgotten its votes. It reads the engine's state
// before it answers any message. A limit with a prepared map means that it had
// promised. A switch step, or the new map as the active one, means that the switch
// was committed. With none of these it had not promised, so it refuses. A proposal
// names the sidecar's incarnation, so a sidecar can't promise now what its earlier
// incarnation refused. If the engine can't report its state, the rank is [Unsure]:
// it neither promises nor refuses. It learns the outcome from a rank that knows
// it; if none does, the group forms again.
package group
