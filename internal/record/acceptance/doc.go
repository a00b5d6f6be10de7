// Package acceptance puts each service's document in force everywhere, once, and
// never goes back.
//
// # Stage, then accept
//
// One process, elected by a lease, carries the duty. It reads the document that
// an operator applied, checks it, stores its text, and records in the platform
// that it is staged. Then it offers the text to all members. Each member checks
// it, keeps it, and says so to a collector in its data centre, which tells the
// holder. When all members hold the text, the holder writes the acceptance, and
// the number spreads; each member puts the text in force at once, because it has
// it already.
//
// # Why no member runs an older document afterwards
//
// A member that holds a staged text does not know whether it has been accepted.
// It asks every while, and takes new work only as long as it was told, less than
// a timeout ago, that the stage was still open. Whoever says so is a holder whose
// lease had not ended, or the platform.
//
// A member that does not hold the text finds no contact with those that do
// (package member), and without contact it takes no new work. So a silent member
// need not be waited for longer than its contact can last, unless it may keep
// contact among silent members alone, as in a data centre that is cut off whole.
//
// # Never back
//
// The number of a service rises by conditional writes on one object. A write in
// the name of an earlier fence meets a changed version, because each stage is
// recorded first. A member ignores lower numbers from anybody. Two texts under
// one number are a violation, and the first one stays.
//
// A process that starts has contact, and so takes work, only after it has put in
// force all that three neighbours with contact know, or all that the platform
// says. Three, because that is what contact takes at any time: were one enough,
// two hosts that are cut off together would keep each other at work.
package acceptance
