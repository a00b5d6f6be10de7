// Package order decides when an order goes to a model engine, and keeps orders
// of an earlier holder of the planning lease from taking effect after those of a
// later one.
//
// # What can go wrong
//
// A planner that was paused believes that it still holds its lease and sends
// orders with its old fence. A copy of an order whose answer was lost may still
// be on its way. A sidecar that starts again knows neither the fence nor what
// its earlier life has sent.
//
// Engines differ in what they check ([Engine]). One that refuses old fences is
// safe from other holders; one that also refuses order ids below the highest
// that it has taken is safe from late copies. In front of an engine that ignores
// both, [Guard] is the only protection: it has one order at a time on its way,
// and sends the next one only when no copy of the last can land any more. Either
// each copy has been answered, or the landing time has passed since the last
// copy was sent. The adapter holds up its side of this by closing the connection
// of a copy that it gives up.
//
// Orders state a wanted condition ("begin no step from S on"), so that the same
// order twice in a row does no harm; only one that lands behind a later order does.
package order
