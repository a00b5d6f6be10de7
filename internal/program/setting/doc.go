// Package setting reads the settings of a process: its name and role, the addresses
// that it listens on, the systems that it calls, and its keys.
//
// Settings are YAML. [Load] reports all errors of a text at once, each with its
// line and column; unknown keys are errors too. [Fields] and [Checks] return the
// documentation of each value and of each check, from which the tables of the
// operators' page are generated.
//
// Values that must be the same in all processes are not settings: probe intervals,
// contact timeouts and the length of leases are constants of the program, since two
// processes with different values could disagree about which of them may act without
// either being wrong. What a service's owners decide is in its document.
package setting
