// Package order decides when an order is sent to a model engine, and prevents orders
// of an earlier holder of the planning lease from taking effect after those of a
// later one.
//
// # What can go wrong
//
// A planner that was paused may act as if it still held its lease, and send
// orders with its old fence. A copy of an order whose answer was lost may still
// be under way. A sidecar that restarts knows neither the fence nor the orders
// that its earlier incarnation sent.
//
// Engines differ in what they check ([Capabilities]). One that refuses old fences is
// protected from earlier holders; one that also refuses order ids below the highest
// that it has accepted is protected from late copies. In front of an engine that
// checks neither, [Guard] is the only protection: it has one order at a time under
// way, and sends the next one only when no copy of the last can arrive any more:
// either each copy has been answered, or the maximum delay has passed since the last
// copy was sent ([Config.MaxDelay]). This relies on the adapter, which closes the connection of each copy
// that it gives up.
//
// Orders state a wanted condition ("begin no step from S on"), so that the same
// order twice in a row does no harm; only one that arrives after a later order does.
package order
