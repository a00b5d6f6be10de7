// Package group decides how a group of ranks in lock-step goes from one expert
// map to another, so that in every step all ranks use the same map.
//
// # The switch
//
// Each rank's sidecar has a [Switch]; the planner has a [Proposer]. A switch has
// a [Number] and goes through these votes on each rank:
//
//	Unseen - Loading - Loaded - Promised - Committed - Passed - Finished
//	     \________\_________\_ Refused
//
// A rank loads the weights that the new map needs, at its share of the weight
// store's rate. When all have loaded, the planner names a step S some way ahead
// and asks for promises. A rank orders its engine to begin no step from S on, and
// promises only when the engine has said so. The switch is committed if and only
// if all ranks have promised. That is a fact that anybody can find out by asking
// all, and nobody decides it: a rank never takes back a promise or a refusal. On
// commit the engine is ordered to use the new map from S on, then the limit is
// lifted. Weights that only the old map needs are dropped when all ranks have
// begun S.
//
// No rank waits unless S comes before the outcome. No platform call is made on
// this path: the record of the group is written afterwards.
//
// # What can go wrong
//
// The planner dies. Ranks that have not promised refuse when their time is over.
// A rank that has promised asks the others, in doubling numbers a turn apart so
// that one asker is usually enough; whoever has not promised then refuses for
// good. So a switch ends once all ranks can talk.
//
// A rank dies. Its group's lock-step stops with it. The group forms again under a
// higher epoch from its record ([Former]). Messages, votes and orders carry the
// epoch, and one of an older epoch has no effect.
//
// A sidecar restarts and has forgotten its votes. It reads back from the engine
// before it answers anybody: a limit with a prepared map is a promise, a switch
// step or the map in force a commit, and neither means that it had not promised,
// so it refuses. A proposal names the life of the sidecar that it is for, so a
// sidecar can't promise now what its earlier life refused. If the engine can't
// tell, the rank is [Unsure]: it neither promises nor refuses. It learns the
// outcome from a rank that knows it, and if none does the group forms again.
package group
