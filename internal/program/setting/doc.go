// Package setting reads the settings of a process: who it is, where it listens,
// whom it asks, and its keys.
//
// Settings are YAML. [Load] reports all that is wrong with a text together,
// each finding with its line and column; a key that does not exist is one of
// them. The tables [Fields] and [Checks] hold the documentation of each value
// and of each check, and the page for operators is made from them.
//
// What must be the same in all processes is no setting: probe intervals,
// contact timeouts and the length of leases are constants of the program,
// since two processes that differ in them could both be right about who may
// act. What a service's owners decide is in its document.
package setting
