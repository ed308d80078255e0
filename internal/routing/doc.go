// Package routing selects the target of a request. It prefers targets that probably have the prompt's
// prefix in their cache, unless their load is too high, and takes zones, weight versions, breakers and
// exclusions into account. It does no I/O; callers pass the time.
package routing
